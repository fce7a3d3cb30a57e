#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <yaml-cpp/yaml.h>

#include "oleanderwick/config/config.hpp"
#include "oleanderwick/http/http.hpp"

namespace
{

namespace config = oleanderwick::config;
namespace core = oleanderwick::core;
namespace http = oleanderwick::http;

constexpr const char *version = "0.1.0";
constexpr int exitUsage = 2;
constexpr int statusOk = 200;
constexpr int statusPreconditionFailed = 412;
constexpr int maxAttempts = 5;
constexpr std::size_t waveIdLength = 12;
constexpr core::Duration callTimeout = std::chrono::seconds{10};

/** @brief Options and positional arguments of one command line. */
struct CommandLine {
    std::string node;
    std::string key;
    std::string base;
    std::string format;
    std::string patchId;
    bool force{false};
    std::vector<std::string> words;
};

/** @brief Document of the current configuration with its version. */
struct CurrentConfig {
    std::string version;
    config::Document document;
};

/** @brief Client of the operator API of one node. */
class OperatorClient
{
public:
    OperatorClient(http::Endpoint endpoint, std::string key)
        : m_client{std::move(endpoint)}
        , m_key{std::move(key)}
    {
    }

    [[nodiscard]] absl::StatusOr<http::Response> get(const std::string &path)
    {
        return m_client.exchange(http::Request{"GET", path, {{"Authorization", "Bearer " + m_key}}, ""}, callTimeout);
    }

    [[nodiscard]] absl::StatusOr<http::Response> post(const std::string &path, const std::string &body)
    {
        return m_client.exchange(http::Request{"POST", path, {{"Authorization", "Bearer " + m_key}}, body}, callTimeout);
    }

    [[nodiscard]] absl::StatusOr<http::Response> patch(const std::string &base, const std::string &type, const std::string &id, const std::string &body)
    {
        http::Request request{"PATCH", "/v1/config", {}, body};
        request.headers = {{"Authorization", "Bearer " + m_key}, {"If-Match", "\"" + base + "\""}, {"Content-Type", type}, {"Oleanderwick-Patch-Id", id}};
        return m_client.exchange(request, callTimeout);
    }

    [[nodiscard]] absl::StatusOr<std::string> currentVersion()
    {
        const absl::StatusOr<http::Response> response = get("/v1/config");
        if (!response.ok()) {
            return response.status();
        }
        const nlohmann::json json = nlohmann::json::parse(response->body, nullptr, false);
        if (response->status != statusOk || !json.is_object() || !json.contains("version")) {
            return absl::UnavailableError(response->body);
        }
        return std::to_string(json["version"].get<config::Version>());
    }

    [[nodiscard]] absl::StatusOr<CurrentConfig> currentConfig()
    {
        const absl::StatusOr<http::Response> response = get("/v1/config");
        if (!response.ok()) {
            return response.status();
        }
        const nlohmann::json json = nlohmann::json::parse(response->body, nullptr, false);
        if (response->status != statusOk || !json.is_object() || !json.contains("version") || !json.contains("document")) {
            return absl::UnavailableError(response->body);
        }
        absl::StatusOr<config::Document> document = config::documentFromJson(json["document"]);
        if (!document.ok()) {
            return document.status();
        }
        return CurrentConfig{std::to_string(json["version"].get<config::Version>()), *std::move(document)};
    }

private:
    http::Client m_client;
    std::string m_key;
};

int print(const absl::StatusOr<http::Response> &response)
{
    if (!response.ok()) {
        std::cerr << "oleanderwick: " << response.status().message() << '\n';
        return EXIT_FAILURE;
    }
    const nlohmann::json json = nlohmann::json::parse(response->body, nullptr, false);
    std::ostream &out = response->status == statusOk ? std::cout : std::cerr;
    out << (json.is_discarded() ? response->body : json.dump(2)) << '\n';
    return response->status == statusOk ? EXIT_SUCCESS : EXIT_FAILURE;
}

int printResource(OperatorClient &node, const CommandLine &line, const char *path)
{
    (void)line;
    return print(node.get(path));
}

int showConfig(OperatorClient &node, const CommandLine &line)
{
    return printResource(node, line, "/v1/config");
}

int showHistory(OperatorClient &node, const CommandLine &line)
{
    return printResource(node, line, "/v1/config/history");
}

int showStatus(OperatorClient &node, const CommandLine &line)
{
    return printResource(node, line, "/v1/status");
}

std::string readAll(const std::string &path)
{
    if (path == "-") {
        return std::string{std::istreambuf_iterator<char>{std::cin}, std::istreambuf_iterator<char>{}};
    }
    std::ifstream file{path};
    return std::string{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
}

/** Converts YAML to JSON; an unquoted scalar that is a JSON number, boolean or null becomes one. */
nlohmann::json fromYaml(const YAML::Node &node)
{
    if (node.IsMap()) {
        nlohmann::json object = nlohmann::json::object();
        for (const std::pair<YAML::Node, YAML::Node> &entry : node) {
            object[entry.first.Scalar()] = fromYaml(entry.second);
        }
        return object;
    }
    if (node.IsSequence()) {
        nlohmann::json array = nlohmann::json::array();
        for (const YAML::Node &entry : node) {
            array.push_back(fromYaml(entry));
        }
        return array;
    }
    const bool quoted = node.Tag() == "!";
    const nlohmann::json scalar = nlohmann::json::parse(node.IsNull() ? "null" : node.Scalar(), nullptr, false);
    return quoted || scalar.is_discarded() ? nlohmann::json(node.Scalar()) : scalar;
}

/** Reads a patch or document; files that end in .yaml or .yml are YAML, others JSON. */
absl::StatusOr<std::string> readDocument(const std::string &path)
{
    std::string text = readAll(path);
    if (!path.ends_with(".yaml") && !path.ends_with(".yml")) {
        return text;
    }
    try {
        return fromYaml(YAML::Load(text)).dump();
    } catch (const YAML::Exception &error) {
        return absl::InvalidArgumentError(absl::StrCat(path, ": line ", error.mark.line + 1, ": ", error.msg));
    }
}

int checkDocument(const std::string &path)
{
    const absl::StatusOr<std::string> text = readDocument(path);
    if (!text.ok()) {
        std::cerr << text.status().message() << '\n';
        return EXIT_FAILURE;
    }
    const config::Patch patch{"check", "check", 0, config::PatchFormat::MergePatch, *text};
    const absl::StatusOr<config::Record> record = config::applyPatch(config::Record{}, patch);
    if (!record.ok()) {
        std::cerr << path << ":\n" << record.status().message() << '\n';
        return EXIT_FAILURE;
    }
    std::cout << path << ": ok\n";
    return EXIT_SUCCESS;
}

int patchConfig(OperatorClient &node, const CommandLine &line)
{
    const absl::StatusOr<std::string> base = line.base.empty() ? node.currentVersion() : line.base;
    if (!base.ok()) {
        std::cerr << "oleanderwick: " << base.status().message() << '\n';
        return EXIT_FAILURE;
    }
    const std::string type = line.format == "json" ? "application/json-patch+json" : "application/merge-patch+json";
    const std::string id = line.patchId.empty() ? config::randomHex() : line.patchId;
    const absl::StatusOr<std::string> body = readDocument(line.words.at(2));
    if (!body.ok()) {
        std::cerr << body.status().message() << '\n';
        return EXIT_FAILURE;
    }
    return print(node.patch(*base, type, id, *body));
}

/** Sends a small merge patch based on the current version; retries if another operator changed the configuration meanwhile. */
int mergeWithRetries(OperatorClient &node, const nlohmann::json &body)
{
    const std::string id = config::randomHex();
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const absl::StatusOr<std::string> base = node.currentVersion();
        if (!base.ok()) {
            std::cerr << "oleanderwick: " << base.status().message() << '\n';
            return EXIT_FAILURE;
        }
        const absl::StatusOr<http::Response> response = node.patch(*base, "application/merge-patch+json", id, body.dump());
        if (!response.ok() || response->status != statusPreconditionFailed) {
            return print(response);
        }
    }
    std::cerr << "oleanderwick: other operators changed the configuration during each attempt; nothing was changed\n";
    return EXIT_FAILURE;
}

int addKey(OperatorClient &node, const CommandLine &line)
{
    const std::string secret = config::randomHex();
    const std::string &team = line.words.at(2);
    const std::string &id = line.words.at(3);
    const nlohmann::json body = {{"teams", {{team, {{"keys", {{id, {{"hash", config::sha256Hex(secret)}}}}}}}}}};
    const int result = mergeWithRetries(node, body);
    if (result == EXIT_SUCCESS) {
        std::cout << "key (shown once): " << id << '.' << secret << '\n';
    }
    return result;
}

int withdrawKey(OperatorClient &node, const CommandLine &line)
{
    const nlohmann::json body = {{"teams", {{line.words.at(2), {{"keys", {{line.words.at(3), nullptr}}}}}}}};
    return mergeWithRetries(node, body);
}

int showWaves(OperatorClient &node, const CommandLine &line)
{
    return printResource(node, line, "/v1/waves");
}

int startWave(OperatorClient &node, const CommandLine &line)
{
    const nlohmann::json body = {{"pool", line.words.at(2)}, {"id", config::randomHex().substr(0, waveIdLength)}};
    return print(node.post("/v1/waves", body.dump()));
}

int changeWave(OperatorClient &node, const CommandLine &line)
{
    return print(node.post(absl::StrCat("/v1/waves/", line.words.at(2), "/", line.words.at(1)), "{}"));
}

int fail(const absl::Status &status)
{
    std::cerr << "oleanderwick: " << status.message() << '\n';
    return EXIT_FAILURE;
}

/** Changes the closed zones; the change is computed again from the new configuration if another operator changed it meanwhile. */
int changeZones(OperatorClient &node, const CommandLine &line, absl::StatusOr<std::string> (*makePatch)(const config::Document &, const std::string &, bool))
{
    const std::string id = config::randomHex();
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const absl::StatusOr<CurrentConfig> current = node.currentConfig();
        if (!current.ok()) {
            return fail(current.status());
        }
        const absl::StatusOr<std::string> body = makePatch(current->document, line.words.at(2), line.force);
        if (!body.ok()) {
            return fail(body.status());
        }
        const absl::StatusOr<http::Response> response = node.patch(current->version, "application/merge-patch+json", id, *body);
        if (!response.ok() || response->status != statusPreconditionFailed) {
            return print(response);
        }
    }
    return fail(absl::AbortedError("other operators changed the configuration during each attempt; nothing was changed"));
}

int evacuateZone(OperatorClient &node, const CommandLine &line)
{
    return changeZones(node, line, &config::closeZonePatch);
}

int restoreZone(OperatorClient &node, const CommandLine &line)
{
    return changeZones(node, line, [](const config::Document &document, const std::string &zone, bool) {
        return config::openZonePatch(document, zone);
    });
}

int listZones(OperatorClient &node, const CommandLine &)
{
    const absl::StatusOr<CurrentConfig> current = node.currentConfig();
    if (!current.ok()) {
        return fail(current.status());
    }
    nlohmann::json zones = nlohmann::json::object();
    for (const std::pair<const std::string, config::ZoneSummary> &zone : config::zoneSummaries(current->document)) {
        zones[zone.first] = {{"closed", zone.second.closed}, {"instances", zone.second.instances}};
    }
    std::cout << zones.dump(2) << '\n';
    return EXIT_SUCCESS;
}

/** @brief Command of the program: its words, the number of positional arguments, usage and handler. */
struct Command {
    const char *firstWord;
    const char *secondWord;
    std::size_t words;
    const char *usage;
    int (*run)(OperatorClient &, const CommandLine &);
};

constexpr Command commands[] = {
    {"config", "show", 2, "config show", &showConfig},
    {"config", "history", 2, "config history", &showHistory},
    {"config", "patch", 3, "config patch FILE|-   [--base N] [--format merge|json] [--patch-id ID]", &patchConfig},
    {"key", "add", 4, "key add TEAM NAME", &addKey},
    {"key", "withdraw", 4, "key withdraw TEAM NAME", &withdrawKey},
    {"wave", "status", 2, "wave status", &showWaves},
    {"wave", "start", 3, "wave start POOL", &startWave},
    {"wave", "pause", 3, "wave pause WAVE", &changeWave},
    {"wave", "resume", 3, "wave resume WAVE", &changeWave},
    {"wave", "stop", 3, "wave stop WAVE", &changeWave},
    {"zone", "evacuate", 3, "zone evacuate ZONE   [--force]", &evacuateZone},
    {"zone", "restore", 3, "zone restore ZONE", &restoreZone},
    {"zone", "list", 2, "zone list", &listZones},
    {"status", "", 1, "status", &showStatus},
};

std::string usage()
{
    std::string text = "\nCommands:\n";
    for (const Command &command : commands) {
        absl::StrAppend(&text, "  ", command.usage, "\n");
    }
    return text + "  config check FILE      check a whole document offline\n"
                  "  key hash               digest of an operator's secret read from standard input, for the settings\n";
}

const Command *findCommand(const std::vector<std::string> &words)
{
    for (const Command &command : commands) {
        const bool secondWordMatches = *command.secondWord == '\0' || (words.size() > 1 && words[1] == command.secondWord);
        if (words[0] == command.firstWord && secondWordMatches && words.size() == command.words) {
            return &command;
        }
    }
    return nullptr;
}

int hashFromInput()
{
    std::string secret;
    std::getline(std::cin, secret);
    std::cout << config::sha256Hex(secret) << '\n';
    return EXIT_SUCCESS;
}

int run(const CommandLine &line)
{
    if (line.words == std::vector<std::string>{"key", "hash"}) {
        return hashFromInput();
    }
    if (line.words.size() == 3 && line.words[0] == "config" && line.words[1] == "check") {
        return checkDocument(line.words[2]);
    }
    const Command *command = line.words.empty() ? nullptr : findCommand(line.words);
    if (command == nullptr) {
        std::cerr << "oleanderwick: unknown command" << usage();
        return exitUsage;
    }
    const absl::StatusOr<http::Endpoint> endpoint = http::parseEndpoint(line.node);
    if (!endpoint.ok()) {
        std::cerr << "oleanderwick: --node: " << endpoint.status().message() << '\n';
        return exitUsage;
    }
    OperatorClient node{*endpoint, line.key};
    return command->run(node, line);
}

std::string keyFromEnvironment()
{
    const char *key = std::getenv("OLEANDERWICK_KEY");
    return key == nullptr ? "" : key;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"oleanderwick", "Command-line client for operators of a fleet."};
    options.positional_help("COMMAND ...");
    options.add_options()("n,node", "control address of a node", cxxopts::value<std::string>()->default_value("127.0.0.1:8081"));
    options.add_options()("k,key", "operator's key; default: environment variable OLEANDERWICK_KEY", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("base", "version that a patch is based on; default: the current one", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("format", "merge (RFC 7396) or json (RFC 6902)", cxxopts::value<std::string>()->default_value("merge"));
    options.add_options()("patch-id", "identifier of the patch; repeat it to send a patch again", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("force", "close a zone even if a pool has no instance in an open zone afterwards");
    options.add_options()("version", "print the version and exit");
    options.add_options()("h,help", "print this help and exit");
    options.add_options()("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help({""}) << usage();
            return EXIT_SUCCESS;
        }
        if (arguments.count("version") > 0) {
            std::cout << "oleanderwick " << version << '\n';
            return EXIT_SUCCESS;
        }
        if (sodium_init() < 0) {
            std::cerr << "oleanderwick: cannot initialize libsodium\n";
            return EXIT_FAILURE;
        }
        CommandLine line;
        line.node = arguments["node"].as<std::string>();
        line.key = arguments["key"].as<std::string>().empty() ? keyFromEnvironment() : arguments["key"].as<std::string>();
        line.base = arguments["base"].as<std::string>();
        line.format = arguments["format"].as<std::string>();
        line.patchId = arguments["patch-id"].as<std::string>();
        line.force = arguments.count("force") > 0;
        if (arguments.count("words") > 0) {
            line.words = arguments["words"].as<std::vector<std::string>>();
        }
        return run(line);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "oleanderwick: " << error.what() << '\n';
        return exitUsage;
    }
}

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

#include <cxxopts.hpp>

#include "oleanderwick/node/node.hpp"
#include "oleanderwick/settings/job_settings.hpp"
#include "oleanderwick/settings/settings.hpp"
#include "oleanderwick/telemetry/telemetry.hpp"
#include "platform/run.hpp"

namespace
{

constexpr const char *version = "0.1.0";
constexpr int exitUsage = 2;

std::string readFile(const std::string &path)
{
    std::ifstream file{path};
    return std::string{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
}

/** Runs a node with the given settings, or only reports whether they are valid if `checkOnly` is set. */
template <typename Settings, typename Run>
int runOrCheck(const std::string &path, const absl::StatusOr<Settings> &settings, bool checkOnly, Run run)
{
    if (!settings.ok()) {
        std::cerr << path << ":\n" << settings.status().message() << '\n';
        return exitUsage;
    }
    if (checkOnly) {
        std::cout << path << ": ok\n";
        return EXIT_SUCCESS;
    }
    const absl::Status status = run(*settings);
    if (!status.ok()) {
        std::cerr << status.message() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}

absl::Status runNode(const oleanderwick::settings::Settings &settings)
{
    oleanderwick::telemetry::configureLog();
    oleanderwick::node::Node node{settings};
    return node.run();
}

int start(const std::string &path, bool checkOnly)
{
    const std::string text = readFile(path);
    if (oleanderwick::settings::isJobSettings(text)) {
        return runOrCheck(path, oleanderwick::settings::parseJobSettings(text), checkOnly, oleanderwick::platform::run);
    }
    return runOrCheck(path, oleanderwick::settings::load(path), checkOnly, runNode);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"oleanderwickd",
                             "Node of a fleet: forwards callers' requests to upstreams, or schedules jobs if the settings have an entry `scheduler`."};
    options.add_options()("c,config", "settings file (YAML)", cxxopts::value<std::string>());
    options.add_options()("check", "check the settings and exit");
    options.add_options()("version", "print the version and exit");
    options.add_options()("h,help", "print this help and exit");
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (arguments.count("version") > 0) {
            std::cout << "oleanderwickd " << version << '\n';
            return EXIT_SUCCESS;
        }
        if (arguments.count("config") == 0) {
            std::cerr << "oleanderwickd: --config is required; see --help\n";
            return exitUsage;
        }
        return start(arguments["config"].as<std::string>(), arguments.count("check") > 0);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "oleanderwickd: " << error.what() << '\n';
        return exitUsage;
    }
}

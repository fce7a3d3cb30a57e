#include "settings.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <yaml-cpp/yaml.h>

namespace oleanderwick::settings
{

namespace internal
{

/** Reads the fields of one YAML map and collects all errors with their line numbers. */
class MapReader
{
public:
    MapReader(const YAML::Node &map, std::string name, std::vector<std::string> &errors)
        : m_map{map}
        , m_name{std::move(name)}
        , m_errors{errors}
    {
        if (!m_map.IsMap()) {
            fail(m_map, absl::StrCat(m_name, " has to be a map"));
        }
    }

    void fail(const YAML::Node &at, const std::string &message)
    {
        m_errors.push_back(absl::StrCat("line ", at.Mark().line + 1, ": ", message));
    }

    YAML::Node find(const char *field)
    {
        m_knownFields.emplace_back(field);
        return m_map.IsMap() ? m_map[field] : YAML::Node{YAML::NodeType::Undefined};
    }

    void text(const char *field, std::string &value, bool required = false)
    {
        const YAML::Node node = find(field);
        if (!node.IsDefined()) {
            if (required) {
                fail(m_map, absl::StrCat(m_name, ".", field, " is missing"));
            }
            return;
        }
        if (!node.IsScalar() || node.Scalar().empty()) {
            fail(node, absl::StrCat(m_name, ".", field, " has to be a non-empty string"));
            return;
        }
        value = node.Scalar();
    }

    void number(const char *field, std::uint32_t &value, std::uint32_t min, std::uint32_t max)
    {
        const YAML::Node node = find(field);
        if (!node.IsDefined()) {
            return;
        }
        std::int64_t number = -1;
        if (!node.IsScalar() || !YAML::convert<std::int64_t>::decode(node, number) || number < min || number > max) {
            fail(node, absl::StrCat(m_name, ".", field, " has to be a whole number from ", min, " to ", max));
            return;
        }
        value = static_cast<std::uint32_t>(number);
    }

    void texts(const char *field, std::vector<std::string> &values)
    {
        const YAML::Node node = find(field);
        if (!node.IsDefined()) {
            return;
        }
        if (!node.IsSequence()) {
            fail(node, absl::StrCat(m_name, ".", field, " has to be a list"));
            return;
        }
        for (const YAML::Node &entry : node) {
            if (entry.IsScalar()) {
                values.push_back(entry.Scalar());
            } else {
                fail(entry, absl::StrCat(m_name, ".", field, " has to contain strings only"));
            }
        }
    }

    void rejectUnknown()
    {
        if (!m_map.IsMap()) {
            return;
        }
        for (const std::pair<YAML::Node, YAML::Node> &entry : m_map) {
            const std::string field = entry.first.IsScalar() ? entry.first.Scalar() : "?";
            if (std::find(m_knownFields.begin(), m_knownFields.end(), field) == m_knownFields.end()) {
                fail(entry.first, absl::StrCat(m_name, ".", field, " is not a known field"));
            }
        }
    }

private:
    YAML::Node m_map;
    std::string m_name;
    std::vector<std::string> &m_errors;
    std::vector<std::string> m_knownFields;
};

constexpr std::uint32_t maxSizeLimitBytes = 64U << 20U;
constexpr std::uint32_t minMemoryMb = 16;
constexpr std::uint32_t maxMemoryMb = 1U << 20U;
constexpr std::uint32_t minDescriptors = 16;
constexpr std::uint32_t maxDescriptors = 1U << 20U;
constexpr std::uint32_t maxBalancerDelayMs = 60'000;
constexpr std::uint32_t maxDigestPeriodMs = 2'000;
constexpr std::size_t minSecretLength = 16;

void readStore(const YAML::Node &node, StoreSettings &store, std::vector<std::string> &errors)
{
    MapReader reader{node, "store", errors};
    std::string kind = "memory";
    reader.text("kind", kind);
    reader.texts("endpoints", store.endpoints);
    reader.text("prefix", store.prefix);
    reader.rejectUnknown();
    if (kind != "memory" && kind != "platform") {
        reader.fail(node, "store.kind has to be 'memory' or 'platform'");
    }
    store.kind = kind == "platform" ? StoreKind::Platform : StoreKind::Memory;
    if (store.kind == StoreKind::Platform && store.endpoints.empty()) {
        reader.fail(node, "store.endpoints is missing");
    }
}

void readOperators(const YAML::Node &sequence, std::vector<Operator> &operators, std::vector<std::string> &errors)
{
    if (!sequence.IsSequence()) {
        errors.push_back(absl::StrCat("line ", sequence.Mark().line + 1, ": settings.operators has to be a list"));
        return;
    }
    for (const YAML::Node &entry : sequence) {
        MapReader reader{entry, "operators", errors};
        Operator parsed;
        reader.text("name", parsed.name, true);
        reader.text("keyHash", parsed.keyHash, true);
        reader.rejectUnknown();
        operators.push_back(std::move(parsed));
    }
}

void readLimits(const YAML::Node &node, Settings &settings, std::vector<std::string> &errors)
{
    MapReader reader{node, "limits", errors};
    reader.number("maxBodyBytes", settings.maxBodyBytes, 1, maxSizeLimitBytes);
    reader.number("maxAnswerBytes", settings.maxAnswerBytes, 1, maxSizeLimitBytes);
    reader.number("maxRequests", settings.maxRequests, 1, 1'000'000);
    reader.number("memoryMb", settings.memoryMb, minMemoryMb, maxMemoryMb);
    reader.number("maxDescriptors", settings.maxDescriptors, minDescriptors, maxDescriptors);
    reader.number("balancerDelayMs", settings.balancerDelayMs, 0, maxBalancerDelayMs);
    reader.number("digestMs", settings.digestMs, 10, maxDigestPeriodMs);
    reader.rejectUnknown();
}

void readSettings(const YAML::Node &root, Settings &settings, std::vector<std::string> &errors)
{
    MapReader reader{root, "settings", errors};
    reader.text("node", settings.node, true);
    reader.text("zone", settings.zone);
    reader.text("callers", settings.callers);
    reader.text("control", settings.control);
    reader.text("platform", settings.platform);
    reader.texts("peers", settings.peers);
    reader.text("clusterSecret", settings.clusterSecret);
    if (const YAML::Node store = reader.find("store"); store.IsDefined()) {
        readStore(store, settings.store, errors);
    }
    if (const YAML::Node operators = reader.find("operators"); operators.IsDefined()) {
        readOperators(operators, settings.operators, errors);
    }
    if (const YAML::Node limits = reader.find("limits"); limits.IsDefined()) {
        readLimits(limits, settings, errors);
    }
    reader.rejectUnknown();
    if (!settings.peers.empty() && settings.clusterSecret.size() < minSecretLength) {
        reader.fail(root, absl::StrCat("settings.clusterSecret needs at least ", minSecretLength, " characters if there are peers"));
    }
    if (!settings.peers.empty() && settings.store.kind == StoreKind::Memory) {
        reader.fail(root, "settings.peers requires a store of kind 'platform'");
    }
    if (settings.operators.empty()) {
        reader.fail(root, "settings.operators needs at least one operator");
    }
}

} // namespace internal

absl::StatusOr<Settings> parse(const std::string &text)
{
    YAML::Node root;
    try {
        root = YAML::Load(text);
    } catch (const YAML::Exception &error) {
        return absl::InvalidArgumentError(absl::StrCat("line ", error.mark.line + 1, ": ", error.msg));
    }
    Settings settings;
    std::vector<std::string> errors;
    internal::readSettings(root, settings, errors);
    if (!errors.empty()) {
        return absl::InvalidArgumentError(absl::StrJoin(errors, "\n"));
    }
    return settings;
}

absl::StatusOr<Settings> load(const std::string &path)
{
    std::ifstream file{path};
    if (!file) {
        return absl::NotFoundError(absl::StrCat("cannot read ", path));
    }
    return parse(std::string{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}});
}

} // namespace oleanderwick::settings

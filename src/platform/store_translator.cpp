#include "store_translator.hpp"

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/address.hpp>

#include "field_reader.hpp"
#include "wire.hpp"

namespace oleanderwick::platform
{

namespace internal
{

constexpr const char *configKey = "op/config";
constexpr const char *wavePrefix = "op/wave/";
/** Ten years. */
constexpr std::int64_t maxWaveSeconds = 315'360'000;

absl::StatusOr<jobs::MaintenanceWave> readWave(const std::string &text)
{
    const absl::StatusOr<json> body = readObject(text);
    if (!body.ok()) {
        return body.status();
    }
    FieldReader fields{*body};
    const json *machines = fields.find("machines", json::value_t::array);
    jobs::MaintenanceWave wave;
    wave.number = fields.integer("wave", counterRange);
    wave.maxInstancesDown = fields.integer("cap", counterRange, 1);
    wave.duration = std::chrono::seconds{fields.integer("duration_s", {0, maxWaveSeconds})};
    if (machines == nullptr) {
        fields.fail("machines", "is missing");
    }
    if (!fields.error().empty()) {
        return absl::InvalidArgumentError(fields.error());
    }
    for (const json &machine : *machines) {
        if (machine.is_string()) {
            wave.instances.push_back(machine.get<std::string>());
        }
    }
    return wave;
}

std::vector<std::string> readLabels(FieldReader &fields)
{
    std::vector<std::string> labels;
    const json *rows = fields.find("labels", json::value_t::array);
    if (rows == nullptr) {
        return labels;
    }
    for (const json &row : *rows) {
        if (!row.is_string()) {
            fields.fail("labels", "has an entry that is not a string");
            return {};
        }
        labels.push_back(row.get<std::string>());
    }
    return labels;
}

/** Checks whether a text is an IP address and a port to which a connection can be made. */
bool isIpEndpoint(const std::string &address)
{
    const absl::StatusOr<http::Endpoint> endpoint = http::parseEndpoint(address);
    boost::system::error_code error;
    if (endpoint.ok()) {
        (void)boost::asio::ip::make_address(endpoint->host, error);
    }
    return endpoint.ok() && !error && endpoint->port != 0;
}

} // namespace internal

StoreTranslator::StoreTranslator(jobnode::LogSink &log)
    : m_log{log}
{
}

std::string StoreTranslator::operatorPrefix() const
{
    return "op/";
}

std::string StoreTranslator::workerPrefix() const
{
    return "servers/";
}

std::string StoreTranslator::zoneClosurePrefix() const
{
    return "op/evacuate/";
}

jobnode::OperatorUpdate StoreTranslator::parseOperatorItem(const jobs::StoreItem &item)
{
    jobnode::OperatorUpdate update;
    if (item.key == internal::configKey) {
        std::optional<std::pair<Routes, jobnode::OperatorUpdate>> parsed = Routes::parse(item.value);
        if (!parsed.has_value()) {
            m_log.add("config_unreadable", telemetry::Event{"config_unreadable"}.with("revision", item.revision));
            return update;
        }
        update = std::move(parsed->second);
        if (update.configVersion > m_version) {
            m_version = update.configVersion;
            m_routes = std::move(parsed->first);
        }
    } else if (item.key.starts_with(internal::wavePrefix)) {
        absl::StatusOr<jobs::MaintenanceWave> wave = internal::readWave(item.value);
        if (wave.ok()) {
            update.wave = *std::move(wave);
        } else {
            m_log.add("wave_unreadable", telemetry::Event{"wave_unreadable"}.with("key", item.key).with("error", std::string{wave.status().message()}));
        }
    }
    return update;
}

absl::StatusOr<jobs::WorkerEntry> StoreTranslator::parseWorker(const jobs::StoreItem &item) const
{
    const absl::StatusOr<json> body = readObject(item.value);
    if (!body.ok()) {
        return body.status();
    }
    FieldReader fields{*body};
    const std::string state = fields.string("state");
    jobs::WorkerEntry entry;
    entry.id = item.key.substr(workerPrefix().size());
    entry.pool = fields.string("service");
    entry.address = fields.string("address");
    entry.zone = fields.string("zone");
    entry.draining = state == "draining";
    entry.incarnation = fields.integer("born", unixTimeRange);
    const json *capacity = fields.find("capacity", json::value_t::object);
    if (capacity != nullptr) {
        FieldReader amounts{*capacity};
        entry.capacity = amounts.resources();
        if (!amounts.error().empty()) {
            fields.fail("capacity", amounts.error());
        }
    }
    entry.labels = internal::readLabels(fields);
    // The first label of the platform is the kind, the second one the rack.
    entry.rack = entry.labels.size() > 1 ? entry.labels[1] : std::string{};
    if (state != "ready" && state != "draining") {
        fields.fail("state", "is not a known one");
    }
    if (entry.pool.empty()) {
        fields.fail("service", "is missing");
    }
    if (!internal::isIpEndpoint(entry.address)) {
        fields.fail("address", "is not an IP address and a port");
    }
    if (!fields.error().empty()) {
        return absl::InvalidArgumentError(fields.error());
    }
    return entry;
}

std::pair<std::string, std::string> StoreTranslator::waveStatus(std::int64_t number, const jobs::WaveProgress &progress) const
{
    return {absl::StrCat("status/wave/", number), json{{"state", progress.completed ? "completed" : "running"}}.dump()};
}

const Routes &StoreTranslator::routes() const noexcept
{
    return m_routes;
}

} // namespace oleanderwick::platform

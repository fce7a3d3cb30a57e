#include "store_translator.hpp"

#include <absl/strings/str_cat.h>

#include "wire.hpp"

namespace oleanderwick::platform
{

namespace internal
{

constexpr const char *configKey = "op/config";
constexpr const char *wavePrefix = "op/wave/";

std::optional<jobs::MaintenanceWave> readWave(const std::string &text)
{
    const json body = parseObject(text);
    if (!body.is_object() || !body.contains("machines") || !body["machines"].is_array()) {
        return std::nullopt;
    }
    jobs::MaintenanceWave wave;
    wave.number = readInteger(body, "wave");
    wave.maxInstancesDown = readInteger(body, "cap", 1);
    wave.duration = std::chrono::seconds{readInteger(body, "duration_s")};
    for (const json &machine : body["machines"]) {
        if (machine.is_string()) {
            wave.instances.push_back(machine.get<std::string>());
        }
    }
    return wave;
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
        update.wave = internal::readWave(item.value);
    }
    return update;
}

std::optional<jobs::WorkerEntry> StoreTranslator::parseWorker(const jobs::StoreItem &item) const
{
    const json body = parseObject(item.value);
    const std::string state = body.is_object() ? readString(body, "state") : std::string{};
    if (state != "ready" && state != "draining") {
        return std::nullopt;
    }
    jobs::WorkerEntry entry;
    entry.id = item.key.substr(workerPrefix().size());
    entry.pool = readString(body, "service");
    entry.address = readString(body, "address");
    entry.zone = readString(body, "zone");
    entry.draining = state == "draining";
    entry.incarnation = readInteger(body, "born");
    if (body.contains("capacity") && body["capacity"].is_object()) {
        entry.capacity = readResources(body["capacity"]);
    }
    if (body.contains("labels") && body["labels"].is_array()) {
        for (const json &label : body["labels"]) {
            if (label.is_string()) {
                entry.labels.push_back(label.get<std::string>());
            }
        }
    }
    // The first label of the platform is the kind, the second one the rack.
    entry.rack = entry.labels.size() > 1 ? entry.labels[1] : std::string{};
    if (!http::parseEndpoint(entry.address).ok() || entry.pool.empty()) {
        return std::nullopt;
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

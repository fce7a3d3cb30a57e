#include "platform.hpp"

#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::maintenance
{

namespace internal
{

Health parseHealth(const std::string &name)
{
    if (name == "healthy") {
        return Health::Healthy;
    }
    if (name == "rebooting") {
        return Health::Rebooting;
    }
    return name == "unhealthy" ? Health::Unhealthy : Health::Unknown;
}

} // namespace internal

absl::StatusOr<PlatformList> parsePlatformList(const std::string &text)
{
    const nlohmann::json json = core::parseJsonOrDiscard(text);
    if (!json.is_object()) {
        return absl::InvalidArgumentError("the list of instances is not a JSON object");
    }
    PlatformList list;
    for (const auto &entry : json.items()) {
        if (!entry.value().is_object()) {
            return absl::InvalidArgumentError("an entry of the list of instances is not a JSON object");
        }
        const nlohmann::json health = entry.value().value("health", nlohmann::json());
        const nlohmann::json mark = entry.value().value("bootMark", nlohmann::json());
        PlatformInstance instance;
        instance.health = health.is_string() ? internal::parseHealth(health.get<std::string>()) : Health::Unknown;
        instance.bootMark = mark.is_string() ? mark.get<std::string>() : "";
        list.emplace(core::InstanceId{entry.key()}, std::move(instance));
    }
    return list;
}

} // namespace oleanderwick::maintenance

#include "wave.hpp"

#include <algorithm>
#include <array>
#include <optional>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::maintenance
{

namespace internal
{

/** Indexed by `Step`. */
constexpr std::array<std::string_view, 4> stepNames{"draining", "rebooting", "done", "failed"};
/** Indexed by `WaveStatus`. */
constexpr std::array<std::string_view, 4> statusNames{"running", "paused", "stopped", "done"};

template <typename Enum>
std::optional<Enum> enumFromName(const std::array<std::string_view, 4> &names, const std::string &name)
{
    const auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? std::nullopt : std::optional{static_cast<Enum>(found - names.begin())};
}

std::optional<Wave> waveFromJson(const nlohmann::json &json)
{
    Wave wave;
    wave.id = json.at("id").get<std::string>();
    wave.pool = core::PoolId{json.at("pool").get<std::string>()};
    const std::optional<WaveStatus> status = enumFromName<WaveStatus>(statusNames, json.at("status").get<std::string>());
    wave.reason = json.at("reason").get<std::string>();
    for (const auto &entry : json.at("steps").items()) {
        const std::optional<Step> step = enumFromName<Step>(stepNames, entry.value().get<std::string>());
        if (!step) {
            return std::nullopt;
        }
        wave.steps.emplace(core::InstanceId{entry.key()}, *step);
    }
    wave.status = status.value_or(wave.status);
    return status ? std::optional{std::move(wave)} : std::nullopt;
}

} // namespace internal

std::string_view toText(Step step) noexcept
{
    return internal::stepNames.at(static_cast<std::size_t>(step));
}

std::string_view toText(WaveStatus status) noexcept
{
    return internal::statusNames.at(static_cast<std::size_t>(status));
}

bool hasEnded(const Wave &wave) noexcept
{
    const bool inProgress = std::any_of(wave.steps.begin(), wave.steps.end(), [](const std::pair<const core::InstanceId, Step> &step) {
        return step.second == Step::Draining || step.second == Step::Rebooting;
    });
    return wave.status == WaveStatus::Done || (wave.status == WaveStatus::Stopped && !inProgress);
}

std::set<core::InstanceId> outOfService(const WaveList &list)
{
    std::set<core::InstanceId> instances;
    for (const Wave &wave : list.waves) {
        for (const std::pair<const core::InstanceId, Step> &step : wave.steps) {
            if (step.second != Step::Done) {
                instances.insert(step.first);
            }
        }
    }
    return instances;
}

std::string rebootMark(const Wave &wave, const core::InstanceId &instance)
{
    return absl::StrCat(wave.id, "/", instance.text());
}

absl::StatusOr<WaveList> startWave(WaveList list, const std::string &id, const core::PoolId &pool)
{
    for (const Wave &wave : list.waves) {
        if (wave.id == id) {
            return list;
        }
        if (wave.pool == pool && !hasEnded(wave)) {
            return absl::AlreadyExistsError(absl::StrCat("pool '", pool.text(), "' has wave '", wave.id, "' under way"));
        }
    }
    // The pool's ended waves are dropped, so that instances that failed in one do not stay out of service after the new wave.
    std::erase_if(list.waves, [&pool](const Wave &wave) {
        return wave.pool == pool;
    });
    while (list.waves.size() >= maxEndedWaves && hasEnded(list.waves.front())) {
        list.waves.erase(list.waves.begin());
    }
    list.waves.push_back(Wave{id, pool, WaveStatus::Running, "", {}});
    return list;
}

absl::StatusOr<WaveList> changeWave(WaveList list, const std::string &id, WaveStatus status)
{
    const auto wave = std::find_if(list.waves.begin(), list.waves.end(), [&id](const Wave &entry) {
        return entry.id == id;
    });
    if (wave == list.waves.end()) {
        return absl::NotFoundError(absl::StrCat("there is no wave '", id, "'"));
    }
    if (wave->status == WaveStatus::Done || wave->status == WaveStatus::Stopped) {
        return absl::FailedPreconditionError(absl::StrCat("wave '", id, "' is ", std::string{toText(wave->status)}));
    }
    wave->status = status;
    wave->reason = status == WaveStatus::Running ? "" : "by an operator";
    return list;
}

nlohmann::json toJson(const WaveList &list)
{
    nlohmann::json waves = nlohmann::json::array();
    for (const Wave &wave : list.waves) {
        nlohmann::json steps = nlohmann::json::object();
        for (const std::pair<const core::InstanceId, Step> &step : wave.steps) {
            steps[step.first.text()] = toText(step.second);
        }
        waves.push_back({{"id", wave.id}, {"pool", wave.pool.text()}, {"status", toText(wave.status)}, {"reason", wave.reason}, {"steps", std::move(steps)}});
    }
    return waves;
}

absl::StatusOr<WaveList> parseWaveList(const std::string &text)
{
    const nlohmann::json json = core::parseJsonOrDiscard(text);
    if (!json.is_array()) {
        return absl::InvalidArgumentError("the stored waves are not a JSON array");
    }
    WaveList list;
    try {
        for (const nlohmann::json &entry : json) {
            std::optional<Wave> wave = internal::waveFromJson(entry);
            if (!wave) {
                return absl::InvalidArgumentError("a stored wave has an unknown step or status");
            }
            list.waves.push_back(*std::move(wave));
        }
    } catch (const nlohmann::json::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
    return list;
}

} // namespace oleanderwick::maintenance

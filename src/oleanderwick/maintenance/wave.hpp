#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::maintenance
{

/** @brief Progress of a wave with one instance; recorded before it is acted on. */
enum class Step : std::uint8_t {
    Draining, /**< Gets no new work and finishes the work it has. */
    Rebooting, /**< Empty; the platform is asked to reboot it. */
    Done, /**< Back in service. */
    Failed, /**< Came back unhealthy. */
};

/** @brief State of a wave as a whole. */
enum class WaveStatus : std::uint8_t {
    Running,
    Paused, /**< Starts no drain; instances already started continue. */
    Stopped, /**< Ended early; drains are cancelled, reboots are finished. */
    Done, /**< Every instance was maintained. */
};

/** @brief Maintenance of all instances of a pool, a few at a time. */
struct Wave {
    std::string id;
    core::PoolId pool;
    WaveStatus status{WaveStatus::Running};
    std::string reason; /**< Why no further drain starts, or why the wave is paused or stopped; empty if there is no such reason. */
    std::map<core::InstanceId, Step> steps; /**< Progress of each instance on which the wave has started work. */

    [[nodiscard]] bool operator==(const Wave &) const = default;
};

/** @brief All waves, stored as one value of the store. */
struct WaveList {
    std::vector<Wave> waves; /**< Oldest first; at most one per pool that has not ended. */

    [[nodiscard]] bool operator==(const WaveList &) const = default;
};

/** @brief While there are at least this many waves and the oldest has ended, starting a wave drops the oldest. */
inline constexpr std::size_t maxEndedWaves = 16;

/**
 * @brief Converts a step to its stored name.
 * @param step Step to name.
 * @return Name in snake case.
 */
[[nodiscard]] std::string_view toText(Step step) noexcept;

/**
 * @brief Converts a status to its stored name.
 * @param status Status to name.
 * @return Name in snake case.
 */
[[nodiscard]] std::string_view toText(WaveStatus status) noexcept;

/**
 * @brief Checks whether a wave has ended.
 * @param wave Wave to check.
 * @return True if the wave is done, or is stopped and none of its instances is draining or rebooting.
 */
[[nodiscard]] bool hasEnded(const Wave &wave) noexcept;

/**
 * @brief Lists the instances that get no new work because of a wave.
 * @param list All waves.
 * @return Instances on which any wave has started work and that are not back in service, including failed ones.
 */
[[nodiscard]] std::set<core::InstanceId> outOfService(const WaveList &list);

/**
 * @brief Returns the mark for a wave's reboot of an instance; the platform executes each mark only once.
 * @param wave Wave that requests the reboot.
 * @param instance Instance to reboot.
 * @return Name of the wave and of the instance, joined by a slash.
 */
[[nodiscard]] std::string rebootMark(const Wave &wave, const core::InstanceId &instance);

/**
 * @brief Starts a wave; drops the pool's ended waves, and the oldest ended ones of other pools if there are too many (see `maxEndedWaves`).
 * @param list All waves.
 * @param id Name of the new wave; if it exists already, nothing changes.
 * @param pool Pool to maintain.
 * @return All waves after the change; `AlreadyExists` if the pool has a wave that has not ended.
 */
[[nodiscard]] absl::StatusOr<WaveList> startWave(WaveList list, const std::string &id, const core::PoolId &pool);

/**
 * @brief Changes the status of a wave on an operator's request.
 * @param list All waves.
 * @param id Name of the wave.
 * @param status New status: running, paused or stopped.
 * @return All waves after the change; `NotFound`, or `FailedPrecondition` if the wave is done or stopped.
 */
[[nodiscard]] absl::StatusOr<WaveList> changeWave(WaveList list, const std::string &id, WaveStatus status);

/**
 * @brief Converts waves to the JSON that is stored.
 * @param list All waves.
 * @return JSON array with one object for each wave.
 */
[[nodiscard]] nlohmann::json toJson(const WaveList &list);

/**
 * @brief Parses stored waves.
 * @param text JSON array as `toJson` produces it.
 * @return All waves, or `InvalidArgument` if the text has another form or an unknown step or status.
 */
[[nodiscard]] absl::StatusOr<WaveList> parseWaveList(const std::string &text);

} // namespace oleanderwick::maintenance

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

/** @brief How far a wave has got with an instance; recorded before it is acted on. */
enum class Step : std::uint8_t {
    Draining, /**< Gets no new work; what it has ends. */
    Rebooting, /**< Empty; the platform is asked to reboot it. */
    Done, /**< Back in service. */
    Failed, /**< Came back unhealthy. */
};

/** @brief State of a wave as a whole. */
enum class WaveStatus : std::uint8_t {
    Running,
    Paused, /**< Starts no drain; what is under way goes on. */
    Stopped, /**< Ended early; drains were taken back. */
    Done, /**< Every instance was maintained. */
};

/** @brief Maintenance of all instances of a pool, a few at a time. */
struct Wave {
    std::string id;
    core::PoolId pool;
    WaveStatus status{WaveStatus::Running};
    std::string reason; /**< Why it waits, paused or stopped; empty while it goes on. */
    std::map<core::InstanceId, Step> steps; /**< Instances that it has begun with. */

    [[nodiscard]] bool operator==(const Wave &) const = default;
};

/** @brief All waves, kept as one value of the store. */
struct WaveBook {
    std::vector<Wave> waves; /**< Oldest first; one for each pool at most that has not ended. */

    [[nodiscard]] bool operator==(const WaveBook &) const = default;
};

/** @brief Most ended waves kept. */
inline constexpr std::size_t maxEndedWaves = 16;

/**
 * @brief Gives the name of a step.
 * @param step Step to name.
 * @return Name in snake case.
 */
[[nodiscard]] std::string_view toText(Step step) noexcept;

/**
 * @brief Gives the name of a status.
 * @param status Status to name.
 * @return Name in snake case.
 */
[[nodiscard]] std::string_view toText(WaveStatus status) noexcept;

/**
 * @brief Tells whether a wave has come to its end.
 * @param wave Wave asked about.
 * @return True if nothing more happens in it.
 */
[[nodiscard]] bool hasEnded(const Wave &wave) noexcept;

/**
 * @brief Lists the instances that get no new work because of a wave.
 * @param book All waves.
 * @return Their names.
 */
[[nodiscard]] std::set<core::InstanceId> outOfService(const WaveBook &book);

/**
 * @brief Gives the mark of a wave's reboot of an instance; the platform does each mark once.
 * @param wave Wave that asks.
 * @param instance Instance to reboot.
 * @return The mark.
 */
[[nodiscard]] std::string rebootMark(const Wave &wave, const core::InstanceId &instance);

/**
 * @brief Starts a wave.
 * @param book All waves.
 * @param id Name of the new wave.
 * @param pool Pool to maintain.
 * @return The new book; `AlreadyExists` if the pool has a wave that has not ended.
 */
[[nodiscard]] absl::StatusOr<WaveBook> startWave(WaveBook book, const std::string &id, const core::PoolId &pool);

/**
 * @brief Changes a wave's status by an operator's word.
 * @param book All waves.
 * @param id Name of the wave.
 * @param status New status: running, paused or stopped.
 * @return The new book; `NotFound`, or `FailedPrecondition` if it has ended.
 */
[[nodiscard]] absl::StatusOr<WaveBook> changeWave(WaveBook book, const std::string &id, WaveStatus status);

/**
 * @brief Writes a book.
 * @param book Book to write.
 * @return JSON array.
 */
[[nodiscard]] nlohmann::json toJson(const WaveBook &book);

/**
 * @brief Reads a book.
 * @param text JSON text.
 * @return The book, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<WaveBook> bookFromText(const std::string &text);

} // namespace oleanderwick::maintenance

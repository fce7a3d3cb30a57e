#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wave.hpp"

namespace oleanderwick::maintenance
{

/** @brief Health of an instance as reported by the platform. */
enum class Health : unsigned char {
    Unknown, /**< Not listed, or the list is unavailable; counts as down. */
    Healthy,
    Rebooting,
    Unhealthy,
};

/** @brief State of an instance that a wave is planned with. */
struct InstanceView {
    core::InstanceId id;
    std::string zone;
    std::string rack;
    Health health{Health::Unknown};
    std::string bootMark; /**< Mark that was passed with its latest reboot. */
    std::uint32_t slots{0};
    std::uint32_t permitsHeld{0}; /**< Permits for this instance that nodes hold; 0 proves that nothing runs there. */
    bool zoneClosed{false}; /**< True if an operator closed the zone of the instance; it counts as down. */

    [[nodiscard]] bool operator==(const InstanceView &) const = default;
};

/** @brief State of a pool that a wave is planned with. */
struct PoolView {
    std::uint32_t budget{0}; /**< Availability budget: upper limit of instances down at once. */
    std::uint32_t demand{0}; /**< Running and waiting requests of the pool; each needs a slot. */
    std::vector<InstanceView> instances;

    [[nodiscard]] bool operator==(const PoolView &) const = default;
};

/**
 * @brief Counts the instances of a pool that are down: draining, rebooting or failed in the wave, not healthy, or in a closed zone.
 * @param wave Wave of the pool.
 * @param pool State of the pool.
 * @return Number of instances that count against the availability budget.
 */
[[nodiscard]] std::uint32_t countDown(const Wave &wave, const PoolView &pool);

/**
 * @brief Computes the next state of a wave, which must be recorded before it is acted on.
 *
 * Idle instances are drained first, otherwise rack by rack. A new drain starts only while fewer instances are down than the
 * availability budget allows and the remaining slots cover the pool's demand. One instance that comes back unhealthy pauses
 * the wave, a second one stops it.
 *
 * @param wave Recorded state.
 * @param pool State of the pool.
 * @return Next state; equal to `wave` if nothing changes.
 */
[[nodiscard]] Wave advance(Wave wave, const PoolView &pool);

/**
 * @brief Lists the instances whose reboot has to be requested, or requested again because the reply may have been lost.
 * @param wave Recorded state.
 * @param pool State of the pool.
 * @return Instances that should reboot and do not show the wave's reboot mark yet.
 */
[[nodiscard]] std::vector<core::InstanceId> dueReboots(const Wave &wave, const PoolView &pool);

} // namespace oleanderwick::maintenance

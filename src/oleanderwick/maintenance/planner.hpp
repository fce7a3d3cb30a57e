#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wave.hpp"

namespace oleanderwick::maintenance
{

/** @brief What the platform says of an instance. */
enum class Health : unsigned char {
    Unknown, /**< Not listed, or the list cannot be had; counts as down. */
    Healthy,
    Rebooting,
    Unhealthy,
};

/** @brief What is known of an instance when a wave is advanced. */
struct InstanceView {
    core::InstanceId id;
    std::string zone;
    std::string rack;
    Health health{Health::Unknown};
    std::string bootMark; /**< Mark of its latest reboot. */
    std::uint32_t slots{0};
    std::uint32_t rightsOut{0}; /**< Rights to it that nodes hold; zero proves that nothing runs there. */

    [[nodiscard]] bool operator==(const InstanceView &) const = default;
};

/** @brief What is known of a pool when a wave is advanced. */
struct PoolView {
    std::uint32_t budget{0}; /**< Most instances down at once. */
    std::uint32_t demand{0}; /**< Requests that run and wait in the pool. */
    std::vector<InstanceView> instances;

    [[nodiscard]] bool operator==(const PoolView &) const = default;
};

/**
 * @brief Counts the instances of a pool that are down: drained or rebooting by the wave, failed, or unknown.
 * @param wave Wave of the pool.
 * @param pool What is known of the pool.
 * @return Their number.
 */
[[nodiscard]] std::uint32_t countDown(const Wave &wave, const PoolView &pool);

/**
 * @brief Works out the next state of a wave; it has to be recorded before anything is done for it.
 *
 * Instances that have nothing to do go first, then rack by rack. A new drain begins only while fewer are down than the
 * budget allows and the slots that stay hold the pool's demand. One instance that comes back unhealthy pauses the wave, a
 * second one stops it.
 *
 * @param wave State recorded.
 * @param pool What is known of the pool.
 * @return Next state; the same if there is nothing to do.
 */
[[nodiscard]] Wave advance(Wave wave, const PoolView &pool);

/**
 * @brief Lists the instances that the platform should be asked to reboot, again if the answer was lost.
 * @param wave State recorded.
 * @param pool What is known of the pool.
 * @return Their names.
 */
[[nodiscard]] std::vector<core::InstanceId> dueReboots(const Wave &wave, const PoolView &pool);

} // namespace oleanderwick::maintenance

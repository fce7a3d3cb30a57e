#pragma once

#include <chrono>

#include "../core/core.hpp"

namespace oleanderwick::jobs
{

/** @brief Limits of the platform that the scheduler observes, and its optional behaviour; the settings may override them. */
struct SchedulerLimits {
    core::Duration maxLease{std::chrono::seconds{6}}; /**< Longest lease that a worker accepts. */
    bool attributeFailures{false}; /**< Tell tasks that fail on sound workers apart from workers that fail every task. */
    double remoteFactor{1.0}; /**< Factor on the duration of a task away from the rack of its data; 1 if unknown, then no task waits for that rack. */

    [[nodiscard]] bool operator==(const SchedulerLimits &) const = default;
};

} // namespace oleanderwick::jobs

#pragma once

#include <chrono>

#include "../core/core.hpp"

namespace oleanderwick::jobs
{

/** @brief Limits of the platform that the scheduler observes, and its optional decisions; the settings may override them. */
struct SchedulerLimits {
    core::Duration maxLease{std::chrono::seconds{6}}; /**< Longest lease that a worker accepts. */
    bool yieldLateWork{false}; /**< Stop late work while timely work waits for its room. */

    [[nodiscard]] bool operator==(const SchedulerLimits &) const = default;
};

} // namespace oleanderwick::jobs

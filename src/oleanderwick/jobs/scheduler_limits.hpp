#pragma once

#include <cstdint>

#include <chrono>

#include "../core/core.hpp"

namespace oleanderwick::jobs
{

/** @brief Limits of the platform that the scheduler observes, and its optional behaviour; the settings may override them. */
struct SchedulerLimits {
    core::Duration maxLease{std::chrono::seconds{6}}; /**< Longest lease that a worker accepts. */
    bool teamShares{false}; /**< Jobs have a class by the rate of their team, and teams share full pools by weight. */
    core::Duration teamRateWindow{std::chrono::seconds{5}}; /**< Time for whose jobs at its rate a team may have saved up. */
    bool attributeFailures{false}; /**< Tell tasks that fail on sound workers apart from workers that fail every task. */
    bool yieldLateWork{false}; /**< Stop late work while timely work waits for its room. */
    double lateBoundFactor{3.0}; /**< Multiple of a job's objective after which its answer has no use. */
    core::Duration moveTime{}; /**< Time from the command to move an instance until it is up in its new pool; 0: pools aren't sized for rising demand. */
    std::int64_t maxOpenTasks{0}; /**< Tasks of steps in progress that are kept in memory, but for one of each job. 0 for no limit. */
    double remoteFactor{1.0}; /**< Factor on the duration of a task away from the rack of its data; 1 if unknown, then no task waits for that rack. */

    [[nodiscard]] bool operator==(const SchedulerLimits &) const = default;
};

} // namespace oleanderwick::jobs

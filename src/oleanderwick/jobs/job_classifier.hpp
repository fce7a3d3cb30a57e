#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "../fairness/rate_meter.hpp"
#include "scheduler_limits.hpp"
#include "scheduler_output.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Decides whether a job is within or beyond the rate of its team; fixed when the owner learns of the job. */
class JobClassifier
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param limits Says whether teams have rates, and the window of these.
     * @param output Receives the decisions; must outlive this object.
     */
    JobClassifier(StateTable &state, const SchedulerLimits &limits, SchedulerOutput &output);

    /**
     * @brief Classifies a new job; a job that predates the term waits for `advance`, since jobs are restored in no order.
     * @param entry Job that was added.
     * @param now Current time of the monotonic clock.
     */
    void add(JobEntry &entry, core::TimePoint now);

    /**
     * @brief Classifies the restored jobs in the order of their submission, once there is a configuration.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

private:
    void classify(JobEntry &entry, core::TimePoint arrivedAt, core::TimePoint now);

    StateTable &m_state;
    SchedulerOutput &m_output;
    bool m_enabled;
    fairness::RateMeter m_rates;
    std::set<std::string> m_restored; /**< Jobs to be classified by `advance`. */
};

} // namespace oleanderwick::jobs

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "job_estimates.hpp"
#include "placement_diagnosis.hpp"
#include "scheduler_output.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Measures the age of the oldest unfinished job of each queue, and logs queues whose oldest job is long past its objective. */
class QueueAges
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param estimates Says when jobs are due; must outlive this object.
     * @param diagnosis Says why a job has no run; must outlive this object.
     * @param output Receives the decisions to be logged; must outlive this object.
     */
    QueueAges(const StateTable &state, const JobEstimates &estimates, const PlacementDiagnosis &diagnosis, SchedulerOutput &output);

    /**
     * @brief Measures the ages once a second; logs `job_waits_long` for a queue whose oldest job is past three times its objective.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

    /** @return Age of the oldest unfinished job in milliseconds by queue, as last measured; 0 for a queue that has none any more. */
    [[nodiscard]] const std::map<std::string, std::int64_t> &agesMs() const noexcept;

private:
    const StateTable &m_state;
    const JobEstimates &m_estimates;
    const PlacementDiagnosis &m_diagnosis;
    SchedulerOutput &m_output;
    std::map<std::string, std::int64_t> m_agesMs;
    core::TimePoint m_measuredAt;
};

} // namespace oleanderwick::jobs

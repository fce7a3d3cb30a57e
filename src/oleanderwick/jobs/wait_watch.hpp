#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "placement_diagnosis.hpp"
#include "scheduler_output.hpp"
#include "state_table.hpp"
#include "wait_reason.hpp"

namespace oleanderwick::jobs
{

/** @brief Finds steps whose turn has come and of which nothing runs, and says why: `step_waits` in the log, and a counter by reason. */
class WaitWatch
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param diagnosis Says why a step waits; must outlive this object.
     * @param output Receives the decisions to be logged; must outlive this object.
     */
    WaitWatch(const StateTable &state, const PlacementDiagnosis &diagnosis, SchedulerOutput &output);

    /**
     * @brief Looks for waiting steps once a second; examines a bounded number of those that have waited for 2 s, in turn, and logs some of them.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

    /** @return Waits that were examined since the last call. */
    [[nodiscard]] WaitCounts takeCounts() noexcept;

private:
    struct Wait {
        core::TimePoint since;
        core::TimePoint loggedAt; /**< Zero if it has not been logged. */
    };

    void findWaits(core::TimePoint now);
    void examine(core::TimePoint now, std::int64_t wallMs);

    const StateTable &m_state;
    const PlacementDiagnosis &m_diagnosis;
    SchedulerOutput &m_output;
    std::map<StepName, Wait> m_waits;
    WaitCounts m_counts{};
    core::TimePoint m_lookedAt;
};

} // namespace oleanderwick::jobs

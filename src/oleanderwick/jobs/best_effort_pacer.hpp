#pragma once

#include "scheduler_output.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Slows best-effort tasks down while serving tasks on the same worker come close to their target response time. */
class BestEffortPacer
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param output Receives the commands; must outlive this object.
     */
    BestEffortPacer(StateTable &state, SchedulerOutput &output);

    /**
     * @brief Adjusts the pace of a worker's best-effort tasks.
     * @param worker Worker that has reported the response times of its serving tasks.
     * @param now Current time of the monotonic clock.
     */
    void adjust(const Worker &worker, core::TimePoint now);

private:
    StateTable &m_state;
    SchedulerOutput &m_output;
};

} // namespace oleanderwick::jobs

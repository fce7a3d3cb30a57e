#pragma once

#include <cstdint>
#include <string>

#include "scheduler_output.hpp"
#include "state_table.hpp"
#include "task_stopper.hpp"

namespace oleanderwick::jobs
{

/** @brief Takes continuous tasks off workers within the availability budgets of their steps. */
class TaskEvacuation
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param stopper Stops the runs; must outlive this object.
     * @param output Receives the decisions to be logged; must outlive this object.
     */
    TaskEvacuation(StateTable &state, TaskStopper &stopper, SchedulerOutput &output);

    /** @brief See `Scheduler::evacuate`. */
    void evacuate(const std::string &worker, core::TimePoint now);

private:
    /** Number of tasks of the step, without the named one, that are not available, or on a worker that has not been heard of for some time. */
    [[nodiscard]] std::int64_t countOthersUnavailable(const JobEntry &entry, const TaskName &name, core::TimePoint now) const;

    StateTable &m_state;
    TaskStopper &m_stopper;
    SchedulerOutput &m_output;
};

} // namespace oleanderwick::jobs

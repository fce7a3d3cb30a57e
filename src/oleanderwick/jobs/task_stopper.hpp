#pragma once

#include <cstdint>

#include "scheduler_output.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Stops runs: issues the command, and keeps the run in the state until the worker reports that it has ended. */
class TaskStopper
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param output Receives the commands; must outlive this object.
     */
    TaskStopper(const StateTable &state, SchedulerOutput &output);

    /**
     * @brief Stops the run of a task, or repeats the stop; without effect if the task has no run.
     * @param name Name of the task.
     * @param task The task.
     * @param now Current time of the monotonic clock.
     */
    void stop(const TaskName &name, Task &task, core::TimePoint now);

    /**
     * @brief Stops a run that is not the current one of its task.
     * @param worker Worker of the run.
     * @param name Name of the task.
     * @param run Number of the run.
     */
    void stopRun(const Worker &worker, const TaskName &name, std::int64_t run);

    /**
     * @brief Checks whether it is time to repeat a stop.
     * @param sentAt When the stop was last issued.
     * @param now Current time of the monotonic clock.
     * @return True if the stop was issued long enough ago for its reply to be lost.
     */
    [[nodiscard]] static bool isRetryDue(core::TimePoint sentAt, core::TimePoint now);

private:
    const StateTable &m_state;
    SchedulerOutput &m_output;
};

} // namespace oleanderwick::jobs

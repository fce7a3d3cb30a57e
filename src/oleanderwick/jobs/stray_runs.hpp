#pragma once

#include <optional>
#include <string_view>

#include "scheduler_output.hpp"
#include "state_table.hpp"
#include "task_stopper.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Follows runs that are or may be on a worker although they are not the current runs of their tasks, until their end is proved.
 *
 * Such are runs that were given up for a copy elsewhere, and runs that a worker lists beside the current ones. Until then they count like any other.
 * Proofs are the end of the run, a later report that lacks it, a refusal of its start, and the end of the worker's process or lease. A run whose
 * start got no reply may still start after a report that lacks it; it is stopped first.
 */
class StrayRuns
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler, which has the runs; must outlive this object.
     * @param stopper Stops runs; must outlive this object.
     * @param output Receives the log; must outlive this object.
     */
    StrayRuns(StateTable &state, TaskStopper &stopper, SchedulerOutput &output);

    /**
     * @brief Gives up the current run of a task, which may still exist.
     * @param reference The task, which is known and has a run.
     * @param name Name of the task.
     * @param reason Reason for the log.
     * @param now Current time of the monotonic clock.
     */
    void release(const TaskReference &reference, const TaskName &name, std::string_view reason, core::TimePoint now);

    /**
     * @brief Stops a run that may still start.
     * @param worker Worker of the run.
     * @param name Name of the run; ignored if it is not a stray one of the worker.
     * @param now Current time of the monotonic clock.
     */
    void stop(Worker &worker, const RunName &name, core::TimePoint now);

    /**
     * @brief Handles the reply to the start of a run that has been given up since.
     * @param worker Worker of the run.
     * @param name Name of the run; ignored if it is not a stray one of the worker.
     * @param outcome Outcome of the start.
     * @param now Current time of the monotonic clock.
     */
    void handleStartReply(Worker &worker, const RunName &name, StartOutcome outcome, core::TimePoint now);

    /**
     * @brief Handles the acknowledgement of a stop.
     * @param worker Worker of the run.
     * @param name Name of the run; ignored if it is not a stray one of the worker.
     * @param now Current time of the monotonic clock.
     */
    void handleStopAcknowledged(Worker &worker, const RunName &name, core::TimePoint now);

    /**
     * @brief Takes note that a run is no stray one, as it has ended or is the current run of its task again.
     * @param worker Worker of the run.
     * @param name Name of the run; ignored if it is not a stray one of the worker.
     */
    void remove(Worker &worker, const RunName &name);

    /**
     * @brief Handles the runs of a report; its run ends and the current runs of tasks have been handled before.
     * @param worker Worker that reported.
     * @param report Running runs.
     * @param sentAt Time at which the poll was sent.
     * @param now Current time of the monotonic clock.
     */
    void handleReport(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now);

    /**
     * @brief Takes note that all runs on a worker have ended.
     * @param worker The worker.
     * @param reason Reason for the log.
     */
    void clear(Worker &worker, std::string_view reason);

private:
    /** Counts the runs of a report that are not the current runs of their tasks. */
    void addReported(Worker &worker, const WorkerReport &report);
    /** Describes a run that a worker lists; `std::nullopt` if its job is unknown. */
    [[nodiscard]] std::optional<StrayRun> describe(const TaskName &name) const;
    /** Handles the stray runs that a report lacks. */
    void handleMissing(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now);
    void settle(Worker &worker, const RunName &name, std::string_view reason);

    StateTable &m_state;
    TaskStopper &m_stopper;
    SchedulerOutput &m_output;
};

} // namespace oleanderwick::jobs

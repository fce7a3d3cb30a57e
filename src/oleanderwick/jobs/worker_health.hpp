#pragma once

#include "scheduler_output.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Decides from how runs end whether a worker gets more of them: it is quarantined after several failures, then probed.
 *
 * A failure is evidence against a worker unless the task is the likely cause: one that has failed twice in a row or stalled before, or one
 * of a continuous step that has failed on the worker before and works nowhere, or beside others that succeeded. Runs that are no evidence
 * are no probes either, so that tasks that always fail neither renew the quarantine of a worker nor take its probes from others.
 *
 * With attribution, a failure counts against the worker or against the task. A worker is sound for a job if other jobs have succeeded
 * on it in this term and it does not fail several of them now. A task that has failed on two sound workers is unsound, and its failures
 * no longer count against workers. Of the other failures since a worker's last success, those of one job count once, because the job
 * may be the cause; a task that succeeded elsewhere after its failure counts by itself.
 */
class WorkerHealth
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param output Receives the decisions to be logged; must outlive this object.
     * @param attributes Attribute failures to workers or tasks; otherwise all evidence counts against the worker.
     */
    WorkerHealth(StateTable &state, SchedulerOutput &output, bool attributes);

    /**
     * @brief Records how a run ended.
     * @param worker Worker of the run.
     * @param name Name of the task.
     * @param reference The task, which is known.
     * @param kind How the run ended.
     * @param now Current time of the monotonic clock.
     */
    void recordEnd(Worker &worker, const TaskName &name, const TaskReference &reference, RunEndKind kind, core::TimePoint now);

    /**
     * @brief Records that a run hangs, which counts as a failure of its worker. It is no evidence against the task: workers may hang now and then.
     * @param worker Worker of the run.
     * @param name Name of the task.
     * @param reference The task, which is known.
     * @param now Current time of the monotonic clock.
     */
    void recordStall(Worker &worker, const TaskName &name, const TaskReference &reference, core::TimePoint now);

    /**
     * @brief Records that a continuous task is fully started, which counts as success since it never ends with one.
     * @param worker Worker of the run.
     * @param name Name of the task.
     * @param reference The task, which is available.
     * @param now Current time of the monotonic clock.
     */
    void recordAvailable(Worker &worker, const TaskName &name, const TaskReference &reference, core::TimePoint now);

    /**
     * @brief Checks whether a worker may get another run.
     * @param worker Worker to check.
     * @param now Current time of the monotonic clock.
     * @return False while it is in quarantine, or has failed repeatedly and is being probed with one run already.
     */
    [[nodiscard]] bool mayStart(const Worker &worker, core::TimePoint now) const;

    /**
     * @brief Checks whether a worker may get another run of a job, as far as the failures of this job on it are concerned.
     * @param worker Worker to check.
     * @param job Name of the job.
     * @param now Current time of the monotonic clock.
     * @return False if several tasks of the job have just failed on it, or a run probes it after that; always true without attribution.
     */
    [[nodiscard]] bool mayStartJob(const Worker &worker, const std::string &job, core::TimePoint now) const;

    /**
     * @brief Checks whether a worker has proved sound.
     * @param worker Worker to check.
     * @return True if runs succeeded on it in this term and none has failed since; always false without attribution.
     */
    [[nodiscard]] static bool isProven(const Worker &worker);

    /**
     * @brief Counts the tasks of a job that failed on a worker.
     * @param worker Worker of the runs.
     * @param job Name of the job.
     * @return Number of its tasks in `Worker::failedTasks`.
     */
    [[nodiscard]] static std::int64_t failuresOf(const Worker &worker, const std::string &job);

    /**
     * @brief Checks whether an unsound task of a job is running.
     * @param entry The job.
     * @return True if a run of an unsound task may exist on a worker.
     */
    [[nodiscard]] static bool runsUnsound(const JobEntry &entry);

private:
    /** Returns true if a run on the worker was started after the worker's last failure and would be evidence against it if it failed. */
    [[nodiscard]] bool hasProbe(const Worker &worker, core::TimePoint now) const;
    /** Returns true if a failure of a task would be evidence against a worker. */
    [[nodiscard]] static bool isEvidenceOf(const Worker &worker, const TaskName &name, const JobEntry &entry, core::TimePoint now);
    void recordSuccess(Worker &worker, const std::string &job, core::TimePoint now);
    void recordFailure(Worker &worker, const TaskName &name, const TaskReference &reference, core::TimePoint now);
    /** Counts a failure of a task against a worker. */
    void countFailure(Worker &worker, const TaskName &name, core::TimePoint now);
    /** Takes note that the failures of a worker were counted again, and quarantines it if there are too many. */
    void noteFailure(Worker &worker, core::TimePoint now);
    void attributeSuccess(Worker &worker, const std::string &job, core::TimePoint now);
    /** Takes note that a task succeeded, which makes its failures on other workers count by themselves. */
    void confirmFailures(const TaskReference &reference, core::TimePoint now);
    /** Marks a task as unsound if it has failed on enough sound workers, and takes its failures from the count of the workers. */
    void examineTask(const TaskName &name, const TaskReference &reference, core::TimePoint now);
    /** Counts the failures attributed to a worker again, and begins or lifts its quarantine if that changes. */
    void recount(Worker &worker, core::TimePoint now);
    void quarantine(Worker &worker, core::TimePoint now);
    [[nodiscard]] std::int64_t attributedFailures(const Worker &worker);
    [[nodiscard]] static bool isSound(const Worker &worker, const std::string &job);

    StateTable &m_state;
    SchedulerOutput &m_output;
    bool m_attributes;
};

} // namespace oleanderwick::jobs

#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "open_tasks.hpp"
#include "save_queue.hpp"
#include "scheduler_output.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Decides which tasks of the accepted jobs are kept in memory: those of steps in progress that have a run or may soon start.
 *
 * Tasks of a step that isn't ready are not opened, and those that are done are closed. The number of open tasks is limited, but a job always has one
 * that may start if it has any, so that no job waits for memory alone.
 */
class TaskOpener
{
public:
    /** @brief Objects that take part; they must outlive this one. */
    struct Collaborators {
        StateTable &state;
        SaveQueue &saves;
        SchedulerOutput &output;
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param collaborators Objects that take part.
     * @param maxOpenTasks See `SchedulerLimits::maxOpenTasks`.
     */
    TaskOpener(const Collaborators &collaborators, std::int64_t maxOpenTasks);

    /** @return Open tasks of all jobs, and the jobs that have fewer open than they could start. */
    [[nodiscard]] OpenTaskFigures figures() const noexcept;

    /**
     * @brief Adds a job, and opens the tasks that a previous owner has started.
     * @param entry The job, with its `nextOccurrence`.
     * @param record What the previous owner has stored; null if there is nothing.
     */
    void add(JobEntry &entry, const JobRecord *record);

    /**
     * @brief Takes note that a task is done, so that it is closed once it has no run.
     * @param name Name of the task.
     */
    void handleTaskDone(const TaskName &name);

    /**
     * @brief Takes note that a step is done, so that others may have become ready.
     * @param entry Job of the step.
     */
    void handleStepDone(const JobEntry &entry);

    /**
     * @brief Opens a task of which a worker has reported a run: a previous owner has started it, perhaps by a clock that is ahead of this one.
     * @param entry Job of the run.
     * @param name Name of the task, with a step that the job has; ignored if it has no such task or has ended, or if the task is done.
     * @return True if the task was opened.
     */
    bool openReported(JobEntry &entry, const TaskName &name);

    /**
     * @brief Takes note that a job is removed.
     * @param entry The job.
     */
    void remove(const JobEntry &entry);

    /**
     * @brief Closes tasks that are done, and opens due occurrences and tasks that may soon start.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

private:
    void openOccurrence(JobEntry &entry, std::int64_t number, const std::vector<std::vector<TaskRecord>> *records);
    /** Opens the tasks of a step that a previous owner has recorded, but for those that are done. */
    void restoreTasks(JobEntry &entry, StepState &state, const std::vector<TaskRecord> &records);
    /** Opens the first tasks of a step up to a number of them. */
    void openTasks(JobEntry &entry, StepState &state, std::size_t count);
    /** Opens tasks of steps that are ready, as far as there is room and they may soon start; returns false if there is not enough room. */
    bool openReadySteps(JobEntry &entry, Occurrence &occurrence);
    /** Opens the due occurrences that there is room for, and one in any case; returns false if one is left. */
    bool openDueOccurrences(JobEntry &entry, std::int64_t wallMs);
    /** Opens what a job may soon start; returns false if there was not enough room for that. */
    bool openJob(JobEntry &entry, core::TimePoint now, std::int64_t wallMs);
    /** Opens the next task of a step that is ready, or the whole gang if its pool may hold it; returns false if there is none. */
    bool openOneTask(JobEntry &entry);
    void closeDone();
    [[nodiscard]] static bool hasStartableTask(const JobEntry &entry, core::TimePoint now);
    /** Checks whether a job has occurrences, or tasks of steps that are ready, which have not been opened. */
    [[nodiscard]] static bool hasUnopened(const JobEntry &entry);
    /** Checks whether the workers of a pool could run all tasks of a step at the same time if they ran nothing else. */
    [[nodiscard]] bool mayHold(const std::string &pool, const Step &step) const;

    Collaborators m_with;
    OpenTasks m_openTasks;
    std::set<std::string> m_unopened; /**< Jobs of which more may have to be opened, but for deferred ones. */
    std::set<std::string> m_deferred; /**< Jobs without room to open what they may soon start. */
    std::set<TaskName> m_done; /**< Tasks that are done and open. */
    core::TimePoint m_deferredExaminedAt;
};

} // namespace oleanderwick::jobs

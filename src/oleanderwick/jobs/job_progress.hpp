#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "job_classifier.hpp"
#include "load_meter.hpp"
#include "save_queue.hpp"
#include "scheduler_output.hpp"
#include "task_opener.hpp"
#include "task_stopper.hpp"
#include "ticket_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Course of the jobs: adding, occurrences that become due, done and failed tasks, cancellation, end and removal. */
class JobProgress
{
public:
    /** @brief Objects that take part; they must outlive this one. */
    struct Collaborators {
        StateTable &state;
        LoadMeter &loads;
        JobClassifier &classifier;
        SaveQueue &saves;
        TicketTable &tickets;
        TaskStopper &stopper;
        TaskOpener &opener;
        SchedulerOutput &output;
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param collaborators Objects that take part.
     */
    explicit JobProgress(const Collaborators &collaborators);

    /** @brief See `Scheduler::addJob`. */
    void add(Job job, const std::optional<JobRecord> &record, bool predatesTerm, core::TimePoint now);

    /** @brief See `Scheduler::cancelJob`. */
    void cancel(const std::string &id, std::int64_t wallMs, core::TimePoint now);

    /**
     * @brief Completes restored jobs whose tasks are all done, opens due occurrences and removes ended jobs whose state is stored.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

    /**
     * @brief Leaves the queued state; to be called for a run that a worker has confirmed, as a start that was sent may be refused.
     * @param entry Job of the run.
     */
    void markStarted(JobEntry &entry);

    /**
     * @brief Handles the success of a run of a job that has not ended.
     * @param entry Job of the task.
     * @param name Name of the task.
     * @param wallMs Unix time in milliseconds.
     * @param now Current time of the monotonic clock.
     */
    void handleSuccess(JobEntry &entry, const TaskName &name, std::int64_t wallMs, core::TimePoint now);

    /**
     * @brief Handles the failure of a run of a job that has not ended; ends the job if its attempts are used.
     * @param entry Job of the task.
     * @param name Name of the task.
     * @param task The task.
     * @param run Number of the run; each counts once.
     * @param wallMs Unix time in milliseconds.
     * @param now Current time of the monotonic clock.
     */
    void handleFailure(JobEntry &entry, const TaskName &name, Task &task, std::int64_t run, std::int64_t wallMs, core::TimePoint now);

    /**
     * @brief Ends a job that cannot be done.
     * @param entry Job that has not ended.
     * @param reason Why it cannot, for its team.
     * @param wallMs Unix time in milliseconds.
     * @param now Current time of the monotonic clock.
     */
    void fail(JobEntry &entry, std::string reason, std::int64_t wallMs, core::TimePoint now);

private:
    void completeRestored(core::TimePoint now, std::int64_t wallMs);
    void completeIfDone(JobEntry &entry, std::int64_t wallMs, core::TimePoint now);
    void end(JobEntry &entry, JobState state, std::int64_t wallMs, core::TimePoint now);
    void removeEnded();
    [[nodiscard]] std::int64_t maxAttempts(const JobEntry &entry) const;

    Collaborators m_with;
    std::map<std::string, std::int64_t> m_earlyCancels; /**< Unix time of cancellation by job, for jobs that were cancelled before they were added. */
    std::set<std::string> m_restored; /**< Jobs added with a stored state, in which all tasks may be done while the job is not completed. */
};

} // namespace oleanderwick::jobs

#pragma once

#include <cstdint>
#include <string_view>

#include "crash_attribution.hpp"
#include "job_progress.hpp"
#include "run_end_acks.hpp"
#include "save_queue.hpp"
#include "scheduler_output.hpp"
#include "stray_runs.hpp"
#include "task_stopper.hpp"
#include "ticket_table.hpp"
#include "worker_health.hpp"

namespace oleanderwick::jobs
{

/** @brief Follows each run from the reply to its start until its end: replies, reports of workers, losses and stalls. */
class RunTracker
{
public:
    /** @brief Objects that take part; they must outlive this one. */
    struct Collaborators {
        StateTable &state;
        JobProgress &jobs;
        TaskOpener &opener;
        WorkerHealth &health;
        CrashAttribution &crashes;
        RunEndAcks &acks;
        SaveQueue &saves;
        TicketTable &tickets;
        TaskStopper &stopper;
        StrayRuns &strays;
        SchedulerOutput &output;
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param collaborators Objects that take part.
     */
    explicit RunTracker(const Collaborators &collaborators);

    /** @brief See `Scheduler::handleStartReply`. */
    void handleStartReply(const StartCommand &command, StartOutcome outcome, std::int64_t clockMs, core::TimePoint now);

    /** @brief See `Scheduler::handleStopReply`. */
    void handleStopReply(const StopCommand &command, bool acknowledged, core::TimePoint now);

    /**
     * @brief Handles the run ends and running runs of a report, and the runs that it lacks.
     * @param worker Worker that reported, in the incarnation of the report.
     * @param report Running runs and run ends.
     * @param sentAt Time at which the poll was sent; runs that started later may be missing from the report.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void handleReport(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now, std::int64_t wallMs);

    /**
     * @brief Gives up the runs on a worker, which certainly have ended.
     * @param worker Worker of the runs.
     * @param reason Reason for the log.
     * @param now Current time of the monotonic clock.
     */
    void dropRuns(Worker &worker, std::string_view reason, core::TimePoint now);

    /**
     * @brief Gives up the runs of speculative steps on a worker, which may still exist.
     * @param worker Worker of the runs.
     * @param now Current time of the monotonic clock.
     */
    void dropSpeculative(Worker &worker, core::TimePoint now);

    /**
     * @brief Stops runs without progress and repeats stops that got no reply.
     * @param now Current time of the monotonic clock.
     */
    void advance(core::TimePoint now);

private:
    void handleRefusedStart(const TaskReference &reference, const StartCommand &command, StartOutcome outcome, Worker &worker, core::TimePoint now);
    /** Gives up a run that may still exist, so that its task can be started again beside it. */
    void releaseRun(const Worker &worker, const TaskName &name, const TaskReference &reference, std::string_view reason, core::TimePoint now);
    [[nodiscard]] TaskReference findReported(const TaskName &name);
    void handleEnd(Worker &worker, const ReportedEnd &end, core::TimePoint now, std::int64_t wallMs);
    /** Sets the time before which a task is not started again after the end of its run; it grows while a continuous task fails repeatedly. */
    void delayRestart(const TaskReference &reference, const ReportedEnd &end, core::TimePoint now);
    void handleRun(Worker &worker, const ReportedRun &reported, core::TimePoint sentAt, core::TimePoint now);
    void handleMissingRuns(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now);

    Collaborators m_with;
    core::TimePoint m_sweptAt;
};

} // namespace oleanderwick::jobs

#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "crash_attribution.hpp"
#include "run_end_acks.hpp"
#include "run_tracker.hpp"
#include "scheduler_output.hpp"
#include "worker_leases.hpp"
#include "worker_registry.hpp"

namespace oleanderwick::jobs
{

/** @brief Decides from replies, failed polls and expired leases which workers still exist, and so which runs do. */
class WorkerMonitor
{
public:
    /** @brief Objects that take part; they must outlive this one. */
    struct Collaborators {
        StateTable &state;
        const WorkerLeases &leases;
        WorkerRegistry &registry;
        RunTracker &runs;
        CrashAttribution &crashes;
        RunEndAcks &acks;
        SchedulerOutput &output;
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param collaborators Objects that take part.
     */
    explicit WorkerMonitor(const Collaborators &collaborators);

    /**
     * @brief Handles a worker's report.
     * @param id Name of the worker.
     * @param report Running runs and run ends.
     * @param sentAt Time at which the poll was sent.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     * @return The worker; null if it is unknown or the report is of an earlier incarnation and was ignored.
     */
    Worker *handleReport(const std::string &id, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now, std::int64_t wallMs);

    /** @brief See `Scheduler::handlePollFailure`. */
    void handlePollFailure(const std::string &id, bool gone, core::TimePoint now);

    /** @brief See `Scheduler::handleRunningWorkers`. */
    void handleRunningWorkers(const std::set<std::string> &running, core::TimePoint requestedAt, core::TimePoint now);

    /**
     * @brief Checks whether tasks wait to learn if their workers have ended.
     * @param now Current time of the monotonic clock.
     * @return True shortly after a worker with runs has stopped responding.
     */
    [[nodiscard]] bool awaitsWorkerFate(core::TimePoint now) const noexcept;

    /**
     * @brief Gives up runs whose lease has expired, and removes workers that have not been heard of for long.
     * @param now Current time of the monotonic clock.
     */
    void advance(core::TimePoint now);

private:
    [[nodiscard]] static bool isIdleCrash(const Worker &worker, core::TimePoint requestedAt);
    [[nodiscard]] bool mayHaveEnded(const Worker &worker, core::TimePoint requestedAt) const;
    /** Finds out from the first report of a new incarnation which runs its predecessor's end has cost. */
    void handleRestart(Worker &worker, const WorkerReport &report, core::TimePoint now);
    /** Records that the process of a worker has ended, together with its runs. */
    void handleEnd(Worker &worker, std::string_view reason, core::TimePoint now);

    Collaborators m_with;
    core::TimePoint m_sweptAt;
    core::TimePoint m_silentAt; /**< Time at which a worker with runs last stopped responding. */
};

} // namespace oleanderwick::jobs

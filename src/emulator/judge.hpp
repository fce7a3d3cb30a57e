#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oleanderwick/jobs/jobs.hpp"
#include "wave_view.hpp"
#include "worker_model.hpp"

namespace oleanderwick::emulator
{

/** @brief Violation of an invariant. */
struct Violation {
    std::string invariant; /**< Name of the invariant in snake case. */
    std::string detail; /**< Job, task, worker, team or instance concerned, with the values that violate the invariant. */
    core::TimePoint at;
};

/**
 * @brief Observes what submitters, workers and instances see, and records each violation of an invariant.
 *
 * It does not read the state of the nodes.
 */
class InvariantChecker
{
public:
    /** @brief Limits that the invariants apply. */
    struct Tolerances {
        core::Duration cancelWithin{std::chrono::seconds{3}}; /**< A cancelled job may start tasks for this long. */
        core::Duration drainWithin{std::chrono::seconds{2}}; /**< A draining worker may get starts for this long. */
        core::Duration zoneClosedWithin{std::chrono::seconds{5}}; /**< Workers of a closed zone may get starts for this long after the acknowledgement. */
        core::Duration visibleWithin{std::chrono::seconds{3}}; /**< An accepted job may be missing for this long. */
        core::Duration maxPendingAge{std::chrono::seconds{2}}; /**< Age that a number of pending jobs may have, in addition to `visibleWithin`. */
        core::Duration minOwnerGap{std::chrono::seconds{3}}; /**< Minimum time between commands with different fencing tokens to one instance. */
        core::Duration unusedWorkerWithin{std::chrono::seconds{7}}; /**< A worker may be without a task that waits for it for this long. */
        core::Duration storeSettleTime{std::chrono::seconds{3}}; /**< Time after a store fault during which starts on draining workers are accepted. */
        double allowedExcessShare{0.1}; /**< Share by which a team may exceed its CPU limit, in addition to the CPU of one task. */
    };

    explicit InvariantChecker(const Tolerances &tolerances);

    /** @name What submitters see */
    /** @{ */
    void submitted(const jobs::Job &job);
    void accepted(const std::string &job, core::TimePoint now);
    void rejected(const std::string &job);
    void cancelRequested(const std::string &job);
    void cancelled(const std::string &job, core::TimePoint now);
    void stateReported(const std::string &job, jobs::JobState state, core::TimePoint now);
    void reportedMissing(const std::string &job, core::TimePoint now);
    /** `count` is a queue's number of pending jobs in reply to a question asked at `askedAt`. */
    void pendingReported(const std::string &queue, std::int64_t count, core::TimePoint askedAt, core::TimePoint now);
    void simulationEnded(core::TimePoint now);
    /** @} */

    /** @name What workers see */
    /** @{ */
    void started(const WorkerModel &worker, const EmulatedRun &run, const jobs::StartCommand &command, core::TimePoint now);
    void ended(const WorkerModel &worker, const EmulatedRun &run, jobs::RunEndKind kind);
    void acknowledged(const jobs::ReportedEnd &end);
    void workerLost(const WorkerModel &worker);
    void draining(const std::string &worker, core::TimePoint now);
    /** The closure of a zone was acknowledged to an operator. */
    void zoneClosed(const std::string &zone, core::TimePoint now);
    /** An operator asked to open a zone. */
    void zoneOpened(const std::string &zone);
    /** Sets the end of a store fault; until `storeSettleTime` after it, starts on draining workers are no violation. */
    void storeFaultUntil(core::TimePoint until);
    /** A task that fits the worker has waited for the worker's room since `since`, while nothing kept the worker from it. */
    void workerUnused(const std::string &worker, core::TimePoint since, core::TimePoint now);
    /** @} */

    /** @name What instances see */
    /** @{ */
    void commandReceived(const std::string &instance, std::int64_t token, core::TimePoint now);
    /** `down` includes the instance; not to be called for a command that took effect late. */
    void maintenanceStarted(const std::string &instance, std::size_t down, std::int64_t maxInstancesDown, core::TimePoint now);
    /** Maintenance has begun for a wave, by a command in time or a late one. */
    void maintenanceBegun(std::int64_t wave, const std::string &instance, core::TimePoint now);
    /** @} */

    /** @name What operators see */
    /** @{ */
    void waveRequested(const jobs::MaintenanceWave &wave, core::TimePoint now);
    void waveReported(std::int64_t number, bool completed, core::TimePoint now);
    /** @return Waves by number. */
    [[nodiscard]] const std::map<std::int64_t, WaveView> &waves() const noexcept;
    /** @} */

    /**
     * @brief Sets the upper limits of the teams.
     * @param limits Limit by team; a CPU limit of 0 is not checked.
     */
    void setTeamLimits(std::map<std::string, jobs::Resources> limits);

    /** @return Violations, oldest first. */
    [[nodiscard]] const std::vector<Violation> &violations() const noexcept;

    /** @return Number of starts seen on workers. */
    [[nodiscard]] std::uint64_t starts() const noexcept;

private:
    struct TaskView {
        std::set<std::string> runningOn; /**< Workers on which it runs. */
        bool done{false};
        bool doneAcknowledged{false};
        std::set<std::int64_t> failedRuns;
        std::set<std::int64_t> acknowledgedFailures;
    };
    struct JobView {
        jobs::Job job;
        bool accepted{false};
        core::TimePoint acceptedAt;
        bool rejected{false};
        bool cancelRequested{false};
        bool cancelled{false};
        core::TimePoint cancelledAt;
        jobs::JobState reportedState{jobs::JobState::Queued};
        bool attemptsExhausted{false};
    };

    void addViolation(const std::string &invariant, std::string detail, core::TimePoint now);
    void checkJob(const jobs::StartCommand &command, core::TimePoint now);
    void checkTask(const WorkerModel &worker, const EmulatedRun &run, core::TimePoint now);
    void checkStepOrder(const EmulatedRun &run, core::TimePoint now);
    void checkPlacement(const WorkerModel &worker, const EmulatedRun &run, core::TimePoint now);
    void checkZone(const WorkerModel &worker, const EmulatedRun &run, core::TimePoint now);
    void checkWavesAtEnd(core::TimePoint now);
    void checkTeam(const EmulatedRun &run, core::TimePoint now);
    [[nodiscard]] bool allDone(const JobView &view) const;
    [[nodiscard]] bool hasStarted(const std::string &job) const;

    Tolerances m_tolerances;
    std::map<std::string, JobView> m_jobs;
    std::map<jobs::TaskName, TaskView> m_tasks;
    core::TimePoint m_storeSettledAt;
    std::map<std::string, core::TimePoint> m_drainingSince;
    std::map<std::string, core::TimePoint> m_zoneClosedSince;
    std::map<std::int64_t, WaveView> m_waves;
    std::set<std::string> m_unusedWorkers;
    std::map<std::string, std::pair<std::int64_t, core::TimePoint>> m_lastCommand; /**< Token and time by instance. */
    std::map<std::string, jobs::Resources> m_teamLimits;
    std::map<std::string, jobs::Resources> m_teamUse;
    std::vector<Violation> m_violations;
    std::uint64_t m_starts{0};
};

} // namespace oleanderwick::emulator

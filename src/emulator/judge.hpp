#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oleanderwick/jobs/jobs.hpp"
#include "worker_model.hpp"

namespace oleanderwick::emulator
{

/** @brief Promise that was broken, and how. */
struct Violation {
    std::string promise; /**< Short name of the promise. */
    std::string detail;
    core::TimePoint at;
};

/**
 * @brief Watches what submitters, workers and instances see, and notes each broken promise.
 *
 * It knows nothing of what nodes believe.
 */
class Judge
{
public:
    /** @brief Bounds of the promises. */
    struct Bounds {
        core::Duration cancelWithin{std::chrono::seconds{3}};
        core::Duration drainWithin{std::chrono::seconds{2}};
        core::Duration visibleWithin{std::chrono::seconds{3}};
        core::Duration ownersApart{std::chrono::seconds{3}};
        core::Duration storeSettles{std::chrono::seconds{3}};
        double overLimit{0.1}; /**< Share by which a team's limit may be passed. */
    };

    explicit Judge(const Bounds &bounds);

    /** @name What submitters see */
    /** @{ */
    void submitted(const jobs::Job &job);
    void accepted(const std::string &job, core::TimePoint now);
    void refusedForGood(const std::string &job);
    void cancelAsked(const std::string &job);
    void cancelled(const std::string &job, core::TimePoint now);
    void shown(const std::string &job, jobs::JobState state, core::TimePoint now);
    void shownMissing(const std::string &job, core::TimePoint now);
    void endOfDay(core::TimePoint now);
    /** @} */

    /** @name What workers see */
    /** @{ */
    void started(const WorkerModel &worker, const EmulatedRun &run, const jobs::StartCommand &order, core::TimePoint now);
    void ended(const WorkerModel &worker, const EmulatedRun &run, jobs::RunEndKind kind);
    void acknowledged(const jobs::ReportedEnd &end);
    void lostWithWorker(const WorkerModel &worker);
    void draining(const std::string &worker, core::TimePoint now);
    /** The store is in trouble until a time: what nodes learn from it is not owed before. */
    void storeTroubled(core::TimePoint until);
    /** @} */

    /** @name What instances see */
    /** @{ */
    void ordered(const std::string &instance, std::int64_t token, core::TimePoint now);
    void maintained(const std::string &instance, std::size_t down, std::int64_t mostAtOnce, core::TimePoint now);
    /** @} */

    /**
     * @brief Sets the upper limits of teams.
     * @param limits Limit by team.
     */
    void limitTeams(std::map<std::string, jobs::Resources> limits);

    /** @return Broken promises, oldest first. */
    [[nodiscard]] const std::vector<Violation> &violations() const noexcept;

    /** @return Starts that were seen. */
    [[nodiscard]] std::uint64_t starts() const noexcept;

private:
    struct TaskView {
        std::set<std::string> runningOn; /**< Workers that run it now. */
        bool done{false};
        bool doneAcknowledged{false};
        std::set<std::int64_t> failedRuns;
        std::set<std::int64_t> acknowledgedFailures;
    };
    struct JobView {
        jobs::Job job;
        bool accepted{false};
        core::TimePoint acceptedAt;
        bool refused{false};
        bool cancelAsked{false};
        bool cancelled{false};
        core::TimePoint cancelledAt;
        jobs::JobState shown{jobs::JobState::Queued};
        bool failedForCause{false};
    };

    void broken(const std::string &promise, std::string detail, core::TimePoint now);
    void checkJob(const jobs::StartCommand &order, core::TimePoint now);
    void checkTask(const WorkerModel &worker, const EmulatedRun &run, core::TimePoint now);
    void checkOrder(const EmulatedRun &run, core::TimePoint now);
    void checkPlace(const WorkerModel &worker, const EmulatedRun &run, core::TimePoint now);
    void checkTeam(const EmulatedRun &run, core::TimePoint now);
    [[nodiscard]] bool allDone(const JobView &view) const;

    Bounds m_bounds;
    std::map<std::string, JobView> m_jobs;
    std::map<jobs::TaskName, TaskView> m_tasks;
    core::TimePoint m_storeCalmFrom;
    std::map<std::string, core::TimePoint> m_drainingSince;
    std::map<std::string, std::pair<std::int64_t, core::TimePoint>> m_lastOrder; /**< Token and time by instance. */
    std::map<std::string, jobs::Resources> m_teamLimits;
    std::map<std::string, jobs::Resources> m_teamUse;
    std::vector<Violation> m_violations;
    std::uint64_t m_starts{0};
};

} // namespace oleanderwick::emulator

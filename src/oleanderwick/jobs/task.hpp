#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "model.hpp"

namespace oleanderwick::jobs
{

/** Starts on a worker within this time of each other are equally likely to be the cause of its crash. */
inline constexpr core::Duration simultaneousStarts = std::chrono::milliseconds{100};

/** Longest time that a worker takes to stop a run. */
inline constexpr core::Duration longestStop = std::chrono::milliseconds{400};

/** @brief Phase of a task. */
enum class TaskPhase : std::uint8_t {
    Waiting, /**< Has no run on any worker. */
    Starting, /**< A start is in flight. */
    Uncertain, /**< The start got no reply; the run may be active or may still become so. */
    Running,
    Stopping, /**< A stop was sent; the run still counts against the worker's capacity. */
    Done,
};

/** @brief Scheduler state of a task. */
struct Task {
    TaskRecord record;
    TaskPhase phase{TaskPhase::Waiting};
    std::string worker; /**< Worker of the active run; empty while the task is waiting or done. */
    std::int64_t run{0}; /**< Number of the active run. */
    core::TimePoint since; /**< Start of the phase, or time of the stop's acknowledgement. */
    core::TimePoint startedAt; /**< When the current run was commanded or adopted. */
    core::TimePoint notBefore; /**< The task is not started before this time. */
    core::TimePoint progressChangedAt; /**< Last change of the progress. */
    core::TimePoint stopSentAt; /**< When a stop was last issued. */
    std::int64_t percent{0}; /**< See `ReportedRun::percent`. */
    std::int64_t measurement{0}; /**< See `ReportedRun::measurement`. */
    std::int64_t pace{100}; /**< Share of time for which the run may work, in percent. */
    core::TimePoint paceChangedAt; /**< Last change of the pace. */
    bool mayBeStopping{false}; /**< A former owner may have stopped the run shortly before this one adopted it. */
    bool paceUnknown{false}; /**< A former owner may have set the pace of the run. */
    int paceRepeats{0}; /**< Number of times for which the last command for the pace is still to be repeated. */
    bool stopAcknowledged{false}; /**< The worker has acknowledged the stop of the current run. */
    bool hasStalled{false}; /**< A run of the task has stalled in this term. */
    std::int64_t failuresInRow{0}; /**< Failed runs in this term; those of a continuous task since it has worked for a while. */
    std::set<std::string> failedOn; /**< Workers on which runs failed in this term; only of continuous tasks, or with `SchedulerLimits::attributeFailures`. */
    core::TimePoint failedAt; /**< Time of the last failure in `failedOn`; kept only with `SchedulerLimits::attributeFailures`. */
    std::int64_t doubts{0}; /**< Runs that were given up while it was unknown whether their workers had crashed, as long as the task waits for that. */
    std::int64_t unlikelyCrashes{0}; /**< Crashes in this term of workers on which other runs had begun later. */
    std::int64_t unconfirmedCrashes{0}; /**< Crashes in this term of workers on which this run was among the last to begin, if it has begun. */
    std::int64_t soleCrashes{0}; /**< Crashes in this term of workers on which runs of no other job had begun at the same time. */
    std::vector<core::Duration> crashAges; /**< Ages of the runs at all these crashes, also the unlikely ones. */
    std::int64_t inheritedCrashes{0}; /**< Number of `TaskRecord::crashedRuns` that previous owners have recorded. */
    bool onTrial{false}; /**< The task is started on a worker of its own, since it may crash its worker only after a while. */
    core::TimePoint suspectedAt; /**< Time of the last crash or doubt. */
    std::uint64_t evidenceVersion{0}; /**< Version of the job that contains the last change of `TaskRecord::crashedRuns`. */
    bool unsound{false}; /**< The task has failed on several sound workers, so that the failures are attributed to it. */

    /** @return Number of workers that crashed, or may have crashed, because of the task. */
    [[nodiscard]] std::int64_t suspicions() const noexcept
    {
        return static_cast<std::int64_t>(record.crashedRuns.size()) + unconfirmedCrashes + doubts;
    }

    /** @return True if the task may crash its worker, so that no others are started there at the same time. */
    [[nodiscard]] bool isSuspect() const noexcept
    {
        return suspicions() > 0 || onTrial;
    }

    /** @return True if the task is not started before the fate of its workers is known. */
    [[nodiscard]] bool needsVerdict() const noexcept
    {
        constexpr std::int64_t suspicionsForVerdict = 2;
        return suspicions() >= suspicionsForVerdict;
    }

    /** @return True if the last runs of the task have failed. */
    [[nodiscard]] bool failsRepeatedly() const noexcept
    {
        constexpr std::int64_t repeatedFailures = 2;
        return failuresInRow >= repeatedFailures;
    }

    /** @return True if the task, rather than its workers, is the likely cause if it fails or stalls again. A run that stalls costs seconds. */
    [[nodiscard]] bool isLikelyCause() const noexcept
    {
        return failsRepeatedly() || hasStalled;
    }

    /** @return True while a run of the task may exist on a worker. */
    [[nodiscard]] bool isActive() const noexcept
    {
        return phase != TaskPhase::Waiting && phase != TaskPhase::Done;
    }

    /**
     * @brief Checks whether a run of the task may be started, as far as the task itself is concerned.
     * @param now Current time of the monotonic clock.
     * @return True if it is waiting, not done, and not to be started later.
     */
    [[nodiscard]] bool mayStart(core::TimePoint now) const noexcept
    {
        return phase == TaskPhase::Waiting && !record.done && notBefore <= now;
    }

    /** @return True for a running continuous task that is fully started and so counts as available. */
    [[nodiscard]] bool isAvailable() const noexcept
    {
        return phase == TaskPhase::Running && percent >= 100 && !mayBeStopping;
    }
};

} // namespace oleanderwick::jobs

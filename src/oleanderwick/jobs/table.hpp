#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "model.hpp"
#include "task_list.hpp"

namespace oleanderwick::jobs
{

/** @brief Identifies a step of an occurrence of a job. */
struct StepName {
    std::string job;
    std::int64_t occurrence{0};
    std::size_t step{0};

    [[nodiscard]] auto operator<=>(const StepName &) const = default;
};

/** @brief Scheduler state of a step in one occurrence. */
struct StepState {
    TaskList tasks; /**< The first tasks of the step: those that are open or were before; none before it is ready, and none after it is done. */
    std::size_t remaining{0}; /**< Tasks that are not done, open or not. */
    std::int64_t activeTasks{0}; /**< Number of active tasks, all of which are open. */
    bool isLikelyCause{false}; /**< Of a continuous step whose tasks fail: others have succeeded on the same worker. */

    /**
     * @brief Counts the tasks that have not been opened.
     * @param step The step.
     * @return Number of tasks, none of which has started; 0 for a step that is done.
     */
    [[nodiscard]] std::int64_t unopenedTasks(const Step &step) const noexcept
    {
        return remaining == 0 ? 0 : step.count - static_cast<std::int64_t>(tasks.size());
    }

    /**
     * @brief Counts the open tasks that wait for a start.
     * @param step The step.
     * @return Number of tasks; too low by those that are done and still have a run.
     */
    [[nodiscard]] std::int64_t waitingTasks(const Step &step) const noexcept
    {
        const std::int64_t done = step.count - static_cast<std::int64_t>(remaining);
        return std::max<std::int64_t>(static_cast<std::int64_t>(tasks.size()) - done - activeTasks, 0);
    }
};

/** @brief Scheduler state of one execution of a job's steps. */
struct Occurrence {
    std::int64_t dueMs{0}; /**< Unix time from which the occurrence may start; 0 for a job that does not repeat. */
    std::vector<StepState> steps;
    std::size_t remainingSteps{0}; /**< Steps that are not done. */
};

/** @brief Scheduler state of a job. */
struct JobEntry {
    Job job;
    JobState state{JobState::Queued};
    std::int64_t endedMs{0};
    std::map<std::int64_t, Occurrence> occurrences; /**< Opened occurrences by number. */
    std::int64_t nextOccurrence{0}; /**< First occurrence that has not been opened. */
    std::uint64_t version{0}; /**< Incremented by each change that has to be stored. */
    std::uint64_t savedVersion{0}; /**< Highest version that is stored. */
    std::uint64_t savingVersion{0}; /**< Version whose save is in flight; 0 for none. */
    std::uint64_t unsavedNumber{0}; /**< Position among the jobs to be saved; 0 if it is not one of them. */
    JobState storedState{JobState::Queued}; /**< State in the store; a job without a stored state counts as queued. */
    JobState savingState{JobState::Queued}; /**< State whose save is in flight. */
    bool predatesTerm{false}; /**< A previous owner may have started runs of the job. */
    std::int64_t activeTasks{0}; /**< Number of active tasks. */
    std::int64_t openTasks{0}; /**< Number of open tasks. */
    std::int64_t deferredOccurrences{0}; /**< Occurrences that are due and were not opened, since there are too many open tasks. */
    bool allSpeculative{false}; /**< All steps are speculative, so that duplicate runs are harmless. */
    double criticalPathMs{0}; /**< Estimated duration of the critical path. */
    bool beyondRate{false}; /**< Beyond the rate of its team; fixed by `JobClassifier`, always false without `SchedulerLimits::teamShares`. */
    std::int64_t unsoundTasks{0}; /**< Number of tasks with `Task::unsound`. */
    std::int64_t yields{0}; /**< See `JobRecord::yields`. */
    std::string reason; /**< See `JobRecord::reason`. */
    core::TimePoint yieldedAt; /**< Start of the last yield. */
};

/** @brief Ended job of which runs that a previous owner commanded may still exist. */
struct EndedJob {
    std::string pool;
    std::string team;
    std::vector<Step> steps;
    std::int64_t occurrences{1}; /**< Occurrences that may have runs at the same time. */
    bool completed{false}; /**< Only its speculative steps may have runs. */
};

/** @brief Run end that is acknowledged to the worker once the job's state is stored. */
struct PendingEnd {
    std::int64_t number{0};
    std::string job; /**< Empty if the run's task is unknown, so that there is no state to store. */
    std::uint64_t version{0}; /**< Version of the job's state that contains the run end. */
};

/** @brief Identifies a run of a task. */
struct RunName {
    TaskName task;
    std::int64_t run{0};

    [[nodiscard]] auto operator<=>(const RunName &) const = default;
};

/** @brief Run that is or may be on a worker although it is not the current run of its task, such as one that was given up for a copy elsewhere. */
struct StrayRun {
    std::string pool; /**< Pool of the job. */
    std::string team; /**< Team of the job. */
    Resources each; /**< What it counts for against the limit of the team. */
    Resources demand; /**< What it takes from the capacity of the worker. */
    core::TimePoint since; /**< A report that was requested later and lacks the run proves its end, except while it may still start. */
    bool mayStillStart{false}; /**< Its start got no reply, and neither a report nor the acknowledgement of a stop has settled it since. */
    core::TimePoint stopSentAt; /**< When a stop was last issued because it may still start. */
};

/** @brief Why a worker is cordoned; each reason is set and lifted by itself. */
enum class CordonReason : std::uint8_t {
    Maintenance,
    Move, /**< Its instance is to be moved to another pool, or may have been. */
};

/** @brief Scheduler state of a worker. */
struct Worker {
    WorkerEntry entry;
    bool registered{false}; /**< The worker is in the registry. */
    std::uint64_t listedVersion{UINT64_MAX}; /**< Version of the list of used workers since which it contains this worker with its pool. */
    bool reported{false}; /**< All runs and run ends of before this term are known: the worker has reported them, or has ended. */
    bool endsTruncated{false}; /**< The last report did not list all run ends. */
    bool cordoned{false}; /**< Gets no new work, for any of `cordonReasons`. */
    std::set<CordonReason> cordonReasons; /**< Changed only together with `cordoned`. */
    bool maintenancePending{false}; /**< A maintenance wave includes the worker and has not reached it yet. */
    bool zoneClosed{false}; /**< Operators have closed the worker's zone. */
    bool vacatedWhenSilent{false}; /**< Whether `isVacated` was true at `silentSince`; a crashed worker has no runs either, and may be cordoned afterwards. */
    bool restartPlanned{false}; /**< The incarnation before it was draining or cordoned. */
    std::int64_t incarnation{0}; /**< Newest known incarnation; 0 while unknown. */
    std::int64_t clockMs{0}; /**< Time of the worker's clock at `clockAt`; 0 while unknown. */
    core::TimePoint clockAt;
    core::TimePoint silentSince; /**< Time of the first of the polls that have failed since the last reply. */
    core::TimePoint restartedAt; /**< Time at which a new incarnation was noticed that has not reported yet; zero if there is none. */
    core::TimePoint leaseExpiresBy; /**< Time by which the worker's runs have ended unless its lease is extended. */
    core::TimePoint lastReplyAt; /**< Last reply of the worker. */
    core::TimePoint nextPollAt; /**< Earliest time of the next poll. */
    core::TimePoint quarantinedUntil; /**< No run is started on the worker before this time. */
    std::int64_t consecutiveFailures{0}; /**< Failed or stalled runs since the last success; with `attributeFailures`, those attributed to the worker. */
    core::TimePoint lastFailureAt; /**< Time of the last failed or stalled run. */
    std::set<TaskName> failedTasks; /**< Tasks that failed since the last success and are not unsound; kept only with `attributeFailures`. */
    std::set<StepName> failedSteps; /**< Continuous steps of which runs failed since the last success. */
    std::vector<std::string> provenBy; /**< The last two jobs with a success on the worker in this term; kept only with `attributeFailures`. */
    bool pollInFlight{false}; /**< A poll is in flight. */
    bool unresponsive{false}; /**< The last poll failed. */
    bool crashNoted{false}; /**< The end of the worker is known, so that it counts once towards the crashes of its pool. */
    bool reservedForVerdict{false}; /**< The suspect needs a verdict, so that no other suspects share the worker either. */
    bool hasUnknownRuns{false}; /**< The last report listed runs of jobs that are not known any more. */
    Resources used; /**< Demand of `runs`. */
    Resources strayUse; /**< Demand of `strayRuns`. */
    Resources promised; /**< Free room that late work must leave to tasks for which runs were stopped. */
    core::TimePoint lastStartAt; /**< When a run was last commanded to start in this incarnation. */
    std::string lastStartJob; /**< Job of that run. */
    std::optional<TaskName> reservedFor; /**< Suspect that is started here, or will be, with no start of another job at the same time. */
    core::TimePoint reservedUntil; /**< End of the reservation. */
    std::map<TaskName, std::int64_t> runs; /**< Run number by task, for the current runs of tasks that are or may be on the worker. */
    std::map<RunName, StrayRun> strayRuns; /**< Further runs that are or may be on the worker; added and removed only by `StateTable`. */
    std::int64_t lastEnd{0}; /**< Highest number of a run end that was processed. */
    std::int64_t storedEnd{0}; /**< Run ends up to this number are stored. */
    std::int64_t ackedEnd{0}; /**< Run ends up to this number were acknowledged in a poll of the worker. */
    std::deque<PendingEnd> pendingEnds; /**< Processed run ends that are not stored yet, in the order of their numbers. */

    /** @return True if the worker is about to be moved or maintained; one that still has runs is not. */
    [[nodiscard]] bool isVacated() const noexcept
    {
        return cordoned && runs.empty();
    }

    /** @return True if an end of the worker would be no surprise: it is leaving, or was about to be moved or maintained when it was last alive. */
    [[nodiscard]] bool mayEndAsPlanned() const noexcept
    {
        return entry.draining || (unresponsive ? vacatedWhenSilent : isVacated());
    }

    /** @return Capacity without what is or may be in use; nothing while there are runs of unknown demand. May be negative. */
    [[nodiscard]] Resources freeRoom() const noexcept
    {
        return hasUnknownRuns ? Resources{} - used : entry.capacity - used - strayUse;
    }

    /**
     * @brief Reserves the worker for a suspect.
     * @param task Name of the task.
     * @param until End of the reservation.
     * @param forVerdict See `reservedForVerdict`.
     */
    void reserveFor(const TaskName &task, core::TimePoint until, bool forVerdict)
    {
        reservedFor = task;
        reservedUntil = until;
        reservedForVerdict = forVerdict;
    }

    /**
     * @brief Checks whether tasks of a job may be started now as far as the suspects on the worker are concerned.
     * @param job Name of the job.
     * @param suspects True for the suspects of the job, which may share a worker with others as long as none of them needs a verdict.
     * @param now Current time of the monotonic clock.
     * @return False while the worker is reserved for a suspect of another job.
     */
    [[nodiscard]] bool isOpenTo(const std::string &job, bool suspects, core::TimePoint now) const noexcept
    {
        return !reservedFor.has_value() || now >= reservedUntil || reservedFor->job == job || (suspects && !reservedForVerdict);
    }

    /** @return True if there are or may be runs on the worker that are not the current run of any task, such as runs that are being stopped. */
    [[nodiscard]] bool hasStrayRuns() const noexcept
    {
        return hasUnknownRuns || !strayRuns.empty();
    }

    /** @return True if a report is needed to know what the worker can take, even if none of the tasks runs on it. */
    [[nodiscard]] bool needsReport() const noexcept
    {
        return !reported || endsTruncated || clockMs == 0 || hasStrayRuns();
    }

    /** @return True if the worker is registered, responsive, not cordoned, not draining, and in an open zone. */
    [[nodiscard]] bool isSchedulable() const noexcept
    {
        return registered && !cordoned && !unresponsive && !entry.draining && !zoneClosed;
    }
};

/** @brief Replies of the advice service about one step. */
struct Advice {
    std::map<std::string, std::string> tickets; /**< Tickets of the workers that may run the step, by worker. */
    std::map<std::string, core::TimePoint> validUntil; /**< Time until which the reply about a worker is valid, by worker. */
    bool requestInFlight{false}; /**< A request is in flight. */
};

} // namespace oleanderwick::jobs

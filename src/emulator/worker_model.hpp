#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "oleanderwick/jobs/ports.hpp"

namespace oleanderwick::emulator
{

/** @brief Actual behavior of a run, which its submitter can only estimate. */
struct TaskBehavior {
    double workMs{1000.0}; /**< Work in milliseconds, for a healthy worker close to the data. */
    bool fails{false}; /**< The run ends as failed. */
    double slowdown{1.0}; /**< Factor on the duration, for a worker far from the data. */
};

/** @brief Limits and durations of workers. */
struct WorkerParameters {
    core::Duration maxLease{std::chrono::seconds{6}}; /**< Longest time from now until the end of a lease. */
    core::Duration stopGrace{std::chrono::milliseconds{300}}; /**< Longest time that a stop takes. */
    core::Duration gangTimeout{std::chrono::seconds{3}}; /**< Time after which each run of a gang ends; this model never completes a gang. */
    core::Duration checkpointInterval{std::chrono::seconds{2}}; /**< Work between two checkpoints of a run. */
    core::Duration restoreTime{std::chrono::milliseconds{250}}; /**< Time that a run needs to resume from a checkpoint. */
    bool enforcesCapacity{true}; /**< Starts that exceed the remaining capacity are refused. */
};

/** @brief Run of a task on a worker. */
struct EmulatedRun {
    jobs::TaskName task;
    std::int64_t run{0};
    jobs::Step step;
    TaskBehavior behavior;
    double workedMs{0.0}; /**< Work done in milliseconds; a resumed run starts with the work of its checkpoint minus `restoreTime`. */
    double savedMs{0.0}; /**< Work in milliseconds that the latest checkpoint holds. */
    core::TimePoint since; /**< Time of the start. */
    bool waitsForGang{false};
    core::TimePoint stopAt{core::TimePoint::max()}; /**< When a stop command ends it; `max()` without one. */
    std::int64_t pace{100}; /**< Pace in percent; scales what a best-effort run adds to the tail latency of others. */
};

/**
 * @brief One worker across its incarnations: runs, leases on its own clock, reports and fencing; without I/O.
 *
 * Callbacks supply what a worker cannot know, such as how long a task takes.
 */
class WorkerModel
{
public:
    /** @brief Supply what a worker cannot know, and receive its events. */
    struct Callbacks {
        std::function<jobs::Step(const jobs::TaskName &)> stepOf;
        std::function<TaskBehavior(const WorkerModel &, const jobs::TaskName &, std::int64_t)> behaviorOf;
        std::function<void(const WorkerModel &, const EmulatedRun &)> onStarted;
        std::function<void(const WorkerModel &, const EmulatedRun &, jobs::RunEndKind)> onEnded;
        std::function<void(const WorkerModel &, const jobs::ReportedEnd &)> onAcknowledged;
    };

    /**
     * @brief Starts the first incarnation.
     * @param entry Entry in the registry of workers.
     * @param instance Name of the instance on which it runs.
     * @param parameters Limits and durations.
     * @param clockRate Speed of its clock relative to virtual time; 0.98 is the lowest allowed.
     * @param callbacks Sources and receivers; have to outlive the worker.
     * @param now Current virtual time.
     */
    WorkerModel(jobs::WorkerEntry entry,
                std::string instance,
                const WorkerParameters &parameters,
                double clockRate,
                const Callbacks &callbacks,
                core::TimePoint now);

    /** @name Commands */
    /** @{ */

    /**
     * @brief Starts a run.
     * @param command Task, run, lease deadline and checkpoint to resume from.
     * @param token Fencing token of its sender.
     * @param now Current virtual time.
     * @return Outcome and time of the worker's clock; `Started` also if the run was already there.
     */
    jobs::StartReply start(const jobs::StartCommand &command, std::int64_t token, core::TimePoint now);

    /**
     * @brief Stops a run, and rejects later starts of it.
     * @param command Task and the highest of its runs to stop.
     * @param token Fencing token of its sender.
     * @param now Current virtual time.
     * @return False if the sender is fenced.
     */
    bool stop(const jobs::StopCommand &command, std::int64_t token, core::TimePoint now);

    /**
     * @brief Sets the pace of a run; without effect if the sender is fenced or the run is gone.
     * @param command Task, run and pace in percent.
     * @param token Fencing token of its sender.
     */
    void pace(const jobs::PaceCommand &command, std::int64_t token);

    /**
     * @brief Answers a poll: extends the lease, and drops the run ends that it acknowledges.
     * @param command Lease deadline and last acknowledged run end.
     * @param token Fencing token of its sender.
     * @param now Current virtual time.
     * @return Running runs and unacknowledged run ends, or that the sender is fenced.
     */
    jobs::PollReply poll(const jobs::PollCommand &command, std::int64_t token, core::TimePoint now);

    /** @} */
    /** @name Events */
    /** @{ */

    /**
     * @brief Advances to a time: work progresses, leases expire, stops take effect.
     * @param now Current virtual time.
     */
    void advance(core::TimePoint now);

    /**
     * @brief Ends this incarnation; all runs and unacknowledged run ends are lost.
     * @param now Current virtual time.
     */
    void crash(core::TimePoint now);

    /**
     * @brief Starts a new incarnation under the same name.
     * @param incarnation Number of the new incarnation.
     * @param now Current virtual time.
     */
    void restart(std::int64_t incarnation, core::TimePoint now);

    /** @} */
    /** @name State that faults change */
    /** @{ */
    jobs::WorkerEntry entry;
    std::string instance;
    double speed{1.0}; /**< Speed as a share of the usual one. */
    double failureRate{0.0}; /**< Share of runs that end as failed. */
    bool refuses{false}; /**< Starts are answered with `Unhealthy`; no fault sets it. */
    bool hangs{false}; /**< Runs make no progress. */
    /** @} */

    /** @return True while it is up. */
    [[nodiscard]] bool isUp() const noexcept;

    /** @return Current runs by task. */
    [[nodiscard]] const std::map<jobs::TaskName, EmulatedRun> &runs() const noexcept;

    /** @return True if there are run ends that no poll has acknowledged. */
    [[nodiscard]] bool hasUnacknowledgedEnds() const noexcept;

    /** @return Time of the next run end by completion, stop, incomplete gang or end of the lease; `max()` for none. */
    [[nodiscard]] core::TimePoint nextEventAt() const;

    /**
     * @brief Reads the worker's own clock.
     * @param now Current virtual time.
     * @return Milliseconds; 10,000 at the start of an incarnation.
     */
    [[nodiscard]] std::int64_t clockMs(core::TimePoint now) const;

    /** @return Resources of all runs together, without the CPU of best-effort ones. */
    [[nodiscard]] jobs::Resources usedResources() const;

private:
    /** Returns whether a newer token was seen, and records the token otherwise. */
    [[nodiscard]] bool isFenced(std::int64_t token);
    void extendLease(std::int64_t deadlineMs, core::TimePoint now);
    [[nodiscard]] bool isAvailable(const EmulatedRun &run) const;
    [[nodiscard]] double speedOf(const EmulatedRun &run) const;
    /** Returns the tail latency in milliseconds of a run with a target, and the CPU in thousandths of a core of any other. */
    [[nodiscard]] std::int64_t latencyOrCpuOf(const EmulatedRun &run) const;
    [[nodiscard]] std::string checkpointOf(const EmulatedRun &run) const;
    void finish(std::map<jobs::TaskName, EmulatedRun>::iterator run, jobs::RunEndKind kind);

    WorkerParameters m_parameters;
    double m_clockRate;
    const Callbacks &m_callbacks;
    bool m_up{true};
    core::TimePoint m_startedAt;
    core::TimePoint m_advancedAt;
    std::int64_t m_token{0};
    std::int64_t m_leaseEndMs{0}; /**< End of the lease on the worker's clock; 0 before the first. */
    std::int64_t m_lastEndNumber{0};
    std::deque<jobs::ReportedEnd> m_runEnds;
    std::map<jobs::TaskName, EmulatedRun> m_runs;
    std::map<jobs::TaskName, std::int64_t> m_lastRuns; /**< Highest run number that was stopped or ended in this incarnation. */
};

/**
 * @brief Writes the text of a checkpoint.
 * @param task Task that saved it.
 * @param workedMs Work in milliseconds that it holds.
 * @return Text that `checkpointedWorkMs` reads.
 */
[[nodiscard]] std::string makeCheckpoint(const jobs::TaskName &task, double workedMs);

/**
 * @brief Reads the work that a checkpoint holds.
 * @param task Task that is to resume from it.
 * @param checkpoint Text of the checkpoint.
 * @return Work in milliseconds; negative if the checkpoint belongs to another step, or cannot be read.
 */
[[nodiscard]] double checkpointedWorkMs(const jobs::TaskName &task, const std::string &checkpoint);

} // namespace oleanderwick::emulator

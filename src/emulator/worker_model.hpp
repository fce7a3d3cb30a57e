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

/** @brief What a task really takes, which its submitter only estimates. */
struct TaskTruth {
    double workMs{1000.0}; /**< Work on a sound worker near its data. */
    bool fails{false}; /**< This run ends as failed. */
    double slowdown{1.0}; /**< Factor on the time, for work away from its data. */
};

/** @brief Bounds that workers keep to. */
struct WorkerBounds {
    core::Duration longestLease{std::chrono::seconds{6}};
    core::Duration stopGrace{std::chrono::milliseconds{300}}; /**< Longest time that a stop takes. */
    core::Duration gangWait{std::chrono::seconds{3}};
    core::Duration checkpointEvery{std::chrono::seconds{2}};
    core::Duration restore{std::chrono::milliseconds{250}}; /**< Time that resuming from a checkpoint takes. */
    bool guardsCapacity{true}; /**< Refuses what does not fit. */
};

/** @brief Run on a worker. */
struct EmulatedRun {
    jobs::TaskName task;
    std::int64_t run{0};
    jobs::Step step;
    TaskTruth truth;
    double workedMs{0.0};
    double savedMs{0.0}; /**< Work that the checkpoint holds. */
    core::TimePoint since; /**< When it started, or its gang was complete. */
    bool waitsForGang{false};
    core::TimePoint stopAt{core::TimePoint::max()}; /**< When a stop ends it. */
    std::int64_t pace{100};
};

/**
 * @brief One worker over its lives: runs, leases on its own clock, lists, fencing; without I/O.
 *
 * What it cannot know by itself, such as how long a task takes, it asks of its host.
 */
class WorkerModel
{
public:
    /** @brief Answers what a worker cannot know, and takes what happens on it. */
    struct Host {
        std::function<jobs::Step(const jobs::TaskName &)> stepOf;
        std::function<TaskTruth(const WorkerModel &, const jobs::TaskName &, std::int64_t)> truthOf;
        std::function<void(const WorkerModel &, const EmulatedRun &)> onStarted;
        std::function<void(const WorkerModel &, const EmulatedRun &, jobs::RunEndKind)> onEnded;
        std::function<void(const WorkerModel &, const jobs::ReportedEnd &)> onAcknowledged;
    };

    /**
     * @brief Starts the first life.
     * @param entry What the registry says of it.
     * @param instance Instance that it runs on.
     * @param bounds Bounds to keep to.
     * @param clockRate Speed of its clock; 0.98 is the slowest allowed.
     * @param host Answers what it cannot know; has to outlive it.
     * @param now Present time.
     */
    WorkerModel(jobs::WorkerEntry entry, std::string instance, const WorkerBounds &bounds, double clockRate, const Host &host, core::TimePoint now);

    /** @name Orders */
    /** @{ */

    /**
     * @brief Takes an order to start.
     * @param order The order.
     * @param token Fencing token of its sender.
     * @param now Present time.
     * @return The answer.
     */
    jobs::StartReply start(const jobs::StartCommand &order, std::int64_t token, core::TimePoint now);

    /**
     * @brief Takes an order to stop.
     * @param order The order.
     * @param token Fencing token of its sender.
     * @param now Present time.
     * @return True if it was taken.
     */
    bool stop(const jobs::StopCommand &order, std::int64_t token, core::TimePoint now);

    /**
     * @brief Takes a change of pace.
     * @param order The order.
     * @param token Fencing token of its sender.
     */
    void pace(const jobs::PaceCommand &order, std::int64_t token);

    /**
     * @brief Takes a look: lengthens the lease and forgets ends that are acknowledged.
     * @param order The look.
     * @param token Fencing token of its sender.
     * @param now Present time.
     * @return The lists, or that the sender is fenced.
     */
    jobs::PollReply poll(const jobs::PollCommand &order, std::int64_t token, core::TimePoint now);

    /** @} */
    /** @name Events */
    /** @{ */

    /**
     * @brief Lets time pass: work is done, leases run out, stops take effect.
     * @param now Present time.
     */
    void advance(core::TimePoint now);

    /**
     * @brief Ends this life; all that runs is lost.
     * @param now Present time.
     */
    void crash(core::TimePoint now);

    /**
     * @brief Begins a new life under the same name.
     * @param incarnation Number of the new life.
     * @param now Present time.
     */
    void revive(std::int64_t incarnation, core::TimePoint now);

    /** @} */
    /** @name State that troubles change */
    /** @{ */
    jobs::WorkerEntry entry;
    std::string instance;
    double speed{1.0}; /**< Share of the usual speed. */
    double failShare{0.0}; /**< Share of starts that end as failed. */
    bool refuses{false}; /**< Answers starts as unhealthy. */
    bool hangs{false}; /**< Tasks make no progress. */
    /** @} */

    /** @return True while it is up. */
    [[nodiscard]] bool isUp() const noexcept;

    /** @return Runs by task. */
    [[nodiscard]] const std::map<jobs::TaskName, EmulatedRun> &runs() const noexcept;

    /** @return True if ends are listed that were not acknowledged. */
    [[nodiscard]] bool hasEnds() const noexcept;

    /** @return When the next run ends by itself or by a stop, or the lease is over. */
    [[nodiscard]] core::TimePoint nextChange() const;

    /**
     * @brief Tells the worker's own clock.
     * @param now Present time.
     * @return Milliseconds.
     */
    [[nodiscard]] std::int64_t clockMs(core::TimePoint now) const;

    /** @return What runs take together. */
    [[nodiscard]] jobs::Resources used() const;

private:
    [[nodiscard]] bool fenced(std::int64_t token);
    void extendLease(std::int64_t deadlineMs, core::TimePoint now);
    [[nodiscard]] bool atWork(const EmulatedRun &run) const;
    [[nodiscard]] double speedOf(const EmulatedRun &run) const;
    [[nodiscard]] std::int64_t figureOf(const EmulatedRun &run) const;
    [[nodiscard]] std::string checkpointOf(const EmulatedRun &run) const;
    void finish(std::map<jobs::TaskName, EmulatedRun>::iterator run, jobs::RunEndKind kind);

    WorkerBounds m_bounds;
    double m_clockRate;
    const Host &m_host;
    bool m_up{true};
    core::TimePoint m_bornAt;
    core::TimePoint m_advancedAt;
    std::int64_t m_token{0};
    std::int64_t m_leaseMs{0}; /**< End of the lease on the worker's clock. */
    std::int64_t m_lastEnd{0};
    std::deque<jobs::ReportedEnd> m_ends;
    std::map<jobs::TaskName, EmulatedRun> m_runs;
    std::map<jobs::TaskName, std::int64_t> m_pastRuns; /**< Highest run that was stopped or ended here. */
};

/**
 * @brief Writes a checkpoint that holds an amount of work.
 * @param task Task that made it.
 * @param workedMs The work.
 * @return Text of the checkpoint.
 */
[[nodiscard]] std::string makeCheckpoint(const jobs::TaskName &task, double workedMs);

/**
 * @brief Reads the work that a checkpoint holds.
 * @param task Task that is to resume from it.
 * @param checkpoint Text of the checkpoint.
 * @return The work in milliseconds; negative if it is not the task's own.
 */
[[nodiscard]] double workIn(const jobs::TaskName &task, const std::string &checkpoint);

} // namespace oleanderwick::emulator

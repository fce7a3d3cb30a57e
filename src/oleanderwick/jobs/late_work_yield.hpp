#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "candidate_finder.hpp"
#include "load_meter.hpp"
#include "task_stopper.hpp"
#include "worker_chooser.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Stops late work while work that can meet its objective waits for its room.
 *
 * The freed room is promised to the waiting task for a short time, in which no late work can take it.
 */
class LateWorkYield
{
public:
    /** @brief Objects that it uses; they must outlive it. */
    struct Collaborators {
        StateTable &state;
        const JobEstimates &estimates;
        const LoadMeter &loads;
        const CandidateFinder &finder;
        const WorkerChooser &chooser;
        TaskStopper &stopper;
        SchedulerOutput &output;
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param collaborators Objects that it uses.
     * @param enabled False to stop nothing.
     */
    LateWorkYield(const Collaborators &collaborators, bool enabled);

    /**
     * @brief Updates the promises and, in pools in which timely work waits, stops late runs whose room it needs.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

    /** @brief See `Scheduler::yieldWorker`. */
    void yieldWorker(const std::string &id, core::TimePoint now);

private:
    /** Run that may be stopped. */
    struct Victim {
        TaskName name;
        JobEntry *entry{nullptr};
        Task *task{nullptr};
        Resources demand;
        std::int64_t priority{0};
        bool savesProgress{false};
        double slackMs{0};
        double remainingMs{0}; /**< Estimated time until its end. */
        double cost{0}; /**< CPU time that its stop throws away, in thousandths of a core times milliseconds. */
        bool taken{false}; /**< It is already being stopped. */
    };

    /** Worker of a pool in which timely work waits. */
    struct Host {
        Worker *worker{nullptr};
        Resources free; /**< Room that no waiting task examined before will take. */
        Resources coming; /**< Like `free`, with the room of stops under way. */
        std::vector<StepName> reservedFor; /**< Steps of the tasks for which room was reserved; one entry for each task. */
        std::vector<Victim> victims;
        bool examined{false}; /**< `victims` is filled. */
    };

    /** Waiting task that causes stops. */
    struct Waiter {
        const Candidate *candidate{nullptr};
        std::size_t index{0};
        std::int64_t priority{0}; /**< Priority of the queue; continuous tasks come before all others. */
    };

    /** Stops on one worker that make room for a task. */
    struct Plan {
        Host *host{nullptr};
        std::vector<Victim *> victims;
        double cost{0};
    };

    /** Run that was stopped and has not ended yet. */
    struct PendingStop {
        std::string pool;
        std::string worker;
        TaskName name;
        std::int64_t run{0};
    };

    /** Room on a worker that is kept for a task. */
    struct Promise {
        TaskName waiter;
        std::string worker;
        Resources room;
        std::vector<PendingStop> stops;
        core::TimePoint until;
        bool freed{false}; /**< All stops have ended. */
    };

    /** Hosts and use of one search, by pool and by team. */
    struct Search {
        core::TimePoint now;
        std::int64_t wallMs{0};
        std::map<std::string, std::vector<Host>> hosts;
        std::map<std::string, Resources> teamUse; /**< Demand of the waiting tasks for which room was found. */
        std::map<std::string, std::size_t> examinedTasks;
        std::set<TaskName> promised; /**< Tasks that have a promise. */
    };

    void updatePromises(core::TimePoint now);
    [[nodiscard]] bool isPending(const PendingStop &stop) const;
    [[nodiscard]] std::set<std::string> contestedPools() const;
    [[nodiscard]] Search beginSearch(const std::set<std::string> &pools, core::TimePoint now, std::int64_t wallMs);
    void serve(const Candidate &candidate, std::int64_t priority, Search &search);
    /** Finds room for a task, by stops if necessary; false if further tasks of its step won't find any either. */
    [[nodiscard]] bool serveTask(const Waiter &waiter, Search &search);
    [[nodiscard]] bool canTake(const Host &host, const Candidate &candidate, core::TimePoint now) const;
    [[nodiscard]] std::optional<Plan> makePlan(const Waiter &waiter, bool withoutProgress, Search &search);
    [[nodiscard]] std::optional<Plan> planOnHost(Host &host, const Waiter &waiter, bool withoutProgress) const;
    void examine(Host &host, core::TimePoint now, std::int64_t wallMs);
    [[nodiscard]] std::optional<Victim> makeVictim(const TaskName &name, core::TimePoint now, std::int64_t wallMs);
    void execute(const Plan &plan, const Waiter &waiter, Search &search);
    [[nodiscard]] PendingStop stop(Victim &victim, const Worker &worker, const std::string &beneficiary, core::TimePoint now);
    [[nodiscard]] bool exceedsBound(const std::string &pool, std::size_t stops) const;

    Collaborators m_with;
    bool m_enabled;
    std::vector<Promise> m_promises;
    std::vector<PendingStop> m_pendingStops;
    core::TimePoint m_searchedAt;
    core::TimePoint m_advancedAt;
    std::int64_t m_wallMs{0}; /**< Unix time at `m_advancedAt`. */
};

} // namespace oleanderwick::jobs

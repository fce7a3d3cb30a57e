#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "../fairness/share_table.hpp"
#include "table.hpp"

namespace oleanderwick::jobs
{

/** @brief A task with the job and step that it belongs to; valid until the job is removed. */
struct TaskReference {
    JobEntry *entry{nullptr}; /**< Null if the job is unknown. */
    const Step *step{nullptr}; /**< Null if the job is unknown or has no such step. */
    Task *task{nullptr}; /**< Null if any part of the name is unknown, or the task is not open; otherwise the others are set. */
};

/**
 * @brief What the scheduler knows of jobs, workers and the use of resources by teams, with the indexes that belong to them.
 *
 * Decides nothing. Whatever takes part in a decision reads it here, and whatever starts or ends a run does so by `attach`,
 * `detach`, `release` and the functions for stray runs, which keep the capacity of workers, the use of teams and the indexes consistent.
 */
class StateTable
{
public:
    StateTable() = default;
    StateTable(const StateTable &) = delete;
    StateTable &operator=(const StateTable &) = delete;

    /** @name Configuration */
    /** @{ */

    /**
     * @brief Replaces the configuration.
     * @param config New configuration of the fleet.
     */
    void configure(FleetConfig config);

    /** @return Current configuration of the fleet. */
    [[nodiscard]] const FleetConfig &config() const noexcept;

    /**
     * @brief Finds the scheduling parameters of a queue.
     * @param name Name of the queue.
     * @return The parameters, or null if the queue is unknown; valid until the next `configure`.
     */
    [[nodiscard]] const QueuePolicy *findQueue(const std::string &name) const;

    /**
     * @brief Checks whether the workers of a pool refuse runs that exceed their free capacity.
     * @param pool Name of the pool.
     * @return False if the scheduler alone has to keep the limit; true for an unknown pool.
     */
    [[nodiscard]] bool enforcesCapacity(const std::string &pool) const;

    /**
     * @brief Checks whether a pool's instances are switched off and free of charge.
     * @param pool Name of the pool.
     * @return True for a standby pool; false for an unknown one.
     */
    [[nodiscard]] bool isStandby(const std::string &pool) const;

    /** @} */
    /** @name Jobs */
    /** @{ */

    /** @return All jobs by name, including ended ones that await removal. */
    [[nodiscard]] std::map<std::string, JobEntry> &jobs() noexcept;
    [[nodiscard]] const std::map<std::string, JobEntry> &jobs() const noexcept;

    /**
     * @brief Finds a job.
     * @param id Name of the job.
     * @return The job, or null if it is unknown.
     */
    [[nodiscard]] JobEntry *findJob(const std::string &id);
    [[nodiscard]] const JobEntry *findJob(const std::string &id) const;

    /**
     * @brief Finds a task with its job and step.
     * @param name Name of the task.
     * @return The task; members that are unknown are null.
     */
    [[nodiscard]] TaskReference findTask(const TaskName &name);

    /**
     * @brief Finds the step of a task.
     * @param name Name of the task.
     * @return The step, or null if the job is unknown or has no such step.
     */
    [[nodiscard]] const Step *findStep(const TaskName &name) const;

    /**
     * @brief Finds a task that is known to exist, such as one in `Worker::runs` whose job exists.
     * @param entry Job of the task.
     * @param name Name of the task.
     * @return The task.
     */
    [[nodiscard]] static const Task &taskOf(const JobEntry &entry, const TaskName &name);

    /**
     * @brief Counts runs of a task that ended in the same way; those of all members of a gang count, the same run once.
     * @param reference The task, which is known.
     * @param name Name of the task.
     * @param runs Member with the numbers of these runs.
     * @return Number of different runs.
     */
    [[nodiscard]] static std::int64_t countRuns(const TaskReference &reference, const TaskName &name, std::vector<std::int64_t> TaskRecord::*runs);

    /**
     * @brief Marks an ended job for removal if none of its tasks is active; otherwise `detach` does so later.
     * @param entry Job in a final state.
     */
    void markEnded(const JobEntry &entry);

    /** @return Names of the ended jobs without active tasks; whoever removes a job erases its name here. */
    [[nodiscard]] std::set<std::string> &endedJobs() noexcept;

    /**
     * @brief Keeps what the runs of a previous owner's job count for although the job has ended; without effect after `dropEndedJobs`.
     * @param job The job.
     * @param state Final state of the job; nothing is kept if no run can outlast it.
     */
    void keepEndedJob(const Job &job, JobState state);

    /** @brief Takes note that no runs of previous owners exist any more that no worker has reported. */
    void dropEndedJobs() noexcept;

    /** @return Ended jobs by name of which runs of previous owners may still exist. */
    [[nodiscard]] const std::map<std::string, EndedJob> &keptEndedJobs() const noexcept;

    /** @} */
    /** @name Workers */
    /** @{ */

    /** @return All workers by name, including those that are no longer registered. */
    [[nodiscard]] std::map<std::string, Worker> &workers() noexcept;
    [[nodiscard]] const std::map<std::string, Worker> &workers() const noexcept;

    /**
     * @brief Finds a worker.
     * @param id Name of the worker.
     * @return The worker, or null if it is unknown.
     */
    [[nodiscard]] Worker *findWorker(const std::string &id);
    [[nodiscard]] const Worker *findWorker(const std::string &id) const;

    /**
     * @brief Checks whether a worker has runs of continuous tasks.
     * @param worker Worker to check.
     * @return True if such a run is, or may be, on the worker.
     */
    [[nodiscard]] bool runsContinuous(const Worker &worker) const;
    /** @brief See `Scheduler::runsBudgeted`. */
    [[nodiscard]] bool runsBudgeted(const Worker &worker) const;

    /**
     * @brief Counts how many times in a row continuous tasks have to leave a worker until it has none.
     * @param worker The worker.
     * @return Number of turns: of a step with an availability budget, only so many tasks leave at once.
     */
    [[nodiscard]] std::int64_t evacuationTurns(const Worker &worker) const;

    /**
     * @brief Lists a worker with its current pool among those that may have runs.
     * @param worker Worker to list.
     */
    void addUsedWorker(Worker &worker);

    /**
     * @brief Lists a worker that the stored list of a previous owner contains.
     * @param worker Worker to list; if it has another pool by now, it is listed with that.
     * @param pool Pool of the worker in the stored list.
     */
    void restoreUsedWorker(Worker &worker, const std::string &pool);

    /**
     * @brief Removes a worker from those that may have runs.
     * @param worker Worker to remove; ignored if it is not listed.
     */
    void removeUsedWorker(Worker &worker);

    /** @return Pool by worker, for the workers that may have runs. */
    [[nodiscard]] const std::map<std::string, std::string> &usedWorkers() const noexcept;

    /** @return Number that increases with each change of `usedWorkers`. */
    [[nodiscard]] std::uint64_t usedWorkersVersion() const noexcept;

    /**
     * @brief Records that a version of `usedWorkers` is in the store.
     * @param version Version that was stored.
     */
    void handleUsedWorkersStored(std::uint64_t version) noexcept;

    /**
     * @brief Checks whether a successor of this owner would know that a worker may have runs.
     * @param worker Worker to check.
     * @return True if the stored list of used workers contains the worker with its pool.
     */
    [[nodiscard]] bool isStoredAsUsed(const Worker &worker) const noexcept;

    /**
     * @brief Replaces the closed zones and marks the workers in them.
     * @param zones Names of all closed zones.
     */
    void setClosedZones(std::set<std::string> zones);

    /** @return Names of the zones that operators have closed. */
    [[nodiscard]] const std::set<std::string> &closedZones() const noexcept;

    /** @} */
    /** @name Runs */
    /** @{ */

    /**
     * @brief Computes what a task takes from the capacity of its worker.
     * @param step Step of the task.
     * @return Its demand, without the CPU of a best-effort task, which does not count.
     */
    [[nodiscard]] static Resources demandOf(const Step &step) noexcept;

    /**
     * @brief Counts the runs of a step on a worker.
     * @param worker Worker to examine.
     * @param name Name of any task of the step.
     * @return Number of runs of the step that are or may be on the worker, including stray ones.
     */
    [[nodiscard]] static std::int64_t countOnWorker(const Worker &worker, const TaskName &name);

    /**
     * @brief Records a run of a task that has none.
     * @param entry Job of the task.
     * @param name Name of the task.
     * @param task The task.
     * @param worker Worker of the run.
     * @param run Number of the run.
     * @param phase Phase of the task from now on.
     * @param now Current time of the monotonic clock.
     */
    void attach(JobEntry &entry, const TaskName &name, Task &task, Worker &worker, std::int64_t run, TaskPhase phase, core::TimePoint now);

    /**
     * @brief Records that the run of a task no longer exists; without effect if the task has none.
     * @param entry Job of the task.
     * @param name Name of the task.
     * @param task The task.
     */
    void detach(JobEntry &entry, const TaskName &name, Task &task);

    /**
     * @brief Gives up the run of a task, which may still exist: the task can be started again, and the run counts as a stray one.
     * @param entry Job of the task.
     * @param name Name of the task.
     * @param task The task; without effect if it has no run.
     * @param now Current time of the monotonic clock.
     */
    void release(JobEntry &entry, const TaskName &name, Task &task, core::TimePoint now);

    /**
     * @brief Counts a run as a stray one of a worker: in its free room, in the use of the team, and where `countOnWorker` does.
     * @param worker Worker of the run.
     * @param name Name of the run; without effect if it is counted already.
     * @param run The run.
     */
    void addStrayRun(Worker &worker, const RunName &name, StrayRun run);

    /**
     * @brief Counts a stray run no longer.
     * @param worker Worker of the run.
     * @param name Name of the run; ignored if it is not a stray one of the worker.
     */
    void removeStrayRun(Worker &worker, const RunName &name);

    /**
     * @brief Checks whether a team may use more resources.
     * @param team Name of the team.
     * @param demand Resources in addition to those in use.
     * @return True if its limit allows this, or it uses nothing yet of a resource that it would exceed.
     */
    [[nodiscard]] bool isWithinTeamLimit(const std::string &team, const Resources &demand) const;

    /**
     * @brief Replaces what teams may have in use by runs of former owners that no worker has reported yet; it counts against their limits.
     * @param use Upper limit of these resources by team.
     */
    void setUnreportedUse(std::map<std::string, Resources> use);

    /**
     * @brief Returns what a team uses.
     * @param team Name of the team.
     * @return Demand of its runs that are or may be on workers, including stray ones.
     */
    [[nodiscard]] Resources teamUse(const std::string &team) const;

    /** @return Shares of teams in pools, by the pools of their jobs; the use follows the runs, an order of candidates keeps the rest. */
    [[nodiscard]] fairness::ShareTable &shares() noexcept;
    [[nodiscard]] const fairness::ShareTable &shares() const noexcept;

    /** @} */
    /** @name Need of a placement */
    /** @{ */

    /** @brief Records a change after which a task may find a worker that it did not find before. */
    void requestPlacement() noexcept;

    /** @brief Records the start of a placement. */
    void clearPlacementRequest() noexcept;

    /** @return True if `requestPlacement` was called since the last placement started, or none has been. */
    [[nodiscard]] bool isPlacementRequested() const noexcept;

    /** @} */

private:
    /** Adds to what a team uses: `each` counts against its limit, `demand` for its share of the pool. */
    void addTeamUse(const std::string &pool, const std::string &team, const Resources &each, const Resources &demand);

    FleetConfig m_config;
    std::map<std::string, JobEntry> m_jobs;
    std::set<std::string> m_endedJobs;
    std::map<std::string, EndedJob> m_keptEndedJobs;
    bool m_keepsEndedJobs{true}; /**< Runs of previous owners may exist that no worker has reported. */
    std::map<std::string, Worker> m_workers;
    std::set<std::string> m_closedZones;
    std::map<std::string, std::string> m_usedWorkers;
    std::uint64_t m_usedWorkersVersion{0};
    std::uint64_t m_storedUsedWorkersVersion{0};
    std::map<std::string, Resources> m_teamUse;
    std::map<std::string, Resources> m_unreportedUse;
    fairness::ShareTable m_shares;
    bool m_placementRequested{true};
};

} // namespace oleanderwick::jobs

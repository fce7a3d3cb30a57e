#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "arrival_rate.hpp"
#include "orders.hpp"
#include "table.hpp"

namespace oleanderwick::jobs
{

/** @brief Bounds that the scheduler keeps to; from the platform's settings where they name them. */
struct SchedulerLimits {
    core::Duration longestLease{std::chrono::seconds{6}}; /**< Longest lease that a worker grants. */

    [[nodiscard]] bool operator==(const SchedulerLimits &) const = default;
};

/**
 * @brief Places the tasks of all jobs on workers, holds the workers' leases and judges how runs end; without I/O.
 *
 * One owner at a time runs it. What is not in the store is learned from the workers, which list what runs and what has ended.
 */
class Scheduler
{
public:
    /**
     * @brief Starts the tenure of an owner.
     * @param limits Bounds to keep to.
     * @param now Start of the tenure.
     */
    Scheduler(const SchedulerLimits &limits, core::TimePoint now);

    /** @name Commands */
    /** @{ */

    /**
     * @brief Puts a configuration in force.
     * @param config The fleet's configuration.
     */
    void configure(FleetConfig config);

    /**
     * @brief Takes in what the registry says of a worker.
     * @param entry The worker's entry.
     * @param now Present time.
     */
    void listWorker(const WorkerEntry &entry, core::TimePoint now);

    /**
     * @brief Takes in that the registry names a worker no more.
     * @param id Name of the worker.
     */
    void unlistWorker(const std::string &id);

    /**
     * @brief Takes in a worker that a former owner used, whether the registry names it or not.
     * @param id Name of the worker.
     * @param pool Pool that it was in.
     */
    void expectWorker(const std::string &id, const std::string &pool);

    /**
     * @brief Takes in a job.
     * @param job The job.
     * @param record Its stored progress; nothing if there is none.
     * @param predatesTenure True if a former owner may have started something of it.
     * @param now Present time.
     */
    void addJob(Job job, const std::optional<JobRecord> &record, bool predatesTenure, core::TimePoint now);

    /**
     * @brief Cancels a job, also one that is taken in later.
     * @param id Name of the job.
     * @param wallMs Unix time.
     * @param now Present time.
     */
    void cancelJob(const std::string &id, std::int64_t wallMs, core::TimePoint now);

    /**
     * @brief Takes in a worker's lists.
     * @param worker Name of the worker.
     * @param report What it listed.
     * @param sentAt When the look was sent.
     * @param now Present time.
     * @param wallMs Unix time.
     */
    void takeReport(const std::string &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now, std::int64_t wallMs);

    /**
     * @brief Takes in that a look at a worker failed.
     * @param worker Name of the worker.
     * @param gone True if the address answered for another worker or refused the connection.
     * @param now Present time.
     */
    void takeHoldFailure(const std::string &worker, bool gone, core::TimePoint now);

    /**
     * @brief Takes in which workers run on the platform's instances.
     *
     * A worker that does not answer, or that the registry no longer names, and that no instance runs has ended with all its runs.
     * @param running Names of the workers that run on an instance.
     * @param askedAt When the list was asked for.
     * @param now Present time.
     */
    void takeRunningWorkers(const std::set<std::string> &running, core::TimePoint askedAt, core::TimePoint now);

    /**
     * @brief Takes in how a worker answered a start.
     * @param order The order.
     * @param answer The answer.
     * @param clockMs The worker's clock; 0 if it was not said.
     * @param now Present time.
     */
    void takeStartAnswer(const StartOrder &order, StartAnswer answer, std::int64_t clockMs, core::TimePoint now);

    /**
     * @brief Takes in whether a worker acknowledged a stop.
     * @param order The order.
     * @param acknowledged True if it was.
     * @param now Present time.
     */
    void takeStopAnswer(const StopOrder &order, bool acknowledged, core::TimePoint now);

    /**
     * @brief Takes in an answer of the advice service.
     * @param order The question.
     * @param tickets Ticket by worker that may run the step; nothing if there was no answer.
     * @param validFor How long the tickets hold.
     * @param now Present time.
     */
    void takeAdvice(const AdviceOrder &order, const std::optional<std::map<std::string, std::string>> &tickets, core::Duration validFor, core::TimePoint now);

    /**
     * @brief Takes in that a job's state was stored, or was not.
     * @param job Name of the job.
     * @param version Version of the state.
     * @param stored True if it is durable.
     */
    void takeSaved(const std::string &job, std::uint64_t version, bool stored);

    /**
     * @brief Closes a worker for new work, or opens it again.
     * @param id Name of the worker.
     * @param closed True to close it.
     */
    void closeWorker(const std::string &id, bool closed);

    /**
     * @brief Notes that a worker will be closed for maintenance, so that continuous tasks rather go elsewhere.
     * @param id Name of the worker.
     */
    void expectMaintenance(const std::string &id);

    /**
     * @brief Stops tasks on a closed worker as far as their availability budgets allow.
     * @param id Name of the worker.
     * @param now Present time.
     */
    void evacuate(const std::string &id, core::TimePoint now);

    /**
     * @brief Does what has become due, and places what is ready.
     * @param now Present time.
     * @param wallMs Unix time.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

    /** @return Orders that came up since the last call. */
    [[nodiscard]] Orders takeOrders();

    /** @return Decisions since the last call, for the log. */
    [[nodiscard]] std::vector<Decision> takeDecisions();

    /**
     * @brief Makes the looks that are due; each has to be answered by `takeReport` or `takeHoldFailure`.
     * @param now Present time.
     * @return The looks.
     */
    [[nodiscard]] std::vector<HoldOrder> takeHolds(core::TimePoint now);

    /**
     * @brief Takes states that are to be stored; each has to be answered by `takeSaved`.
     * @param most Most states.
     * @return The states, ended jobs first.
     */
    [[nodiscard]] std::vector<SaveOrder> takeSaves(std::size_t most);

    /** @} */
    /** @name Queries */
    /** @{ */

    /** @return Number of jobs by queue of which no task has started. */
    [[nodiscard]] std::map<std::string, std::int64_t> pendingByQueue() const;

    /** @return Whether a job has a state that is not stored and not being stored. */
    [[nodiscard]] bool hasUnsaved() const noexcept;

    /** @return True if a state of an ended job is to be stored. */
    [[nodiscard]] bool hasUnsavedEnd() const noexcept;

    /** @return Workers by name. */
    [[nodiscard]] const std::map<std::string, Worker> &workers() const noexcept;

    /**
     * @brief Finds a job.
     * @param id Name of the job.
     * @return The job, or null.
     */
    [[nodiscard]] const JobEntry *findJob(const std::string &id) const;

    /**
     * @brief Measures how full a pool is.
     * @param pool Name of the pool.
     * @return Processor share in use and wanted by ready tasks, of what open workers have; 0 for an empty pool.
     */
    [[nodiscard]] double pressure(const std::string &pool) const;

    /**
     * @brief Tells whether a pool's instances are off and free of charge.
     * @param pool Name of the pool.
     * @return True for a standby pool.
     */
    [[nodiscard]] bool isStandby(const std::string &pool) const;

    /** @return Pools whose instances are off and free of charge. */
    [[nodiscard]] std::vector<std::string> standbyPools() const;

    /**
     * @brief Tells whether nothing runs on a worker, and nothing may.
     * @param id Name of the worker.
     * @param now Present time.
     * @return True if it is certain; a worker that has not shown its lists may run what a former owner started.
     */
    [[nodiscard]] bool isVacant(const std::string &id, core::TimePoint now) const;

    /**
     * @brief Tells whether a continuous task is on a worker.
     * @param worker The worker.
     * @return True if one is, or may be.
     */
    [[nodiscard]] bool runsContinuous(const Worker &worker) const;

    /** @return Load of the pools that are not on standby, as `advance` measured it last. */
    [[nodiscard]] const std::map<std::string, PoolLoad> &poolLoads() const noexcept;

    /** @return Pool by worker, for the workers on which something may run. */
    [[nodiscard]] const std::map<std::string, std::string> &usedWorkers() const noexcept;

    /** @} */

private:
    /** What a job can still earn, best first. */
    enum class Rank : std::uint8_t {
        Begun, /**< Has begun, and can meet its objective. */
        Timely, /**< Can meet its objective. */
        Late, /**< Misses it. */
    };

    struct Candidate {
        JobEntry *entry;
        std::int64_t occurrence;
        std::size_t step;
        std::int64_t priority;
        Rank rank;
        double slackMs;
        double order; /**< Lower comes first among those of one priority and rank. */
    };

    [[nodiscard]] Task *findTask(const TaskName &name);
    [[nodiscard]] const Step *findStep(const TaskName &name) const;
    [[nodiscard]] JobEntry *findEntry(const std::string &id);
    [[nodiscard]] std::int64_t maxAttempts(const JobEntry &entry) const;
    void touch(JobEntry &entry);
    void openOccurrence(JobEntry &entry, std::int64_t number, const std::vector<std::vector<TaskRecord>> *records);
    void openDueOccurrences(JobEntry &entry, std::int64_t wallMs);

    void attach(JobEntry &entry, const TaskName &name, Task &task, Worker &worker, std::int64_t run, TaskPhase phase, core::TimePoint now);
    void detach(JobEntry &entry, const TaskName &name, Task &task);
    [[nodiscard]] Resources demandOf(const Step &step) const noexcept;
    void dropSpeculative(Worker &worker, core::TimePoint now);
    void dropRuns(Worker &worker, std::string_view reason, core::TimePoint now);
    [[nodiscard]] bool mayHaveEnded(const Worker &worker, core::TimePoint askedAt) const;
    void resetIncarnation(Worker &worker, std::int64_t incarnation, core::TimePoint now);

    void takeEnd(Worker &worker, const ListedEnd &end, core::TimePoint now, std::int64_t wallMs);
    void takeDone(JobEntry &entry, const TaskName &name, std::int64_t wallMs, core::TimePoint now);
    void completeIfDone(JobEntry &entry, std::int64_t wallMs, core::TimePoint now);
    void takeFailed(JobEntry &entry, const TaskName &name, Task &task, std::int64_t run, std::int64_t wallMs, core::TimePoint now);
    void takeRunning(Worker &worker, const ListedRun &listed, core::TimePoint now);
    void takeMissing(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now);
    void judgeWorker(Worker &worker, EndKind kind, core::TimePoint now);
    void endJob(JobEntry &entry, JobState state, std::int64_t wallMs, core::TimePoint now);
    void orderStop(Worker &worker, const TaskName &name, std::int64_t run);
    void stopTask(const TaskName &name, Task &task, core::TimePoint now);
    void forgetEnded();
    void markStarted(JobEntry &entry);

    [[nodiscard]] std::int64_t leaseFor(Worker &worker, core::TimePoint now);
    void learnClock(Worker &worker, std::int64_t clockMs, core::TimePoint now) const;
    [[nodiscard]] core::Duration longestLeaseHere() const noexcept;
    /** When the leases that a former owner gave are over. */
    [[nodiscard]] core::TimePoint formerLeasesEnd() const noexcept;
    void moveAcks(Worker &worker);
    void sweepWorkers(core::TimePoint now);
    void sweepTasks(core::TimePoint now);
    void paceFillers(Worker &worker, core::TimePoint now);

    void noteArrival(const Job &job, core::TimePoint now);
    [[nodiscard]] bool settled(const std::string &pool, core::TimePoint now) const;
    [[nodiscard]] std::vector<Candidate> candidates(core::TimePoint now, std::int64_t wallMs);
    void addCandidates(JobEntry &entry, core::TimePoint now, std::int64_t wallMs, std::vector<Candidate> &found);
    [[nodiscard]] bool stepReady(const JobEntry &entry, const Occurrence &occurrence, std::size_t step) const;
    /** Longest chain of work by the estimates, without the steps that are done; `progress` may be null. */
    [[nodiscard]] static double chainMs(const Job &job, const Occurrence *progress);
    void place(core::TimePoint now, std::int64_t wallMs);
    void placeStep(const Candidate &candidate, core::TimePoint now);
    void placeGang(const Candidate &candidate, core::TimePoint now);
    [[nodiscard]] std::map<std::string, PoolLoad> measureLoads(core::TimePoint now, std::int64_t wallMs) const;
    void addLoad(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs, PoolLoad &load) const;
    [[nodiscard]] double slackMs(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs) const;
    [[nodiscard]] bool teamHasRoom(const JobEntry &entry, const Resources &demand) const;
    [[nodiscard]] Worker *chooseWorker(const Candidate &candidate, const Step &step, core::TimePoint now);
    void indexWorkers();
    [[nodiscard]] bool isUnplaceable(const std::string &pool, const Resources &demand) const;
    /** Tells whether something was started on a worker since its last failure. */
    [[nodiscard]] bool isProbed(const Worker &worker) const;
    [[nodiscard]] bool mayTake(const Worker &worker, const Candidate &candidate, const Step &step, core::TimePoint now);
    [[nodiscard]] double placementCost(const Worker &worker, const Candidate &candidate, const Step &step) const;
    [[nodiscard]] std::int64_t countOnWorker(const Worker &worker, const Candidate &candidate) const;
    void startTask(const Candidate &candidate, std::size_t index, Worker &worker, std::int64_t run, core::TimePoint now);
    [[nodiscard]] const std::string *ticketFor(const StepName &step, const std::string &worker, core::TimePoint now) const;
    void askAdvice(const Candidate &candidate, core::TimePoint now);
    [[nodiscard]] std::int64_t othersAway(const TaskName &name, core::TimePoint now) const;
    void decide(std::string event, std::string job, std::string worker, std::string detail);

    SchedulerLimits m_limits;
    core::TimePoint m_tenureStart;
    FleetConfig m_config;
    std::map<std::string, JobEntry> m_jobs;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, Resources> m_teamUse;
    std::map<StepName, Advice> m_advice;
    std::map<std::string, ArrivalRate> m_arrivals; /**< Jobs of the last moments by pool. */
    std::set<std::string> m_unsaved; /**< Jobs with a state that is neither stored nor being stored. */
    std::set<std::string> m_unsavedEnds; /**< Those of them that have ended. */
    std::map<std::string, std::int64_t> m_earlyCancels; /**< Jobs that were cancelled before they were taken in, with the Unix time. */
    std::set<std::string> m_restored; /**< Jobs taken in with a stored state: the last end may be stored without the job's. */
    std::set<std::string> m_ended; /**< Ended jobs that are still held. */
    std::map<std::string, std::string> m_usedWorkers;
    std::map<std::string, std::vector<Worker *>> m_poolWorkers; /**< Workers that may take something, by pool; only while placing. */
    std::map<std::string, std::vector<Resources>> m_unplaceable; /**< Demands that fit nowhere, by pool; only while placing. */
    std::map<std::string, PoolLoad> m_loads;
    core::TimePoint m_loadsAt;
    core::TimePoint m_sweptAt;
    bool m_placementDue{true};
    core::TimePoint m_lastPlacement;
    Orders m_orders;
    std::vector<Decision> m_decisions;
};

} // namespace oleanderwick::jobs

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "arrival_rate.hpp"
#include "commands.hpp"
#include "table.hpp"

namespace oleanderwick::jobs
{

/** @brief Limits of the platform that the scheduler observes; the settings may override them. */
struct SchedulerLimits {
    core::Duration maxLease{std::chrono::seconds{6}}; /**< Longest lease that a worker accepts. */

    [[nodiscard]] bool operator==(const SchedulerLimits &) const = default;
};

/**
 * @brief Places the tasks of all jobs on workers, maintains the workers' leases and processes run ends; performs no I/O.
 *
 * Only the current owner runs a scheduler. State that is not in the store is recovered from the workers, which report their
 * running runs and their run ends.
 */
class Scheduler
{
public:
    /**
     * @brief Creates the scheduler at the start of an owner's term.
     * @param limits Limits of the platform.
     * @param now Start of the term on the monotonic clock.
     */
    Scheduler(const SchedulerLimits &limits, core::TimePoint now);

    /** @name Modifiers */
    /** @{ */

    /**
     * @brief Replaces the configuration.
     * @param config New configuration of the fleet.
     */
    void configure(FleetConfig config);

    /**
     * @brief Adds a worker of the registry or updates its entry; an entry of an earlier incarnation is ignored.
     * @param entry Registry entry of the worker.
     * @param now Current time of the monotonic clock.
     */
    void registerWorker(const WorkerEntry &entry, core::TimePoint now);

    /**
     * @brief Marks a worker as removed from the registry; its runs are kept until they end or its lease expires.
     * @param id Name of the worker; ignored if unknown.
     */
    void unregisterWorker(const std::string &id);

    /**
     * @brief Adds a worker on which a previous owner may have started runs, whether or not it is in the registry.
     * @param id Name of the worker.
     * @param pool Pool of the worker at that time, as listed in `usedWorkers`; the entry of a registered worker keeps its own pool.
     */
    void restoreWorker(const std::string &id, const std::string &pool);

    /**
     * @brief Adds a job; a job that is known already or whose stored state is final is ignored.
     * @param job Accepted job.
     * @param record Stored progress; `std::nullopt` if none is stored.
     * @param predatesTerm True if a previous owner may have started runs of the job.
     * @param now Current time of the monotonic clock.
     */
    void addJob(Job job, const std::optional<JobRecord> &record, bool predatesTerm, core::TimePoint now);

    /**
     * @brief Cancels a job. The cancellation of an unknown job is applied when the job is added.
     * @param id Name of the job.
     * @param wallMs Unix time in milliseconds.
     * @param now Current time of the monotonic clock.
     */
    void cancelJob(const std::string &id, std::int64_t wallMs, core::TimePoint now);

    /**
     * @brief Handles a worker's report; a report of an earlier incarnation is ignored.
     * @param worker Name of the worker.
     * @param report Running runs and run ends.
     * @param sentAt Time at which the poll was sent; runs that started later may be missing from the report.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void handleReport(const std::string &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now, std::int64_t wallMs);

    /**
     * @brief Handles the failure of a poll.
     * @param worker Name of the worker.
     * @param gone True if the address answered for another worker or refused the connection, so that the worker's runs have ended.
     * @param now Current time of the monotonic clock.
     */
    void handlePollFailure(const std::string &worker, bool gone, core::TimePoint now);

    /**
     * @brief Handles the list of workers that run on the platform's instances.
     *
     * A worker that is unresponsive or no longer registered and that runs on no instance has ended, together with its runs.
     * @param running Names of the workers that run on an instance.
     * @param requestedAt Time at which the list was requested; a worker that replied or got a run since then is kept.
     * @param now Current time of the monotonic clock.
     */
    void handleRunningWorkers(const std::set<std::string> &running, core::TimePoint requestedAt, core::TimePoint now);

    /**
     * @brief Handles the reply to a start command.
     * @param command Command that was sent.
     * @param outcome Outcome of the command.
     * @param clockMs Time of the worker's clock; 0 if unknown.
     * @param now Current time of the monotonic clock.
     */
    void handleStartReply(const StartCommand &command, StartOutcome outcome, std::int64_t clockMs, core::TimePoint now);

    /**
     * @brief Handles the reply to a stop command.
     * @param command Command that was sent.
     * @param acknowledged True if the worker acknowledged the stop; otherwise it is sent again later.
     * @param now Current time of the monotonic clock.
     */
    void handleStopReply(const StopCommand &command, bool acknowledged, core::TimePoint now);

    /**
     * @brief Handles a reply of the advice service.
     * @param request Request that was sent.
     * @param tickets Tickets of the workers that may run the step, by worker; `std::nullopt` if the request failed.
     * @param validFor Time for which the tickets are valid.
     * @param now Current time of the monotonic clock.
     */
    void handleAdvice(const AdviceRequest &request,
                      const std::optional<std::map<std::string, std::string>> &tickets,
                      core::Duration validFor,
                      core::TimePoint now);

    /**
     * @brief Handles the result of a save; a state that was not stored, or has changed since, becomes due for saving again.
     * @param job Name of the job.
     * @param version Version of the state that was to be stored.
     * @param stored True if the state is durable.
     */
    void handleSaved(const std::string &job, std::uint64_t version, bool stored);

    /**
     * @brief Handles the result of saves that were stored, or not, together.
     * @param saves Requests that were taken.
     * @param stored True if the states are durable.
     */
    void handleSaved(const std::vector<SaveRequest> &saves, bool stored);

    /**
     * @brief Cordons a worker, so that it gets no new work, or lifts the cordon; clears a pending maintenance.
     * @param id Name of the worker; ignored if unknown.
     * @param cordoned True to cordon the worker.
     */
    void setCordoned(const std::string &id, bool cordoned);

    /**
     * @brief Marks a worker as due for maintenance, so that continuous tasks are preferably placed on other workers.
     * @param id Name of the worker; ignored if unknown.
     */
    void setMaintenancePending(const std::string &id);

    /**
     * @brief Stops running continuous tasks on a worker as far as their availability budgets allow; a draining worker is evacuated regardless of them.
     * @param id Name of the worker; ignored if unknown.
     * @param now Current time of the monotonic clock.
     */
    void evacuate(const std::string &id, core::TimePoint now);

    /**
     * @brief Handles expired leases, stalled runs and due occurrences, and places tasks that are ready.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

    /** @return Commands and requests that were issued since the last call. */
    [[nodiscard]] Commands takeCommands();

    /** @return Decisions to be logged since the last call; those beyond a fixed limit were dropped. */
    [[nodiscard]] std::vector<Decision> takeDecisions();

    /**
     * @brief Collects the polls that are due; the result of each must be passed to `handleReport` or `handlePollFailure`.
     * @param now Current time of the monotonic clock.
     * @return At most one poll for each worker, which is in flight until its result is handled.
     */
    [[nodiscard]] std::vector<PollCommand> takePolls(core::TimePoint now);

    /**
     * @brief Collects states that are to be stored; the result of each must be passed to `handleSaved`.
     * @param maxEntries Maximum sum of their `SaveRequest::storeEntries()`.
     * @return The states, those of ended jobs first.
     */
    [[nodiscard]] std::vector<SaveRequest> takeSaves(std::size_t maxEntries);

    /** @} */
    /** @name Queries */
    /** @{ */

    /** @return True if the state of a job needs to be stored and is not being stored. */
    [[nodiscard]] bool hasUnsaved() const noexcept;

    /** @return True if the state of an ended job needs to be stored and is not being stored. */
    [[nodiscard]] bool hasUnsavedEnd() const noexcept;

    /** @return All known workers by name, including those that are no longer registered. */
    [[nodiscard]] const std::map<std::string, Worker> &workers() const noexcept;

    /**
     * @brief Finds a job.
     * @param id Name of the job.
     * @return The job, or null if it is unknown or was removed after its end.
     */
    [[nodiscard]] const JobEntry *findJob(const std::string &id) const;

    /**
     * @brief Computes the CPU utilization of a pool.
     * @param pool Name of the pool.
     * @return CPU demand of runs divided by the CPU of registered workers that are not cordoned; 0 if they have none.
     */
    [[nodiscard]] double cpuUtilization(const std::string &pool) const;

    /**
     * @brief Checks whether a pool's instances are switched off and free of charge.
     * @param pool Name of the pool.
     * @return True for a standby pool; false for an unknown one.
     */
    [[nodiscard]] bool isStandby(const std::string &pool) const;

    /** @return Names of the pools whose instances are switched off and free of charge. */
    [[nodiscard]] std::vector<std::string> standbyPools() const;

    /**
     * @brief Checks whether a worker certainly has no runs and no run ends to be stored.
     * @param id Name of the worker.
     * @param now Current time of the monotonic clock.
     * @return True if this is certain, or the worker is unknown; a worker that has not reported may have runs of a previous owner
     *         until their leases have expired.
     */
    [[nodiscard]] bool isIdle(const std::string &id, core::TimePoint now) const;

    /**
     * @brief Checks whether a worker has runs of continuous tasks.
     * @param worker Worker to check.
     * @return True if such a run is, or may be, on the worker.
     */
    [[nodiscard]] bool runsContinuous(const Worker &worker) const;

    /** @return Load by pool, without standby pools, as last measured by `advance`. */
    [[nodiscard]] const std::map<std::string, PoolLoad> &poolLoads() const noexcept;

    /** @return Number that changes with each change of `usedWorkers`. */
    [[nodiscard]] std::uint64_t usedWorkersVersion() const noexcept;

    /** @return Pool by worker, for the workers that may have runs; a registered worker stays listed after its runs have ended. */
    [[nodiscard]] const std::map<std::string, std::string> &usedWorkers() const noexcept;

    /** @} */

private:
    /** Rank of a job within its priority; lower values are placed first. */
    enum class Rank : std::uint8_t {
        InProgress, /**< Has started and can meet its latency objective. */
        Timely, /**< Can meet its latency objective. */
        Late, /**< Will miss its latency objective. */
    };

    struct Candidate {
        JobEntry *entry;
        std::int64_t occurrence;
        std::size_t step;
        std::int64_t priority;
        Rank rank;
        double slackMs; /**< Time left to start the remaining steps without missing the latency objective; negative if it will be missed. */
        double sortKey; /**< Sort key within a priority and rank; lower values are placed first. */
    };

    struct Choice {
        Worker *worker;
        double cost; /**< See `placementCost`. */
    };

    /** Workers that can take a task of a step; kept while the tasks of the step are placed, so that they are examined once for all of them. */
    struct Choices {
        std::vector<Choice> workers;
        std::size_t last{SIZE_MAX}; /**< Index of the worker chosen last. */
        bool listed{false};
    };

    [[nodiscard]] Task *findTask(const TaskName &name);
    [[nodiscard]] const Step *findStep(const TaskName &name) const;
    [[nodiscard]] JobEntry *findEntry(const std::string &id);
    [[nodiscard]] std::int64_t maxAttempts(const JobEntry &entry) const;
    void markChanged(JobEntry &entry);
    void addUnsaved(JobEntry &entry);
    void recordSaved(const std::string &id, std::uint64_t version, bool stored);
    void openOccurrence(JobEntry &entry, std::int64_t number, const std::vector<std::vector<TaskRecord>> *records);
    void openDueOccurrences(JobEntry &entry, std::int64_t wallMs);
    void openOccurrences(std::int64_t wallMs);

    void setUsed(const std::string &worker, const std::string &pool);
    void attach(JobEntry &entry, const TaskName &name, Task &task, Worker &worker, std::int64_t run, TaskPhase phase, core::TimePoint now);
    void detach(JobEntry &entry, const TaskName &name, Task &task);
    [[nodiscard]] Resources demandOf(const Step &step) const noexcept;
    void dropSpeculative(Worker &worker, core::TimePoint now);
    void dropRuns(Worker &worker, std::string_view reason, core::TimePoint now);
    [[nodiscard]] bool mayHaveEnded(const Worker &worker, core::TimePoint requestedAt) const;
    void resetIncarnation(Worker &worker, std::int64_t incarnation, core::TimePoint now);

    void handleRunEnd(Worker &worker, const ReportedEnd &end, core::TimePoint now, std::int64_t wallMs);
    void handleSuccess(JobEntry &entry, const TaskName &name, std::int64_t wallMs, core::TimePoint now);
    void completeIfDone(JobEntry &entry, std::int64_t wallMs, core::TimePoint now);
    void handleFailure(JobEntry &entry, const TaskName &name, Task &task, std::int64_t run, std::int64_t wallMs, core::TimePoint now);
    void handleReportedRun(Worker &worker, const ReportedRun &reported, core::TimePoint now);
    void handleMissingRuns(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now);
    void updateQuarantine(Worker &worker, RunEndKind kind, core::TimePoint now);
    void endJob(JobEntry &entry, JobState state, std::int64_t wallMs, core::TimePoint now);
    void issueStop(Worker &worker, const TaskName &name, std::int64_t run);
    void stopTask(const TaskName &name, Task &task, core::TimePoint now);
    void removeEndedJobs();
    /** Leaves the queued state; for a run that a worker has confirmed, as a start that was sent may be refused. */
    void markStarted(JobEntry &entry);

    [[nodiscard]] std::int64_t extendLease(Worker &worker, core::TimePoint now);
    void recordClock(Worker &worker, std::int64_t clockMs, core::TimePoint now) const;
    [[nodiscard]] core::Duration maxLeaseDuration() const noexcept;
    /** Time by which all leases of previous owners have expired. */
    [[nodiscard]] core::TimePoint previousLeasesEnd() const noexcept;
    void advanceAcks(Worker &worker);
    /** Releases the acknowledgements of run ends whose states are stored. */
    void advanceAllAcks();
    void sweepWorkers(core::TimePoint now);
    void sweepTasks(core::TimePoint now);
    void paceBestEffort(Worker &worker, core::TimePoint now);

    void recordArrival(const Job &job, core::TimePoint now);
    [[nodiscard]] bool arePreviousRunsKnown(const std::string &pool, core::TimePoint now) const;
    [[nodiscard]] std::vector<Candidate> collectCandidates(core::TimePoint now, std::int64_t wallMs);
    void addCandidates(JobEntry &entry, core::TimePoint now, std::int64_t wallMs, std::vector<Candidate> &found);
    [[nodiscard]] bool isStepReady(const JobEntry &entry, const Occurrence &occurrence, std::size_t step) const;
    /** Estimated duration of the critical path in milliseconds, without steps that `progress`, if given, has as done. */
    [[nodiscard]] static double criticalPathMs(const Job &job, const Occurrence *progress);
    void place(core::TimePoint now, std::int64_t wallMs);
    void placeStep(const Candidate &candidate, core::TimePoint now);
    void placeGang(const Candidate &candidate, core::TimePoint now);
    /** Logs the runs that were placed for a step, given as `index:worker:run` separated by commas; nothing if there are none. */
    void logPlacement(const Candidate &candidate, const std::string &placed);
    [[nodiscard]] std::map<std::string, PoolLoad> measureLoads(core::TimePoint now, std::int64_t wallMs) const;
    void addOccurrenceLoad(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs, PoolLoad &load) const;
    [[nodiscard]] double slackMs(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs) const;
    [[nodiscard]] bool isWithinTeamLimit(const JobEntry &entry, const Resources &demand) const;
    void listChoices(const Candidate &candidate, const Step &step, Choices &choices, core::TimePoint now);
    [[nodiscard]] Worker *chooseWorker(const Candidate &candidate, const Step &step, Choices &choices, core::TimePoint now);
    void indexWorkers();
    /** Returns false if a demand certainly fits on no worker of a pool; valid during placement. */
    [[nodiscard]] bool mayFit(const std::string &pool, const Resources &demand) const;
    [[nodiscard]] bool isUnplaceable(const std::string &pool, const Resources &demand) const;
    /** Returns true if a run on the worker was started after the worker's last failure. */
    [[nodiscard]] bool hasProbe(const Worker &worker) const;
    [[nodiscard]] bool canPlace(const Worker &worker, const Candidate &candidate, const Step &step, core::TimePoint now);
    [[nodiscard]] double placementCost(const Worker &worker, const Candidate &candidate, const Step &step) const;
    [[nodiscard]] std::int64_t countOnWorker(const Worker &worker, const Candidate &candidate) const;
    void startTask(const Candidate &candidate, std::size_t index, Worker &worker, std::int64_t run, core::TimePoint now);
    [[nodiscard]] const std::string *ticketFor(const StepName &step, const std::string &worker, core::TimePoint now) const;
    void requestAdvice(const Candidate &candidate, core::TimePoint now);
    [[nodiscard]] std::int64_t countOthersUnavailable(const TaskName &name, core::TimePoint now) const;
    void logDecision(std::string event, std::string job, std::string worker, std::string detail);

    SchedulerLimits m_limits;
    core::TimePoint m_termStart;
    FleetConfig m_config;
    std::map<std::string, JobEntry> m_jobs;
    std::map<std::string, Worker> m_workers;
    std::map<std::string, Resources> m_teamUse;
    std::map<StepName, Advice> m_advice;
    std::map<std::string, ArrivalRate> m_arrivals; /**< Recently arrived work by pool. */
    std::uint64_t m_lastUnsaved{0}; /**< Highest number in `m_unsaved` so far. */
    std::map<std::uint64_t, std::string> m_unsaved; /**< Jobs with a state that is neither stored nor being stored, in the order in which they changed. */
    std::map<std::uint64_t, std::string> m_unsavedEnds; /**< Subset of `m_unsaved`: jobs that have ended. */
    std::map<std::string, std::int64_t> m_earlyCancels; /**< Unix time of cancellation by job, for jobs that were cancelled before they were added. */
    std::set<std::string> m_restored; /**< Jobs added with a stored state, in which all tasks may be done while the job is not completed. */
    std::set<std::string> m_ended; /**< Ended jobs that await removal. */
    std::set<std::string> m_unopened; /**< Jobs with occurrences that have not been opened. */
    std::set<std::string> m_unstoredEnds; /**< Workers with run ends that are not stored. */
    std::map<std::string, std::string> m_usedWorkers;
    std::uint64_t m_usedWorkersVersion{0};
    std::map<std::string, std::vector<Worker *>> m_poolWorkers; /**< Schedulable workers with a report and a known clock, by pool; valid during placement. */
    std::map<std::string, Resources> m_poolRoom; /**< Largest free amount of each resource on one worker, by pool, at the start of a placement. */
    std::map<std::string, std::vector<Resources>> m_unplaceable; /**< Demands that fit on no worker, by pool; valid during placement. */
    std::map<std::string, PoolLoad> m_loads;
    core::TimePoint m_loadsAt;
    core::TimePoint m_sweptAt;
    core::TimePoint m_tasksSweptAt;
    bool m_placementDue{true};
    core::TimePoint m_lastPlacement;
    Commands m_commands;
    std::vector<Decision> m_decisions;
};

} // namespace oleanderwick::jobs

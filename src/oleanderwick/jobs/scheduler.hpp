#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../admission/overload_control.hpp"
#include "commands.hpp"
#include "open_tasks.hpp"
#include "scheduler_limits.hpp"
#include "table.hpp"
#include "wait_reason.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Places the tasks of all jobs on workers, maintains the workers' leases and processes run ends; performs no I/O.
 *
 * Only the current owner runs a scheduler. State that is not in the store is recovered from the workers, which report their
 * running runs and their run ends. This class is a facade: `StateTable` has the state, and each kind of decision is an object of
 * its own (docs/design/scheduler-structure.md).
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
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

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

    /** @brief Records that the workers of previous owners are not all known, so that their jobs wait until all of their leases have expired. */
    void setPreviousWorkersUnknown();

    /**
     * @brief Adds a job; a job that is known already or whose stored state is final is ignored.
     * @param job Accepted job.
     * @param record Stored progress; `std::nullopt` if none is stored.
     * @param predatesTerm True if a previous owner may have started runs of the job.
     * @param now Current time of the monotonic clock.
     */
    void addJob(Job job, const std::optional<JobRecord> &record, bool predatesTerm, core::TimePoint now);

    /** @return Open tasks of all jobs, and jobs that wait for room; see `SchedulerLimits::maxOpenTasks`. */
    [[nodiscard]] OpenTaskFigures openTasks() const noexcept;

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
     * @brief Checks whether tasks wait for a list of running workers.
     * @param now Current time of the monotonic clock.
     * @return True shortly after a worker with runs has stopped responding.
     */
    [[nodiscard]] bool awaitsWorkerFate(core::TimePoint now) const noexcept;

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
     * @brief Handles that a list of used workers is in the store; only the workers that the stored list contains get runs.
     * @param version `usedWorkersVersion()` of the list.
     */
    void handleUsedWorkersStored(std::uint64_t version);

    /**
     * @brief Cordons a worker, so that it gets no new work, or lifts the cordon; one for maintenance clears a pending maintenance.
     * @param id Name of the worker; ignored if unknown.
     * @param cordoned True to cordon the worker.
     * @param reason Reason that is set or lifted; the worker gets work only when no reason is left.
     */
    void setCordoned(const std::string &id, bool cordoned, CordonReason reason = CordonReason::Maintenance);

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
     * @brief Stops the runs on a worker that is to leave its pool, if all of them are late and save progress.
     *
     * Without effect unless `SchedulerLimits::yieldLateWork` is set.
     * @param id Name of the worker; ignored if unknown.
     * @param now Current time of the monotonic clock.
     */
    void yieldWorker(const std::string &id, core::TimePoint now);

    /**
     * @brief Replaces the closed zones. Workers of a closed zone get no new work; those of an opened zone get work at once.
     * @param zones Names of all closed zones.
     */
    void setClosedZones(std::set<std::string> zones);

    /**
     * @brief Stops continuous tasks on workers of closed zones that other workers can take, one by one within their availability budgets.
     * @param now Current time of the monotonic clock.
     */
    void evacuateClosedZones(core::TimePoint now);

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

    /**
     * @brief Checks whether a worker runs continuous tasks of a step that may not have all of its tasks away at once.
     * @param worker Worker of this scheduler.
     * @return True if the worker can be emptied only while another one takes the tasks that leave it.
     */
    [[nodiscard]] bool runsBudgeted(const Worker &worker) const;

    /**
     * @brief Counts how many times in a row continuous tasks have to leave a worker until it has none.
     * @param worker Name of the worker.
     * @return Number of turns, see `StateTable::evacuationTurns`; 0 for an unknown worker.
     */
    [[nodiscard]] std::int64_t evacuationTurns(const std::string &worker) const;

    /**
     * @brief Checks whether operators have closed a zone.
     * @param zone Name of the zone; an empty one is never closed.
     * @return True if the zone is closed.
     */
    [[nodiscard]] bool isZoneClosed(const std::string &zone) const;

    /** @return Load by pool, without standby pools, as last measured by `advance`. */
    [[nodiscard]] const std::map<std::string, PoolLoad> &poolLoads() const noexcept;

    /**
     * @brief Measures what teams have and wait for; examines every job.
     * @param wallMs Unix time in milliseconds.
     * @return The figures; shares are 0 unless `SchedulerLimits::teamShares` is set.
     */
    [[nodiscard]] TeamFigures measureTeams(std::int64_t wallMs) const;

    /** @return Age of the oldest unfinished job in milliseconds by queue, as last measured by `advance`; jobs with continuous tasks don't count. */
    [[nodiscard]] const std::map<std::string, std::int64_t> &queueAgesMs() const noexcept;

    /** @return Steps that had waited for seconds with nothing running, by reason, examined since the last call; a bounded number a second. */
    [[nodiscard]] WaitCounts takeWaitCounts() noexcept;

    /**
     * @brief Measures the demand of teams on queues, for the admission of further jobs; linear in the jobs and tasks.
     * @param lateBoundFactor Multiple of the objective after which an answer has no use.
     * @param wallMs Unix time in milliseconds.
     * @return Demand and the load of the pools as last measured by `advance`.
     */
    [[nodiscard]] admission::FleetDemand fleetDemand(double lateBoundFactor, std::int64_t wallMs) const;

    /** @return Number that changes with each change of `usedWorkers`. */
    [[nodiscard]] std::uint64_t usedWorkersVersion() const noexcept;

    /** @return Pool by worker, for the workers that may have runs: all registered workers, and others until their runs have ended. */
    [[nodiscard]] const std::map<std::string, std::string> &usedWorkers() const noexcept;

    /** @} */

private:
    struct Components;
    std::unique_ptr<Components> m_components;
};

} // namespace oleanderwick::jobs

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "table.hpp"

namespace oleanderwick::jobs
{

/** @brief Command to start a run on a worker. */
struct StartCommand {
    std::string worker;
    std::string address;
    TaskName task;
    std::int64_t run{0};
    std::string spec;
    std::int64_t deadlineMs{0}; /**< End of the lease on the worker's clock. */
    std::string checkpoint;
    std::string ticket;
};

/** @brief Command to stop a run on a worker. */
struct StopCommand {
    std::string worker;
    std::string address;
    TaskName task;
    std::int64_t run{0};
};

/** @brief Command to change the share of time for which a run may work. */
struct PaceCommand {
    std::string worker;
    std::string address;
    TaskName task;
    std::int64_t run{0};
    std::int64_t percent{100};
};

/** @brief Poll of a worker, which may extend its lease and acknowledges run ends. */
struct PollCommand {
    std::string worker;
    std::string address;
    std::int64_t deadlineMs{0}; /**< End of the lease on the worker's clock; 0 to leave the lease unchanged. */
    std::int64_t ackedEnd{0}; /**< Run ends up to this number are acknowledged. */
    std::int64_t waitMs{0}; /**< Time that the worker may wait for a run end before it replies. */
};

/** @brief Request to the advice service: which of the workers may run the step. */
struct AdviceRequest {
    StepName step;
    std::vector<std::string> workers;
};

/** @brief Commands and requests that the scheduler has issued since they were last collected. */
struct Commands {
    std::vector<StartCommand> starts;
    std::vector<StopCommand> stops;
    std::vector<PaceCommand> paces;
    std::vector<AdviceRequest> adviceRequests;
};

/** @brief Request to store the state of a job. */
struct SaveRequest {
    std::string job;
    std::uint64_t version{0};
    JobRecord record;
    std::string queue;
    bool leavesQueue{false}; /**< The job is stored as queued, or not at all, and has started or ended since. */

    /** @return Number of conditions, writes and removals that storing it takes. */
    [[nodiscard]] std::size_t storeEntries() const noexcept
    {
        return leavesQueue ? 3 : 2;
    }
};

/** @brief Capacity and demand of a pool; amounts of CPU are in thousandths of a core. */
struct PoolLoad {
    std::int64_t workers{0}; /**< Schedulable workers. */
    std::int64_t capacity{0}; /**< CPU of the schedulable workers. */
    std::int64_t continuousCpu{0}; /**< CPU demand of continuous tasks, running or waiting. */
    std::int64_t unplacedTasks{0}; /**< Number of continuous tasks that wait for a worker. */
    std::int64_t runningCpu{0}; /**< CPU demand of other active tasks, of jobs that can meet their objective and are within the rate of their team. */
    std::int64_t waitingCpu{0}; /**< CPU demand of other tasks that are ready to start, of such jobs. */
    std::int64_t runningLateCpu{0}; /**< Like `runningCpu`, of jobs that miss their objective or are beyond the rate. */
    std::int64_t waitingLateCpu{0}; /**< Like `waitingCpu`, of jobs that miss their objective or are beyond the rate. */
    std::int64_t arrivingCpu{0}; /**< CPU that would keep up with the jobs that arrived recently; 0 without a trend. */
    std::int64_t minWorkers{0}; /**< Highest number of workers that one continuous step requires, by its per-worker limit; 0 without continuous steps. */

    [[nodiscard]] bool operator==(const PoolLoad &) const = default;
};

/** @brief What a team has and waits for in a pool. */
struct TeamUse {
    double share{0.0}; /**< Dominant share of what runs over the capacity of the pool. */
    double entitledShare{0.0}; /**< Share by weight, up to the need, while the pool is full; otherwise the same as `share`. */
    std::int64_t waitingJobs{0}; /**< Jobs that have not ended and of which no task is active. */
    std::int64_t beyondRateJobs{0}; /**< Jobs that have not ended and are beyond the rate of the team. */

    [[nodiscard]] bool operator==(const TeamUse &) const = default;
};

/** @brief Figures about teams and queues, for metrics. */
struct TeamFigures {
    std::map<std::pair<std::string, std::string>, TeamUse> uses; /**< By pool and team. */
    std::map<std::string, std::int64_t> lateJobs; /**< Jobs that can't meet their objective, by queue. */
};

/** @brief Scheduling decision, to be logged. */
struct Decision {
    std::string event;
    std::string job; /**< Job or task concerned; may be empty. */
    std::string worker; /**< Worker concerned; may be empty. */
    std::string detail; /**< Inputs of the decision as key=value pairs. */
};

/** @brief Outcome of a command to start a run. */
enum class StartOutcome : std::uint8_t {
    Started,
    NoRoom, /**< The run does not fit into the free capacity of the worker. */
    Fenced, /**< The worker has seen the token of a newer owner. */
    Outdated, /**< This run, or a newer one of the task, has ended on the worker or was stopped there. */
    TooLate, /**< The lease had expired when the command arrived. */
    NoTicket, /**< The ticket is missing or has expired. */
    Unhealthy, /**< The worker refused without starting the run. */
    OtherIncarnation, /**< The address answered for another incarnation of the worker. */
    Invalid, /**< The worker rejected the command as invalid. */
    NotSent, /**< The command did not reach the worker. */
    Unknown, /**< No reply; the run may have started or may start later. */
};

/**
 * @brief Returns the name of an outcome.
 * @param outcome Outcome of a start.
 * @return The name in snake case.
 */
[[nodiscard]] std::string_view toText(StartOutcome outcome) noexcept;

} // namespace oleanderwick::jobs

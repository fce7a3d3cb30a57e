#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fwd.hpp"

namespace oleanderwick::jobs
{

/** @brief Resource amounts: the capacity of a worker or the demand of a task. */
struct Resources {
    std::int64_t cpu{0}; /**< Thousandths of a core (millicores). */
    std::int64_t memory{0}; /**< Megabytes. */
    std::int64_t gpu{0}; /**< Accelerators. */

    [[nodiscard]] bool operator==(const Resources &) const = default;
};

/**
 * @brief Adds two amounts resource by resource.
 * @param left First summand.
 * @param right Second summand.
 * @return The sum.
 */
[[nodiscard]] constexpr Resources operator+(const Resources &left, const Resources &right) noexcept
{
    return {left.cpu + right.cpu, left.memory + right.memory, left.gpu + right.gpu};
}

/**
 * @brief Subtracts two amounts resource by resource.
 * @param left Amount to subtract from.
 * @param right Amount to subtract.
 * @return The difference; each resource may be negative.
 */
[[nodiscard]] constexpr Resources operator-(const Resources &left, const Resources &right) noexcept
{
    return {left.cpu - right.cpu, left.memory - right.memory, left.gpu - right.gpu};
}

/**
 * @brief Checks whether a demand fits into the available resources.
 * @param demand Required amount.
 * @param available Available amount; may be negative.
 * @return True if every resource fits; a resource with a demand of 0 always does.
 */
[[nodiscard]] constexpr bool fits(const Resources &demand, const Resources &available) noexcept
{
    return (demand.cpu == 0 || demand.cpu <= available.cpu) && (demand.memory == 0 || demand.memory <= available.memory)
        && (demand.gpu == 0 || demand.gpu <= available.gpu);
}

/** @brief Group of identical tasks of a job that become ready together. */
struct Step {
    std::int64_t count{1};
    Resources each; /**< Demand of one task. */
    std::int64_t estimateMs{0}; /**< Duration of a task as the submitter estimated it. */
    std::vector<std::size_t> after; /**< Indexes of the earlier steps that have to be done before this one starts. */
    bool savesProgress{false}; /**< Tasks write checkpoints. */
    bool gang{false}; /**< Tasks make progress only while all of them run. */
    bool sameRack{false}; /**< Tasks are slow when they are spread over several racks. */
    bool speculative{false}; /**< Several copies of a task may run at the same time. */
    bool continuous{false}; /**< Tasks run until the job is cancelled. */
    bool bestEffort{false}; /**< Tasks use only CPU time that other tasks leave. */
    std::string requiredLabel; /**< Label that the worker must have; empty for none. */
    std::string affinityRack; /**< Rack on which tasks run fast; empty for no preference. */
    std::int64_t maxPerWorker{0}; /**< Maximum number of tasks of the step on one worker; 0 for no limit. */
    std::string image; /**< Name of the image that the tasks run. */
    std::int64_t targetMs{0}; /**< Response time that a serving task must stay below; 0 for a step that does not serve. */
    std::int64_t maxUnavailable{0}; /**< Availability budget: maximum number of tasks that evacuation may leave unavailable; 0 for no budget. */

    /** @return True for a step whose tasks serve requests within a target response time. */
    [[nodiscard]] bool isServing() const noexcept
    {
        return targetMs > 0;
    }

    [[nodiscard]] bool operator==(const Step &) const = default;
};

/** @brief Job as submitted and accepted; does not change afterwards. */
struct Job {
    std::string id;
    std::string queue;
    std::string pool; /**< Pool of the queue when the job was accepted. */
    std::string team; /**< Submitting team; empty for queues that are open to all. */
    std::string spec; /**< Text that is passed to every task. */
    std::int64_t submittedMs{0}; /**< Unix time at which the job was accepted. */
    std::int64_t repeatCount{0}; /**< Number of occurrences; 0 for a job that runs only once. */
    std::int64_t firstRunMs{0}; /**< Unix time of the first occurrence. */
    std::int64_t intervalMs{0}; /**< Time between the starts of two occurrences. */
    std::int64_t maxAttempts{1}; /**< Limit of the queue when the job was accepted; applies once the queue has been removed. */
    std::vector<Step> steps;

    /** @return Number of occurrences, at least 1. */
    [[nodiscard]] std::int64_t occurrenceCount() const noexcept
    {
        return repeatCount > 0 ? repeatCount : 1;
    }

    [[nodiscard]] bool operator==(const Job &) const = default;
};

/** @brief State of a job as callers see it. */
enum class JobState : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/**
 * @brief Returns the name of a state.
 * @param state State of a job.
 * @return The name in lower case.
 */
[[nodiscard]] std::string_view toText(JobState state) noexcept;

/**
 * @brief Checks whether a state is final.
 * @param state State of a job.
 * @return True for completed, failed and cancelled jobs, of which no more tasks are started; runs may still be stopping.
 */
[[nodiscard]] constexpr bool isFinal(JobState state) noexcept
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

/** @brief Identifies a task by its job and its position in it. */
struct TaskName {
    std::string job;
    std::int64_t occurrence{0};
    std::size_t step{0};
    std::size_t index{0};

    [[nodiscard]] auto operator<=>(const TaskName &) const = default;
};

/**
 * @brief Formats a task's name.
 * @param name Name of a task.
 * @return `JOB.OCCURRENCE.STEP.INDEX`.
 */
[[nodiscard]] std::string toText(const TaskName &name);

/**
 * @brief Parses a task's name.
 * @param text `JOB.OCCURRENCE.STEP.INDEX`; the job may contain dots.
 * @return The name, or `std::nullopt` if the text is malformed.
 */
[[nodiscard]] std::optional<TaskName> parseTaskName(std::string_view text);

/** @brief How a run of a task ended. */
enum class RunEndKind : std::uint8_t {
    Done,
    Failed, /**< The task or its worker failed. */
    Stopped, /**< Stopped by a command. */
    LeaseExpired, /**< The worker's lease expired. */
    GangBroken, /**< Another member of its gang ended. */
    GangIncomplete, /**< The other members of its gang did not start in time. */
};

/** @brief Durable part of a task's state. */
struct TaskRecord {
    bool done{false};
    std::vector<std::int64_t> failedRuns; /**< Numbers of the runs that failed; kept because a worker may report the same run end to several owners. */
    std::int64_t lastRun{0}; /**< Highest run number used so far. */
    std::string checkpoint;
    std::vector<std::int64_t> crashedRuns{}; /**< Numbers of the runs during which their workers crashed; see `CrashAttribution`. */

    [[nodiscard]] bool operator==(const TaskRecord &) const = default;
};

/** @brief Durable state of a job. */
struct JobRecord {
    JobState state{JobState::Queued};
    std::int64_t endedMs{0}; /**< Unix time at which the job ended; 0 until then. */
    std::map<std::int64_t, std::vector<std::vector<TaskRecord>>>
        occurrences; /**< Tasks by occurrence number, step and index, without the last ones that have not started. */
    std::int64_t nextOccurrence{0}; /**< First occurrence not yet opened; `occurrences` has all lower ones until the job has ended, then none. */
    std::int64_t yields{0}; /**< How often runs of the job were stopped to make room for timely work. */
    std::string reason{}; /**< Why the job has failed, for its team; empty otherwise. */
    std::optional<std::string> team{}; /**< Team of the job; missing in records of earlier versions. */

    [[nodiscard]] bool operator==(const JobRecord &) const = default;
};

/** @brief Scheduling parameters of a queue. */
struct QueuePolicy {
    std::string pool;
    std::int64_t priority{0}; /**< Lower values are placed first. */
    std::int64_t maxAttempts{1}; /**< Failed runs of a task after which its job fails. */
    double criticalPathFactor{1.0}; /**< Factor applied to the critical path in the latency objective. */
    std::int64_t objectiveMs{0}; /**< Constant part of the latency objective, added to the critical path times its factor. */
    bool needsTicket{false}; /**< Tasks are placed only with a ticket from the advice service. */

    [[nodiscard]] bool operator==(const QueuePolicy &) const = default;
};

/** @brief Scheduling parameters of a team. */
struct TeamPolicy {
    double weight{1.0}; /**< Relative share of a full pool; used if `SchedulerLimits::teamShares` is set. */
    double rate{0.0}; /**< Jobs a second that have a claim to their objective; 0 if all have. Used as `weight` is. */
    Resources limit; /**< Upper limit of the resources in use, except that a start from 0 may exceed it; 0 for no limit on a resource. */

    [[nodiscard]] bool operator==(const TeamPolicy &) const = default;
};

/** @brief Scheduling parameters of a pool. */
struct PoolPolicy {
    bool workersEnforceCapacity{true}; /**< Workers refuse runs that exceed their free capacity. */
    bool standby{false}; /**< Instances are switched off and free of charge. */

    [[nodiscard]] bool operator==(const PoolPolicy &) const = default;
};

/** @brief Part of the fleet's configuration that concerns jobs; each map is keyed by name. */
struct FleetConfig {
    std::map<std::string, QueuePolicy> queues;
    std::map<std::string, TeamPolicy> teams;
    std::map<std::string, PoolPolicy> pools;

    [[nodiscard]] bool operator==(const FleetConfig &) const = default;
};

/** @brief Entry of a worker in the platform's registry. */
struct WorkerEntry {
    std::string id;
    std::string pool;
    std::string address;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels; /**< Labels that steps may require. */
    Resources capacity;
    bool draining{false};
    std::int64_t incarnation{0}; /**< Identifies a lifetime of the worker; a restart raises it; 0 if unknown. */

    [[nodiscard]] bool operator==(const WorkerEntry &) const = default;
};

/** @brief Run in progress on a worker, as the worker reported it. */
struct ReportedRun {
    TaskName task;
    std::int64_t run{0};
    std::string checkpoint;
    std::int64_t percent{0}; /**< Progress; 100 for a continuous task that is fully started. */
    std::int64_t measurement{0}; /**< High-percentile response time in milliseconds for a serving task; CPU usage, not used here, for others. */

    [[nodiscard]] bool operator==(const ReportedRun &) const = default;
};

/** @brief Run end, which a worker reports until it is acknowledged. */
struct ReportedEnd {
    std::int64_t number{0}; /**< Sequence number among the worker's run ends, which are acknowledged up to a number. */
    TaskName task;
    std::int64_t run{0};
    RunEndKind kind{RunEndKind::Failed};
    std::string checkpoint;

    [[nodiscard]] bool operator==(const ReportedEnd &) const = default;
};

/** @brief Reply of a worker to a poll. */
struct WorkerReport {
    std::int64_t clockMs{0}; /**< Time of the worker's own clock. */
    std::int64_t incarnation{0}; /**< Current incarnation of the worker; 0 if unknown. */
    std::vector<ReportedRun> running; /**< All of them. */
    std::vector<ReportedEnd> ended; /**< The first ones that are not acknowledged. */
    bool endsTruncated{false}; /**< There may be further run ends, which are reported once these are acknowledged. */

    [[nodiscard]] bool operator==(const WorkerReport &) const = default;
};

} // namespace oleanderwick::jobs

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

/** @brief Amounts of what a worker has and a task takes. */
struct Resources {
    std::int64_t cpu{0}; /**< Thousandths of a core. */
    std::int64_t memory{0}; /**< Megabytes. */
    std::int64_t gpu{0}; /**< Accelerators. */

    [[nodiscard]] bool operator==(const Resources &) const = default;
};

/**
 * @brief Adds two amounts.
 * @param left First amount.
 * @param right Second amount.
 * @return Their sum.
 */
[[nodiscard]] constexpr Resources operator+(const Resources &left, const Resources &right) noexcept
{
    return {left.cpu + right.cpu, left.memory + right.memory, left.gpu + right.gpu};
}

/**
 * @brief Subtracts an amount.
 * @param left Amount to subtract from.
 * @param right Amount to subtract.
 * @return The difference; parts may be negative.
 */
[[nodiscard]] constexpr Resources operator-(const Resources &left, const Resources &right) noexcept
{
    return {left.cpu - right.cpu, left.memory - right.memory, left.gpu - right.gpu};
}

/**
 * @brief Tells whether a demand fits into what is free.
 * @param demand Amount asked for.
 * @param room Amount that is free.
 * @return True if every part fits; a part that is not asked for always does.
 */
[[nodiscard]] constexpr bool fits(const Resources &demand, const Resources &room) noexcept
{
    return (demand.cpu == 0 || demand.cpu <= room.cpu) && (demand.memory == 0 || demand.memory <= room.memory) && (demand.gpu == 0 || demand.gpu <= room.gpu);
}

/** @brief Equal tasks of a job that become ready together. */
struct Step {
    std::int64_t count{1};
    Resources each; /**< What one task takes. */
    std::int64_t estimateMs{0}; /**< The submitter's rough duration of a task. */
    std::vector<std::size_t> after; /**< Earlier steps that have to be done first. */
    bool savesProgress{false}; /**< Tasks make checkpoints. */
    bool gang{false}; /**< Tasks work only all together. */
    bool sameRack{false}; /**< Tasks are slow when they are on several racks. */
    bool speculative{false}; /**< Copies may run side by side. */
    bool continuous{false}; /**< Tasks run until the job is cancelled. */
    bool fills{false}; /**< Tasks take only processor time that others leave. */
    std::string requiredLabel; /**< Label that the worker must have; empty for none. */
    std::string affinityRack; /**< Rack on which tasks are fast; empty for any. */
    std::int64_t maxPerWorker{0}; /**< Most tasks of the step on one worker; 0 for no limit. */
    std::string image; /**< Name of what the tasks run. */
    std::int64_t targetMs{0}; /**< Response time that a serving task has to stay under; 0 for none. */
    std::int64_t maxUnavailable{0}; /**< Most tasks of the step that the system may take down at once; 0 for no such promise. */

    [[nodiscard]] bool operator==(const Step &) const = default;
};

/** @brief Job as it was submitted. */
struct Job {
    std::string id;
    std::string queue;
    std::string pool; /**< Pool that the queue led to when the job was accepted. */
    std::string team; /**< Empty on queues open to all. */
    std::string spec; /**< Text handed to every task. */
    std::int64_t submittedMs{0}; /**< Unix time of acceptance. */
    std::int64_t repeatCount{0}; /**< Number of occurrences; 0 for a job that runs once. */
    std::int64_t firstRunMs{0}; /**< Unix time of the first occurrence. */
    std::int64_t intervalMs{0}; /**< Time between two occurrences. */
    std::int64_t maxAttempts{1}; /**< Allowed failures of a task when the job was accepted; counts if its queue is gone. */
    std::vector<Step> steps;

    [[nodiscard]] bool operator==(const Job &) const = default;
};

/** @brief What a caller is told of a job. */
enum class JobState : std::uint8_t {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/**
 * @brief Gives the name of a state.
 * @param state State to name.
 * @return Name in lower case.
 */
[[nodiscard]] std::string_view toText(JobState state) noexcept;

/**
 * @brief Tells whether a job has come to its end.
 * @param state State of the job.
 * @return True if nothing of it runs any more.
 */
[[nodiscard]] constexpr bool isFinal(JobState state) noexcept
{
    return state == JobState::Completed || state == JobState::Failed || state == JobState::Cancelled;
}

/** @brief Position of a task within its job. */
struct TaskName {
    std::string job;
    std::int64_t occurrence{0};
    std::size_t step{0};
    std::size_t index{0};

    [[nodiscard]] auto operator<=>(const TaskName &) const = default;
};

/**
 * @brief Writes a task's name.
 * @param name Name to write.
 * @return `JOB.OCCURRENCE.STEP.INDEX`.
 */
[[nodiscard]] std::string toText(const TaskName &name);

/**
 * @brief Reads a task's name.
 * @param text `JOB.OCCURRENCE.STEP.INDEX`.
 * @return The name, or nothing if the text is no such name.
 */
[[nodiscard]] std::optional<TaskName> parseTaskName(std::string_view text);

/** @brief How a run of a task ended. */
enum class EndKind : std::uint8_t {
    Done,
    Failed, /**< By its own fault or the worker's. */
    Stopped, /**< On an order. */
    Lapsed, /**< Its lease ran out. */
    Broken, /**< Another member of the gang ended. */
    Alone, /**< The other members of the gang did not come in time. */
};

/** @brief Durable part of a task's state. */
struct TaskRecord {
    bool done{false};
    std::vector<std::int64_t> failedRuns; /**< Runs that ended as failed; a worker may list such an end to several owners. */
    std::int64_t lastRun{0}; /**< Highest number of a run. */
    std::string checkpoint;

    [[nodiscard]] bool operator==(const TaskRecord &) const = default;
};

/** @brief Durable state of a job. */
struct JobRecord {
    JobState state{JobState::Queued};
    std::int64_t endedMs{0}; /**< Unix time of its end; 0 before. */
    std::map<std::int64_t, std::vector<std::vector<TaskRecord>>> occurrences; /**< Tasks by occurrence and step. */
    std::int64_t nextOccurrence{0}; /**< Occurrences below this one and not listed have ended. */

    [[nodiscard]] bool operator==(const JobRecord &) const = default;
};

/** @brief Queue as the scheduler sees it. */
struct QueuePolicy {
    std::string pool;
    std::int64_t priority{0}; /**< Lower comes first. */
    std::int64_t maxAttempts{1}; /**< Failed runs of a task after which its job fails. */
    double stretch{1.0}; /**< Factor on the longest chain of work within the latency objective. */
    std::int64_t objectiveMs{0}; /**< Added to the stretched chain for the latency objective. */
    bool advised{false}; /**< Placement needs a ticket of the advice service. */

    [[nodiscard]] bool operator==(const QueuePolicy &) const = default;
};

/** @brief Team as the scheduler sees it. */
struct TeamPolicy {
    double weight{1.0}; /**< Share when all is full. */
    Resources limit; /**< Most that it may have running; parts of 0 have no limit. */

    [[nodiscard]] bool operator==(const TeamPolicy &) const = default;
};

/** @brief Pool as the scheduler sees it. */
struct PoolPolicy {
    bool workersGuardCapacity{true}; /**< Workers refuse what does not fit. */
    bool standby{false}; /**< Instances are off and free of charge. */

    [[nodiscard]] bool operator==(const PoolPolicy &) const = default;
};

/** @brief What the scheduler needs of the fleet's configuration. */
struct FleetConfig {
    std::map<std::string, QueuePolicy> queues;
    std::map<std::string, TeamPolicy> teams;
    std::map<std::string, PoolPolicy> pools;

    [[nodiscard]] bool operator==(const FleetConfig &) const = default;
};

/** @brief What the platform's registry says of a worker. */
struct WorkerEntry {
    std::string id;
    std::string pool;
    std::string address;
    std::string zone;
    std::string rack;
    std::vector<std::string> labels; /**< What steps may require. */
    Resources capacity;
    bool draining{false};
    std::int64_t incarnation{0}; /**< Start of this life of the worker; 0 when it is not said. */

    [[nodiscard]] bool operator==(const WorkerEntry &) const = default;
};

/** @brief Run that a worker lists. */
struct ListedRun {
    TaskName task;
    std::int64_t run{0};
    std::string checkpoint;
    std::int64_t percent{0}; /**< Progress; 100 for a continuous task that is at work. */
    std::int64_t figure{0}; /**< Tail of response times in milliseconds for a serving task, else processor use. */

    [[nodiscard]] bool operator==(const ListedRun &) const = default;
};

/** @brief End that a worker lists until it is acknowledged. */
struct ListedEnd {
    std::int64_t number{0}; /**< Position in the worker's list of ends. */
    TaskName task;
    std::int64_t run{0};
    EndKind kind{EndKind::Failed};
    std::string checkpoint;

    [[nodiscard]] bool operator==(const ListedEnd &) const = default;
};

/** @brief What a worker says of its runs. */
struct WorkerReport {
    std::int64_t clockMs{0}; /**< The worker's own clock. */
    std::int64_t incarnation{0}; /**< Start of its present life; 0 when it is not said. */
    std::vector<ListedRun> running;
    std::vector<ListedEnd> ended;

    [[nodiscard]] bool operator==(const WorkerReport &) const = default;
};

} // namespace oleanderwick::jobs

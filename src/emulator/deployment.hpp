#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oleanderwick/jobs/jobs.hpp"
#include "worker_model.hpp"

namespace oleanderwick::emulator
{

/** @brief Pool of identical instances. */
struct PoolPlan {
    std::string name;
    int instances{8};
    std::int64_t cpu{16'000}; /**< Capacity of an instance in thousandths of a core. */
    bool standby{false}; /**< Instances of the pool run no workers. */

    [[nodiscard]] bool operator==(const PoolPlan &) const = default;
};

/** @brief Queue and the jobs that clients submit to it. */
struct QueuePlan {
    std::string name;
    std::string pool;
    double jobsPerSecond{5.0}; /**< Base rate; multiplied by `peakFactor` during the queue's peak, and by a tenth between peaks. */
    int steps{2}; /**< Steps of a job, run one after the other. */
    int tasks{6}; /**< Tasks per step. */
    std::int64_t cpu{900}; /**< CPU of a task in thousandths of a core. */
    double workMs{1000.0}; /**< Estimated duration of a task; actual durations differ by a random factor for each step. */
    int continuousTasks{5}; /**< Tasks of the queue's continuous job; 0 for no such job. */
    std::int64_t continuousPerWorker{3}; /**< Tasks of the continuous job that may run on one worker. */
    std::int64_t objectiveMs{600}; /**< Part of a job's time objective that does not depend on its work. */

    [[nodiscard]] bool operator==(const QueuePlan &) const = default;
};

/** @brief Failure, planned operation or change of load that a simulation injects. */
enum class FaultKind : std::uint8_t {
    NodeKill,
    NodeFreeze,
    RollingRestart, /**< Nodes are stopped and started one after the other. */
    AllNodesKilled,
    StoreUnresponsive, /**< Calls to the store time out. */
    StoreRefusing, /**< The store refuses all calls. */
    StoreRefusesSomeNodes, /**< The store refuses the calls of some nodes. */
    StoreSlow,
    StoreLosesReplies,
    StoreCompaction, /**< The store drops the history that watches read. */
    WorkerCrash, /**< Workers stop, lose all runs and restart under the same name. */
    WorkerUnreachable, /**< Workers keep running and cannot be reached. */
    WorkerSlow,
    WorkerTasksFail,
    WorkerHangs,
    LateCommands, /**< Some commands to workers time out, and take effect and are answered seconds later. */
    WorkerDrain, /**< Workers drain and are replaced. */
    Wave, /**< A maintenance wave is requested for some instances. */
    Cancellations, /**< Half of the jobs are cancelled right after they were accepted. */
    Burst, /**< One queue receives additional jobs at four times its base rate. */
    StoreWatchesSilent, /**< Watches deliver nothing for 1 to 3.4 s at a time, each time until a compaction; `drawFaults` doesn't draw it. */
    ZoneClosed, /**< Operators close the zone that `share` selects, and open it after the duration; `drawZoneClosures` draws it. */
    InstanceRepliesLost, /**< Commands for instances take effect and get no reply; some are lost before they take effect. */
    InstanceCommandsLate, /**< Some commands for instances take effect 2 to 12 s later, without a reply. */
    InstanceServiceBusy, /**< The instance service refuses calls. */
    InstanceServiceSilent, /**< Calls to the instance service get no reply; half of the commands take effect. */
    InstanceServiceSlow, /**< Calls to the instance service take up to 2.5 s; those that take over 1.5 s time out. */
    InstanceListsPaged, /**< Lists of instances come in pages that are read one after the other. */
    WaveChanged, /**< A wave gets another limit and, in half of the cases, more instances. */
    WavesOverlap, /**< Two waves are requested that share instances. */
    OwnerKilledAfterCommand, /**< The next owner that commands maintenance is killed at, or up to 40 ms after, the execution. */
    OwnerStoppedAfterCommand, /**< As before; it is told to end. */
    OwnerFrozenAfterCommand, /**< As before; it is frozen. */
    OwnerCutOffAfterCommand, /**< As before; it reaches no other service. */
};

/** @brief One fault of a simulation. */
struct Fault {
    FaultKind kind{FaultKind::NodeKill};
    double startS{0.0};
    double durationS{3.0};
    double share{0.2}; /**< Share of the nodes (the owner first) or workers, at least one, or of the instances; scales `LateCommands`; some kinds ignore it. For
                          `ZoneClosed` it is the position of the zone among all zones. */
    std::int64_t maxInstancesDown{3}; /**< Limit of the waves that are requested or changed. */

    [[nodiscard]] bool operator==(const Fault &) const = default;
};

/** @brief Fleet, load and faults of a simulation. */
struct Deployment {
    int nodes{6};
    std::vector<PoolPlan> pools;
    std::vector<QueuePlan> queues;
    int teams{4};
    std::int64_t teamCpuLimit{0}; /**< Upper limit of each team in thousandths of a core; 0 for none. */
    int instancesPerRack{4};
    int zones{3}; /**< Availability zones, among which the racks are spread. */
    double peakDurationS{6.0}; /**< Duration of a peak; the queues peak one after the other. */
    double peakFactor{3.0}; /**< Factor on a queue's rate during its peak. */
    double loadDurationS{24.0}; /**< Time during which jobs are submitted. */
    double completionTimeS{14.0}; /**< Time after the load until all accepted jobs must be done. */
    double storeLatencyMs{4.0}; /**< Time that the store takes for a call. */
    WorkerParameters workers;
    core::Duration migrationTime{std::chrono::milliseconds{1500}}; /**< Time that the move of an instance to another pool takes. */
    core::Duration maintenanceTime{std::chrono::milliseconds{2000}}; /**< Time that the maintenance of an instance takes. */
    bool notifyOwner{false}; /**< Nodes notify the owner of stored jobs and cancels. */
    bool teamShares{false}; /**< Full pools are shared by the weights of teams. */
    bool attributeFailures{false}; /**< Failures are attributed to tasks or to workers. */
    bool yieldLateWork{false}; /**< The owner stops late work while timely work waits for its room. */
    bool savesProgress{false}; /**< Tasks that are not continuous write checkpoints. */
    bool speculative{false}; /**< Tasks that are not continuous may have copies. */
    /** Tasks that need all workers are submitted near the end, so that a worker that gets none is noticed. */
    bool probesWorkers{false};
    double lostNoticeShare{0.0}; /**< Share of the messages with notices that are lost. */
    std::vector<Fault> faults;
};

/** @return A small fleet of four pools and a standby pool, whose queues peak one after the other. */
[[nodiscard]] Deployment makeSmallFleet();

/**
 * @brief Brings the teams of a fleet to their limits, with speculative tasks that outlast the detection of a silent worker.
 * @param deployment Small fleet; its load is changed.
 */
void limitTeams(Deployment &deployment);

/**
 * @brief Draws random faults.
 * @param deployment Deployment whose load duration limits when faults begin.
 * @param seed Seed of the random generator.
 * @return Two to eight faults, which may overlap.
 */
[[nodiscard]] std::vector<Fault> drawFaults(const Deployment &deployment, std::uint64_t seed);

/**
 * @brief Draws closures of zones. They have a generator of their own, so that a seed still draws the same other faults.
 * @param deployment Deployment whose load duration limits when zones are closed.
 * @param seed Seed of the random generator.
 * @return One to three closures of kind `ZoneClosed`, which may overlap.
 */
[[nodiscard]] std::vector<Fault> drawZoneClosures(const Deployment &deployment, std::uint64_t seed);

/**
 * @brief Draws maintenance waves with faults of the instance service and with ends of owners that have just commanded maintenance. They have a
 * generator of their own, so that a seed still draws the same other faults.
 * @param deployment Deployment whose load duration limits when faults begin, and whose instances the waves contain.
 * @param seed Seed of the random generator.
 * @return One or two requests of waves, up to two changes of them, and one to six other faults.
 */
[[nodiscard]] std::vector<Fault> drawMaintenanceFaults(const Deployment &deployment, std::uint64_t seed);

/**
 * @brief Names a kind of fault.
 * @param kind Kind of fault.
 * @return Name in snake case.
 */
[[nodiscard]] std::string_view toText(FaultKind kind) noexcept;

} // namespace oleanderwick::emulator

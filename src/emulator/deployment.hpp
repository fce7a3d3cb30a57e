#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "oleanderwick/jobs/jobs.hpp"
#include "worker_model.hpp"

namespace oleanderwick::emulator
{

/** @brief Pool of equal instances. */
struct PoolPlan {
    std::string name;
    int instances{8};
    std::int64_t cpu{16'000}; /**< Thousandths of a core of an instance. */
    bool standby{false};

    [[nodiscard]] bool operator==(const PoolPlan &) const = default;
};

/** @brief Queue and what its submitters hand in. */
struct QueuePlan {
    std::string name;
    std::string pool;
    double jobsPerSecond{5.0}; /**< Mean over the day; in its turn a queue asks for more, and for little in between. */
    int steps{2}; /**< Steps, one after the other. */
    int tasks{6}; /**< Tasks of a step. */
    std::int64_t cpu{900}; /**< Thousandths of a core of a task. */
    double workMs{1000.0}; /**< Mean duration of a task. */
    int continuousTasks{5}; /**< Tasks of the queue's continuous job; 0 for none. */
    std::int64_t objectiveMs{600};

    [[nodiscard]] bool operator==(const QueuePlan &) const = default;
};

/** @brief What goes wrong, or is done on purpose, on a day. */
enum class FaultKind : std::uint8_t {
    NodeKill,
    NodeFreeze,
    RollingRestart, /**< Nodes are stopped and started one after the other. */
    AllNodesKilled,
    StoreSilent,
    StoreBusy, /**< The store refuses all calls. */
    StoreTurnsAway, /**< The store refuses some nodes. */
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets, /**< The history is dropped. */
    WorkerCrash, /**< Workers fall silent and come back under their names with nothing. */
    WorkerCut, /**< Workers run on and cannot be reached. */
    WorkerSlow,
    WorkerFails,
    WorkerHangs,
    OrdersLate, /**< Orders to workers have no answer and are carried out later. */
    WorkerLeaves, /**< Workers drain and leave. */
    Wave, /**< Instances are due for maintenance. */
    Cancellations, /**< Many jobs are cancelled right after they were accepted. */
    Burst, /**< A queue gets many times its usual jobs. */
};

/** @brief One trouble of a day. */
struct Fault {
    FaultKind kind{FaultKind::NodeKill};
    double atS{0.0};
    double lastsS{3.0};
    double share{0.2}; /**< Share of the nodes, workers or instances that it strikes; the first node struck is the owner. */

    [[nodiscard]] bool operator==(const Fault &) const = default;
};

/** @brief Fleet, load and bounds of a day. */
struct Deployment {
    int nodes{6};
    std::vector<PoolPlan> pools;
    std::vector<QueuePlan> queues;
    int teams{4};
    std::int64_t teamCpuLimit{0}; /**< Upper limit of each team; 0 for none. */
    int instancesPerRack{4};
    double turnS{6.0}; /**< How long it is each queue's turn. */
    double inTurn{3.0}; /**< Factor on a queue's mean in its turn. */
    double loadS{24.0}; /**< How long jobs are handed in. */
    double finishS{14.0}; /**< Time after that until all accepted jobs must be done. */
    double storeMs{4.0};
    WorkerBounds workers;
    core::Duration migrate{std::chrono::milliseconds{1500}};
    core::Duration maintenance{std::chrono::milliseconds{2000}};
    std::vector<Fault> faults;
};

/** @return A small fleet of four pools and a standby pool, with turning load. */
[[nodiscard]] Deployment makeSmallFleet();

/**
 * @brief Draws troubles for a day.
 * @param deployment Fleet that they strike.
 * @param seed Seed of the draw.
 * @return Troubles in overlapping series.
 */
[[nodiscard]] std::vector<Fault> drawFaults(const Deployment &deployment, std::uint64_t seed);

/**
 * @brief Gives the name of a kind of trouble.
 * @param kind The kind.
 * @return Name in snake case.
 */
[[nodiscard]] std::string_view toText(FaultKind kind) noexcept;

} // namespace oleanderwick::emulator

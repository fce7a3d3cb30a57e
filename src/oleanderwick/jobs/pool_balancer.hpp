#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../core/core.hpp"
#include "command_delay.hpp"
#include "maintenance_controller.hpp"
#include "scheduler.hpp"

namespace oleanderwick::jobs
{

namespace internal
{

/** Assumed capacity of an instance, in thousandths of a core, until one is known: low, so that pools become too large rather than too small. */
inline constexpr std::int64_t assumedInstanceCpu = 4000;

} // namespace internal

/** @brief Command to move an instance to another pool. */
struct MoveCommand {
    std::string instance;
    std::string pool; /**< Destination pool. */
    std::string worker; /**< Worker that ran on it; empty if there was none. */
    std::string from; /**< Pool that the instance leaves. */
};

/** @brief Parameters for sizing pools. */
struct BalancingPolicy {
    double clearWithin{1.0}; /**< Time in which waiting work should have started, in task durations. */
    double clearLateWithin{5.0}; /**< Divisor of running and waiting work that misses its objective, in task durations: late work justifies little capacity. */
    double arrivingWeight{1.0}; /**< Share of the CPU demand estimated from job arrivals that a pool is sized for before the tasks are ready. */
    double usableShare{0.92}; /**< Share of an instance's CPU that can be allocated before tasks no longer fit. */
    core::Duration needLasts{std::chrono::milliseconds{1000}}; /**< Time for which a peak need counts: moving away and back costs more than an idle instance. */
    core::Duration parkAfter{std::chrono::milliseconds{1800}}; /**< Time for which a pool must have a surplus before an instance goes to standby. */
    bool divideScarceInstances{false}; /**< If the timely needs exceed the fleet, divide it by water-filling, not by who asked first. */
    std::int64_t reserve{1}; /**< Instances kept in each pool beyond its need, for failures and for the start of a rise in load. */

    [[nodiscard]] bool operator==(const BalancingPolicy &) const = default;
};

/** @brief Number of instances that a pool needs. */
struct PoolNeed {
    std::int64_t timely{0}; /**< For continuous tasks and jobs that can meet their objective. */
    std::int64_t total{0}; /**< For these and for jobs that miss their objective. */

    [[nodiscard]] bool operator==(const PoolNeed &) const = default;
};

/**
 * @brief Moves instances to pools whose demand exceeds their capacity, and surplus instances to standby. Performs no I/O.
 *
 * Follows load that shifts between queues: a full pool gets instances from pools with a surplus, and idle instances wait on
 * standby, where they cost nothing. Jobs that can still meet their objective take precedence over late jobs of other pools: if
 * no instance is idle, one of a pool that has more than its timely need is drained.
 */
class PoolBalancer
{
public:
    /**
     * @brief Creates the balancer for one owner's term.
     * @param policy Parameters for sizing pools.
     * @param commandDelay Delays commands that could conflict with a former owner's commands in flight; must outlive this object.
     */
    PoolBalancer(const BalancingPolicy &policy, const CommandDelay &commandDelay);

    /**
     * @brief Replaces the known instances with the platform's current list, and closes the moves that it confirms. An instance is gone only
     * after lists over some seconds that all leave it out.
     * @param instances Instances by name.
     * @param requestedAt Time at which the list was requested; it closes only moves whose drain started, or whose reply was received, before.
     */
    void handleInstances(const std::map<std::string, InstanceEntry> &instances, core::TimePoint requestedAt);

    /**
     * @brief Handles the reply to a command; a worker whose instance stays in its pool is uncordoned.
     * @param command Command that was sent.
     * @param outcome Outcome of the command.
     * @param scheduler Scheduler whose worker was cordoned for the move.
     * @param now Current time of the monotonic clock.
     */
    void handleReply(const MoveCommand &command, InstanceOutcome outcome, Scheduler &scheduler, core::TimePoint now);

    /**
     * @brief Compares the instances of each pool with its need, and commands moves.
     * @param scheduler Scheduler that provides the load, and whose workers are cordoned.
     * @param maintenance Controller of maintenance; instances in maintenance are not moved.
     * @param now Current time of the monotonic clock.
     */
    void advance(Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now);

    /**
     * @brief Checks whether a move is still allowed; zones may have been closed since it was commanded.
     * @param command Command that has not been sent.
     * @param scheduler Scheduler that knows the closed zones.
     * @return False if the instance is in a closed zone and would move into a serving pool.
     */
    [[nodiscard]] bool isAllowed(const MoveCommand &command, const Scheduler &scheduler) const;

    /** @return Commands issued since the last call; the outcome of each must be passed to `handleReply`. */
    [[nodiscard]] std::vector<MoveCommand> takeCommands();

    /** @return Decisions made since the last call, for the log. */
    [[nodiscard]] std::vector<Decision> takeDecisions();

    /**
     * @brief Computes how many instances a pool needs.
     * @param policy Parameters for sizing pools.
     * @param load Load of the pool.
     * @param cpuPerInstance Capacity of one instance in thousandths of a core.
     * @return Number of instances, without the reserve of the policy.
     */
    [[nodiscard]] static PoolNeed computeNeed(const BalancingPolicy &policy, const PoolLoad &load, std::int64_t cpuPerInstance);

private:
    struct PoolState {
        std::int64_t instanceCount{0}; /**< Instances that accept work, and those moving to the pool. */
        std::int64_t unsettledCount{0}; /**< Those of them that a command of a former owner may still take away. */
        PoolNeed need; /**< Need at the last measurement. */
        PoolNeed peakNeed; /**< Highest recent need. */
        std::int64_t timelyTarget{0}; /**< Instances to have for the timely need: its recent peak, or less if instances are scarce. */
        core::TimePoint timelyPeakAt; /**< Time at which the timely need was last this high. */
        core::TimePoint totalPeakAt; /**< Time at which the total need was last this high. */
        core::TimePoint surplusSince; /**< Start of the present surplus beyond need and reserve. */

        /** Instances that are certain to stay unless this owner moves them. */
        [[nodiscard]] std::int64_t stayingCount() const noexcept
        {
            return instanceCount - unsettledCount;
        }
    };

    /** Move of an instance that is commanded, or for which its worker is being drained. */
    struct InstanceMove {
        std::string to;
        std::string worker; /**< Worker that was cordoned for the move. */
        core::TimePoint since;
        bool draining{false}; /**< Its worker still has tasks; the move was not commanded yet. */
        bool commandInFlight{false};
    };

    [[nodiscard]] static bool isInService(const InstanceEntry &instance, const Scheduler &scheduler);
    [[nodiscard]] static bool isInClosedZone(const InstanceEntry &instance, const Scheduler &scheduler);
    /** Cordons the workers of all moves, and lifts the cordons of moves that have ended, however they did. */
    void updateCordons(Scheduler &scheduler);
    void cancelClosedDrains(Scheduler &scheduler);
    void countInstances(Scheduler &scheduler);
    void recordNeed(const std::string &name, const PoolState &pool, const PoolNeed &need, const PoolLoad &load);
    void updateInstanceCpu(const std::map<std::string, PoolLoad> &loads);
    void updateNeeds(const Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now);
    /** Sets the target of each pool for its timely need. */
    void updateTargets(const Scheduler &scheduler);
    void advanceDrains(Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now);
    void cancelDrain(const std::string &instance, Scheduler &scheduler);
    /** Cancels one drain that would take an instance of the pool to standby; false if there is none. */
    [[nodiscard]] bool reclaimDraining(const std::string &pool, Scheduler &scheduler);
    /** Gives a pool one more instance without draining another pool's; false if none is idle. */
    [[nodiscard]] bool moveIdleInstance(const std::string &to, Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now);
    /** Drains an instance of another pool that has more than its timely need; false if there is none. */
    [[nodiscard]] bool drainInstance(const std::string &to, Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now);
    /** Moves at most one surplus instance of each pool to standby, and drains it first if none is idle. */
    void releaseSurplus(Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now);
    [[nodiscard]] bool canMove(const InstanceEntry &instance, const std::string &to, const MaintenanceController &maintenance) const;
    [[nodiscard]] const InstanceEntry *findIdle(const std::string &pool,
                                                const std::string &to,
                                                const Scheduler &scheduler,
                                                const MaintenanceController &maintenance);
    [[nodiscard]] const InstanceEntry *findDrainable(const std::string &pool,
                                                     const std::string &to,
                                                     const Scheduler &scheduler,
                                                     const MaintenanceController &maintenance);
    void startDrain(const InstanceEntry &instance, const std::string &to, Scheduler &scheduler, core::TimePoint now);
    void commandMove(const InstanceEntry &instance, const std::string &to, Scheduler &scheduler, core::TimePoint now);
    /** Counts an instance for another pool; standby pools are not counted. */
    void shiftCounts(const std::string &from, const std::string &to, const Scheduler &scheduler);

    BalancingPolicy m_policy;
    const CommandDelay &m_commandDelay;
    std::map<std::string, InstanceEntry> m_instances; /**< The latest list, and what it may have left out. */
    std::map<std::string, core::TimePoint> m_missingSince; /**< Time of the first of the latest lists that all leave an instance out. */
    std::map<std::string, std::vector<const InstanceEntry *>> m_instancesByPool; /**< Entries of `m_instances`. */
    /** @name Pairs of a pool and a destination between which nothing can be moved
     * Valid during `advance`: one search of each kind suffices, since no worker becomes idle meanwhile.
     */
    /** @{ */
    std::set<std::pair<std::string, std::string>> m_noneIdle;
    std::set<std::pair<std::string, std::string>> m_noneDrainable;
    /** @} */
    core::TimePoint m_listRequestedAt;
    core::TimePoint m_balancedAt;
    bool m_scarce{false}; /**< The timely needs exceed the fleet and are divided. */
    std::map<std::string, PoolState> m_pools;
    std::map<std::string, InstanceMove> m_moves; /**< Moves by name of the instance. */
    std::map<std::string, std::string> m_cordonedWorkers; /**< Workers that are cordoned for a move, with their instances. */
    std::set<std::pair<std::string, std::string>> m_rejectedMoves; /**< Instances and destination pools whose combination the platform rejected. */
    std::int64_t m_instanceCpu{internal::assumedInstanceCpu}; /**< Last known capacity of an instance in thousandths of a core. */
    std::vector<MoveCommand> m_commands;
    std::vector<Decision> m_decisions;
};

} // namespace oleanderwick::jobs

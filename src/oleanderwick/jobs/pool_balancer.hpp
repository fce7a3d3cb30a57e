#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../core/core.hpp"
#include "order_pause.hpp"
#include "scheduler.hpp"
#include "upkeep.hpp"

namespace oleanderwick::jobs
{

namespace internal
{

/** Thousandths of a core that an instance is taken to have before any was seen: a small one, so that pools rather grow. */
inline constexpr std::int64_t unknownInstanceCpu = 4000;

} // namespace internal

/** @brief Order to move an instance to another pool. */
struct MoveOrder {
    std::string instance;
    std::string pool; /**< Where it goes. */
    std::string worker; /**< Worker that ran on it; empty for none. */
    std::string from;
};

/** @brief How pools are sized. */
struct BalancingPolicy {
    double clearWithin{1.0}; /**< Work that waits is to be under way within this many lengths of a task. */
    double clearLateWithin{5.0}; /**< The same for work that misses its objective anyway, and is worth little room. */
    double arrivingWeight{1.0}; /**< Share of the demand of arriving jobs that pools are sized for ahead of its tasks. */
    double usableShare{0.92}; /**< Share of an instance that can be filled before tasks no longer fit. */
    core::Duration needLasts{std::chrono::milliseconds{1000}}; /**< A need counts for this long: a move back and forth costs more than waiting. */
    core::Duration parkAfter{std::chrono::milliseconds{1800}}; /**< An instance goes to standby when its pool had no use for it for this long. */
    std::int64_t reserve{1}; /**< Instances kept in each pool beyond its need, for failures and for the start of a rise. */

    [[nodiscard]] bool operator==(const BalancingPolicy &) const = default;
};

/** @brief Instances that a pool needs. */
struct PoolNeed {
    std::int64_t timely{0}; /**< For continuous tasks and for jobs that can meet their objective. */
    std::int64_t all{0}; /**< With jobs that miss it. */

    [[nodiscard]] bool operator==(const PoolNeed &) const = default;
};

/**
 * @brief Moves instances to pools whose queues ask for more than they hold, and parks those that nobody needs; without I/O.
 *
 * Answers loads that turn from queue to queue: a pool that is full borrows from pools that are not, and idle instances wait on
 * standby, where they cost nothing. Jobs that still meet their objective come before late ones of other pools: if no instance
 * is idle, one of a pool that works off late jobs is drained.
 */
class PoolBalancer
{
public:
    /**
     * @brief Starts the tenure of an owner.
     * @param policy How pools are sized.
     * @param pause Holds back orders that could cross a former owner's; has to outlive this.
     */
    PoolBalancer(const BalancingPolicy &policy, const OrderPause &pause);

    /**
     * @brief Takes in the platform's list of instances.
     * @param instances Instances by name.
     * @param askedAt When the list was asked for.
     */
    void takeInstances(const std::map<std::string, InstanceEntry> &instances, core::TimePoint askedAt);

    /**
     * @brief Takes in the answer to an order.
     * @param order The order.
     * @param answer The answer.
     * @param scheduler Scheduler whose worker was closed for it.
     * @param now Present time.
     */
    void takeAnswer(const MoveOrder &order, InstanceAnswer answer, Scheduler &scheduler, core::TimePoint now);

    /**
     * @brief Compares what pools have with what they need, and orders moves.
     * @param scheduler Scheduler that knows the load, and whose workers are closed.
     * @param upkeep Knows which instances are maintained.
     * @param now Present time.
     */
    void advance(Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now);

    /** @return Orders that came up since the last call; each has to be answered by `takeAnswer`. */
    [[nodiscard]] std::vector<MoveOrder> takeOrders();

    /** @return Decisions since the last call, for the log. */
    [[nodiscard]] std::vector<Decision> takeDecisions();

    /**
     * @brief Works out how many instances a pool needs.
     * @param policy How pools are sized.
     * @param load Load of the pool.
     * @param perInstance Thousandths of a core of one instance.
     * @return Numbers of instances.
     */
    [[nodiscard]] static PoolNeed needOf(const BalancingPolicy &policy, const PoolLoad &load, std::int64_t perInstance);

private:
    struct PoolState {
        std::int64_t have{0}; /**< Instances that take work, and those on their way. */
        PoolNeed need; /**< Present needs. */
        PoolNeed held; /**< Highest needs of late. */
        core::TimePoint timelyAt; /**< When the timely need was last this high. */
        core::TimePoint allAt; /**< When the whole need was last this high. */
        core::TimePoint surplusSince; /**< Since when it has had more than it needs. */
    };

    /** An instance that is on its way, or drained for it. */
    struct Moving {
        std::string to;
        std::string worker; /**< Worker that was closed for it. */
        core::TimePoint since;
        bool drains{false}; /**< Its worker still runs something; no order was given. */
        bool orderOut{false};
    };

    [[nodiscard]] static bool inService(const InstanceEntry &instance, const Scheduler &scheduler);
    void countInstances(Scheduler &scheduler, core::TimePoint now);
    void noteNeed(const std::string &name, const PoolState &pool, const PoolNeed &need, const PoolLoad &load);
    void learnInstanceCpu(const std::map<std::string, PoolLoad> &loads);
    void updateNeeds(const Scheduler &scheduler, core::TimePoint now);
    void advanceDrains(Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now);
    void cancelDrain(const std::string &instance, Scheduler &scheduler);
    [[nodiscard]] bool keepOne(const std::string &pool, Scheduler &scheduler);
    [[nodiscard]] bool lendOne(const std::string &to, Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now);
    [[nodiscard]] bool drainOne(const std::string &to, Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now);
    void parkIdle(Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now);
    [[nodiscard]] bool mayMove(const InstanceEntry &instance, const std::string &to, const Upkeep &upkeep, core::TimePoint now) const;
    [[nodiscard]] const InstanceEntry *findIdle(const std::string &pool,
                                                const std::string &to,
                                                const Scheduler &scheduler,
                                                const Upkeep &upkeep,
                                                core::TimePoint now) const;
    [[nodiscard]] const InstanceEntry *findDrainable(const std::string &pool,
                                                     const std::string &to,
                                                     const Scheduler &scheduler,
                                                     const Upkeep &upkeep,
                                                     core::TimePoint now) const;
    void drain(const InstanceEntry &instance, const std::string &to, Scheduler &scheduler, core::TimePoint now);
    void order(const InstanceEntry &instance, const std::string &to, Scheduler &scheduler, core::TimePoint now);
    void countMove(const std::string &from, const std::string &to, const Scheduler &scheduler);

    BalancingPolicy m_policy;
    const OrderPause &m_pause;
    std::map<std::string, InstanceEntry> m_instances;
    core::TimePoint m_listedAt;
    core::TimePoint m_balancedAt;
    std::map<std::string, PoolState> m_pools;
    std::map<std::string, Moving> m_moving; /**< Instances on their way. */
    std::set<std::pair<std::string, std::string>> m_impossible; /**< Instances and pools that do not go together. */
    std::int64_t m_instanceCpu{internal::unknownInstanceCpu}; /**< Thousandths of a core of an instance, as far as known. */
    std::vector<MoveOrder> m_orders;
    std::vector<Decision> m_decisions;
};

} // namespace oleanderwick::jobs

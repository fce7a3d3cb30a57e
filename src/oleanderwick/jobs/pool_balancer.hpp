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

/** @brief Order to move an instance to another pool. */
struct MoveOrder {
    std::string instance;
    std::string pool; /**< Where it goes. */
    std::string worker; /**< Worker that ran on it; empty for none. */
    std::string from;
};

/**
 * @brief Moves empty instances to pools whose queues ask for more than they hold, and parks those that nobody needs; without I/O.
 *
 * Answers loads that turn from queue to queue: a pool that is full borrows from pools that are not, and idle instances wait on
 * standby, where they cost nothing.
 */
class PoolBalancer
{
public:
    /**
     * @brief Starts the tenure of an owner.
     * @param pause Holds back orders that could cross a former owner's; has to outlive this.
     */
    explicit PoolBalancer(const OrderPause &pause);

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
     * @param load Load of the pool.
     * @param perInstance Thousandths of a core of one instance.
     * @return Number of instances.
     */
    [[nodiscard]] static std::int64_t needOf(const PoolLoad &load, std::int64_t perInstance);

private:
    struct PoolState {
        std::int64_t have{0}; /**< Instances that take work, and those on their way. */
        std::int64_t need{0}; /**< Highest need of late. */
        core::TimePoint needAt; /**< When the need was last this high. */
        core::TimePoint surplusSince; /**< Since when it has had more than it needs. */
    };

    struct Moving {
        std::string to;
        std::string worker; /**< Worker that was closed for it. */
        core::TimePoint since;
        bool orderOut{false};
    };

    [[nodiscard]] static bool inService(const InstanceEntry &instance, const Scheduler &scheduler);
    void countInstances(Scheduler &scheduler, core::TimePoint now);
    void noteNeed(const std::string &name, const PoolState &pool, std::int64_t need, const PoolLoad &load);
    void updateNeeds(const Scheduler &scheduler, core::TimePoint now);
    [[nodiscard]] bool lendOne(const std::string &to, Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now);
    void parkIdle(Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now);
    [[nodiscard]] const InstanceEntry *findIdle(const std::string &pool,
                                                const std::string &to,
                                                const Scheduler &scheduler,
                                                const Upkeep &upkeep,
                                                core::TimePoint now) const;
    void order(const InstanceEntry &instance, const std::string &to, Scheduler &scheduler, core::TimePoint now);

    const OrderPause &m_pause;
    std::map<std::string, InstanceEntry> m_instances;
    core::TimePoint m_listedAt;
    core::TimePoint m_balancedAt;
    std::map<std::string, PoolState> m_pools;
    std::map<std::string, Moving> m_moving; /**< Instances on their way. */
    std::set<std::pair<std::string, std::string>> m_impossible; /**< Instances and pools that do not go together. */
    std::vector<MoveOrder> m_orders;
    std::vector<Decision> m_decisions;
};

} // namespace oleanderwick::jobs

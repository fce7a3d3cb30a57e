#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "../core/core.hpp"

namespace oleanderwick::fairness
{

/** @brief Amounts of the resources of which the largest relative one is a team's share: processor, memory, gpu; each in a unit of its own. */
using Amounts = std::array<std::int64_t, 3>;

/** @brief What each team uses of each pool, as dominant share, and the debts of teams that had more than they were entitled to. */
class ShareTable
{
public:
    /**
     * @brief Replaces the capacity of a pool.
     * @param pool Name of the pool.
     * @param capacity Its capacity; a resource with 0 does not count for shares.
     */
    void setCapacity(const std::string &pool, const Amounts &capacity);

    /**
     * @brief Adds to the use of a team.
     * @param pool Pool in which it is used.
     * @param team Name of the team.
     * @param amounts Amounts in addition; negative when a use ends.
     */
    void add(const std::string &pool, const std::string &team, const Amounts &amounts);

    /**
     * @brief Computes the dominant share of a team.
     * @param pool Name of the pool.
     * @param team Name of the team.
     * @param more Amounts that are counted in addition to the use.
     * @return The largest of processor, memory and gpu over the pool's capacity; 0 for a pool without capacity.
     */
    [[nodiscard]] double share(const std::string &pool, const std::string &team, const Amounts &more = {}) const;

    /**
     * @brief Says how much a team has had beyond its entitled share.
     * @param pool Name of the pool.
     * @param team Name of the team.
     * @return Mean excess as a share of the pool, weighted by age with a time constant of 2 s.
     */
    [[nodiscard]] double debt(const std::string &pool, const std::string &team) const;

    /**
     * @brief Says to which share a team was entitled at the last update of the debts.
     * @param pool Name of the pool.
     * @param team Name of the team.
     * @return Its entitled share if the pool was full, otherwise the share that it had.
     */
    [[nodiscard]] double entitledShare(const std::string &pool, const std::string &team) const;

    /** @return Shares of all teams that have had a use of a pool. @param pool Name of the pool. */
    [[nodiscard]] std::map<std::string, double> shares(const std::string &pool) const;

    /**
     * @brief Lets the debts in a pool decay, and grow for the time since the last call.
     * @param pool Name of the pool.
     * @param entitled Entitled shares by team while the pool is full; teams that aren't named incur no debt.
     * @param now Current time of the monotonic clock.
     */
    void updateDebts(const std::string &pool, const std::map<std::string, double> &entitled, core::TimePoint now);

private:
    struct Use {
        Amounts amounts{};
        double debt{0.0};
        double entitledShare{0.0};
    };

    struct Pool {
        Amounts capacity{};
        std::map<std::string, Use> uses; /**< By team. */
        core::TimePoint updatedAt;
        bool updated{false};
    };

    [[nodiscard]] static double dominantShare(const Amounts &capacity, const Amounts &amounts);
    [[nodiscard]] const Use *findUse(const std::string &pool, const std::string &team) const;

    std::map<std::string, Pool> m_pools;
};

} // namespace oleanderwick::fairness

#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "../core/core.hpp"

namespace oleanderwick::jobnode
{

/** @brief Bounds how many cancellations of unknown jobs a node records, in all and for each team, since each of them occupies a key of the store. */
class WithdrawalQuota
{
public:
    /** @brief Bounds for one period. */
    struct Limits {
        core::Duration period;
        std::size_t perTeam; /**< Records of one team. */
        std::size_t total; /**< Records of all teams. */
    };

    /**
     * @brief Creates an unused quota.
     * @param limits Bounds.
     */
    explicit WithdrawalQuota(const Limits &limits);

    /**
     * @brief Takes a record from the quota.
     * @param team Team of the caller; empty on queues that are open to all.
     * @param now Current time of the monotonic clock.
     * @return False if the team, or all teams together, have used up the quota of this period.
     */
    [[nodiscard]] bool take(const std::string &team, core::TimePoint now);

    /**
     * @brief Determines when the quota is available again.
     * @param now Current time of the monotonic clock.
     * @return Time until the next period.
     */
    [[nodiscard]] core::Duration untilNextPeriod(core::TimePoint now) const noexcept;

private:
    Limits m_limits;
    core::TimePoint m_periodStart;
    std::map<std::string, std::size_t> m_taken;
    std::size_t m_total{0};
};

} // namespace oleanderwick::jobnode

#include "withdrawal_quota.hpp"

#include <algorithm>

namespace oleanderwick::jobnode
{

WithdrawalQuota::WithdrawalQuota(const Limits &limits)
    : m_limits{limits}
{
}

bool WithdrawalQuota::take(const std::string &team, core::TimePoint now)
{
    if (now - m_periodStart >= m_limits.period) {
        m_periodStart = now;
        m_taken.clear();
        m_total = 0;
    }
    if (m_total >= m_limits.total) {
        return false;
    }
    std::size_t &taken = m_taken[team];
    if (taken >= m_limits.perTeam) {
        return false;
    }
    ++taken;
    ++m_total;
    return true;
}

core::Duration WithdrawalQuota::untilNextPeriod(core::TimePoint now) const noexcept
{
    return std::max(core::Duration::zero(), m_limits.period - (now - m_periodStart));
}

} // namespace oleanderwick::jobnode

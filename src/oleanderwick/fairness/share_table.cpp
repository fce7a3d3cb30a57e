#include "share_table.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>

namespace oleanderwick::fairness
{

namespace internal
{

constexpr std::chrono::duration<double> debtTimeConstant{2.0};

} // namespace internal

void ShareTable::setCapacity(const std::string &pool, const Amounts &capacity)
{
    m_pools[pool].capacity = capacity;
}

void ShareTable::add(const std::string &pool, const std::string &team, const Amounts &amounts)
{
    Use &use = m_pools[pool].uses[team];
    for (std::size_t index = 0; index < amounts.size(); ++index) {
        use.amounts[index] += amounts[index];
    }
}

double ShareTable::dominantShare(const Amounts &capacity, const Amounts &amounts)
{
    double largest = 0.0;
    for (std::size_t index = 0; index < amounts.size(); ++index) {
        if (capacity[index] > 0) {
            largest = std::max(largest, static_cast<double>(amounts[index]) / static_cast<double>(capacity[index]));
        }
    }
    return largest;
}

const ShareTable::Use *ShareTable::findUse(const std::string &pool, const std::string &team) const
{
    const auto known = m_pools.find(pool);
    if (known == m_pools.end()) {
        return nullptr;
    }
    const auto use = known->second.uses.find(team);
    return use == known->second.uses.end() ? nullptr : &use->second;
}

double ShareTable::share(const std::string &pool, const std::string &team, const Amounts &more) const
{
    const auto known = m_pools.find(pool);
    if (known == m_pools.end()) {
        return 0.0;
    }
    Amounts amounts = more;
    const Use *use = findUse(pool, team);
    for (std::size_t index = 0; use != nullptr && index < amounts.size(); ++index) {
        amounts[index] += use->amounts[index];
    }
    return dominantShare(known->second.capacity, amounts);
}

double ShareTable::debt(const std::string &pool, const std::string &team) const
{
    const Use *use = findUse(pool, team);
    return use == nullptr ? 0.0 : use->debt;
}

double ShareTable::entitledShare(const std::string &pool, const std::string &team) const
{
    const Use *use = findUse(pool, team);
    return use == nullptr ? 0.0 : use->entitledShare;
}

std::map<std::string, double> ShareTable::shares(const std::string &pool) const
{
    std::map<std::string, double> found;
    const auto known = m_pools.find(pool);
    if (known != m_pools.end()) {
        for (const std::pair<const std::string, Use> &use : known->second.uses) {
            found[use.first] = dominantShare(known->second.capacity, use.second.amounts);
        }
    }
    return found;
}

void ShareTable::updateDebts(const std::string &pool, const std::map<std::string, double> &entitled, core::TimePoint now)
{
    Pool &state = m_pools[pool];
    const std::chrono::duration<double> elapsed = state.updated ? std::chrono::duration<double>{now - state.updatedAt} : std::chrono::duration<double>{0.0};
    state.updated = true;
    state.updatedAt = now;
    const double kept = std::exp(-std::max(0.0, elapsed.count()) / internal::debtTimeConstant.count());
    for (std::pair<const std::string, Use> &item : state.uses) {
        const auto portion = entitled.find(item.first);
        const double share = dominantShare(state.capacity, item.second.amounts);
        item.second.entitledShare = portion == entitled.end() ? share : portion->second;
        const double excess = std::max(0.0, share - item.second.entitledShare);
        item.second.debt = item.second.debt * kept + excess * (1.0 - kept);
    }
}

} // namespace oleanderwick::fairness

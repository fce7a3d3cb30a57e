#include "retry_budget.hpp"

#include <algorithm>

namespace oleanderwick::routing
{

std::uint32_t RetryBudget::available() const noexcept
{
    return m_balance / retryCost;
}

void RetryBudget::deposit() noexcept
{
    m_balance = std::min(m_balance + 1, maxBalance);
}

bool RetryBudget::withdraw() noexcept
{
    if (m_balance < retryCost) {
        return false;
    }
    m_balance -= retryCost;
    return true;
}

} // namespace oleanderwick::routing

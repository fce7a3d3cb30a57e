#include "memory_budget.hpp"

#include <utility>

namespace oleanderwick::http
{

MemoryBudget::Share::Share(std::shared_ptr<MemoryBudget> budget, bool mayUseReserve)
    : m_budget{std::move(budget)}
    , m_mayUseReserve{mayUseReserve}
{
}

MemoryBudget::Share::~Share()
{
    m_budget->m_usedBytes -= m_bytes;
}

bool MemoryBudget::Share::resize(std::size_t bytes)
{
    const std::size_t counted = bytes > minCountedBytes ? bytes : 0;
    if (counted > m_bytes) {
        const bool reserve = m_mayUseReserve || counted <= maxSmallBytes;
        const std::size_t limit = reserve ? m_budget->m_limitBytes : m_budget->m_limitBytes / 4 * 3;
        const std::size_t added = counted - m_bytes;
        if (m_budget->m_usedBytes.fetch_add(added) + added > limit) {
            m_budget->m_usedBytes -= added;
            return false;
        }
    } else {
        m_budget->m_usedBytes -= m_bytes - counted;
    }
    m_bytes = counted;
    return true;
}

MemoryBudget::MemoryBudget(std::size_t limitBytes) noexcept
    : m_limitBytes{limitBytes}
{
}

std::size_t MemoryBudget::usedBytes() const noexcept
{
    return m_usedBytes;
}

} // namespace oleanderwick::http

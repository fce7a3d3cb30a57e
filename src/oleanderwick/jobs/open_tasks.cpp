#include "open_tasks.hpp"

#include <algorithm>
#include <limits>

namespace oleanderwick::jobs
{

OpenTasks::OpenTasks(std::int64_t maxTasks) noexcept
    : m_maxTasks{maxTasks}
{
}

std::int64_t OpenTasks::roomFor(const std::string &team) const
{
    if (m_maxTasks == 0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    const auto own = m_byTeam.find(team);
    const std::int64_t ofTeam = m_maxTasks / 2 - (own == m_byTeam.end() ? 0 : own->second);
    return std::max<std::int64_t>(std::min(ofTeam, m_maxTasks - m_count), 0);
}

void OpenTasks::add(const std::string &team, std::int64_t tasks)
{
    if (tasks > 0) {
        m_count += tasks;
        m_byTeam[team] += tasks;
    }
}

void OpenTasks::remove(const std::string &team, std::int64_t tasks)
{
    const auto own = m_byTeam.find(team);
    if (own == m_byTeam.end()) {
        return;
    }
    m_count -= tasks;
    own->second -= tasks;
    if (own->second == 0) {
        m_byTeam.erase(own);
    }
}

std::int64_t OpenTasks::count() const noexcept
{
    return m_count;
}

} // namespace oleanderwick::jobs

#include "open_tasks.hpp"

namespace oleanderwick::jobs
{

OpenTasks::OpenTasks(std::int64_t maxTasks) noexcept
    : m_maxTasks{maxTasks}
{
}

bool OpenTasks::hasRoom(const std::string &team, std::int64_t tasks) const
{
    if (m_maxTasks == 0 || m_count == 0) {
        return true;
    }
    const auto own = m_byTeam.find(team);
    const bool isWithinHalf = own == m_byTeam.end() || own->second + tasks <= m_maxTasks / 2;
    return isWithinHalf && m_count + tasks <= m_maxTasks;
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

void OpenTasks::defer(const std::string &team, const std::string &job)
{
    m_deferred[team].push_back(job);
    ++m_deferredJobs;
}

void OpenTasks::openDeferred(const std::function<bool(const std::string &)> &open)
{
    bool hasOpened = true;
    while (hasOpened) {
        hasOpened = false;
        for (auto team = m_deferred.begin(); team != m_deferred.end();) {
            if (open(team->second.front())) {
                team->second.pop_front();
                --m_deferredJobs;
                hasOpened = true;
            }
            team = team->second.empty() ? m_deferred.erase(team) : std::next(team);
        }
    }
}

std::int64_t OpenTasks::count() const noexcept
{
    return m_count;
}

std::size_t OpenTasks::deferredJobs() const noexcept
{
    return m_deferredJobs;
}

} // namespace oleanderwick::jobs

#include "job_intake.hpp"

namespace oleanderwick::jobnode
{

void JobIntake::add(const std::string &id, const jobs::StoreItem &item)
{
    if (m_ids.insert(id).second) {
        m_items.emplace_back(id, item);
    }
}

std::vector<jobs::StoreItem> JobIntake::take(std::size_t maxJobs)
{
    std::vector<jobs::StoreItem> taken;
    while (!m_items.empty() && taken.size() < maxJobs) {
        m_ids.erase(m_items.front().first);
        taken.push_back(std::move(m_items.front().second));
        m_items.pop_front();
    }
    return taken;
}

bool JobIntake::contains(const std::string &id) const
{
    return m_ids.contains(id);
}

bool JobIntake::isEmpty() const noexcept
{
    return m_items.empty();
}

} // namespace oleanderwick::jobnode

#include "expected_keys.hpp"

#include <algorithm>

namespace oleanderwick::jobnode
{

ExpectedKeys::ExpectedKeys(const Policy &policy)
    : m_policy{policy}
    , m_grace{policy.grace}
{
}

bool ExpectedKeys::expect(const std::string &key)
{
    if (m_keys.contains(key)) {
        return true;
    }
    if (m_keys.size() >= m_policy.maxKeys) {
        return false;
    }
    Entry &entry = m_keys[key];
    entry.since = m_check;
    entry.absentDelay = m_policy.absentDelay;
    return true;
}

void ExpectedKeys::forget(const std::string &key)
{
    const auto found = m_keys.find(key);
    if (found != m_keys.end()) {
        m_reads -= found->second.reading ? 1 : 0;
        m_keys.erase(found);
    }
}

void ExpectedKeys::handleDelivery()
{
    m_deliveredAt = m_check;
}

void ExpectedKeys::handleOvertakenRead()
{
    m_grace = std::min<std::uint64_t>(m_grace * 2, m_policy.maxGrace);
    m_graceSince = m_check;
}

std::vector<std::string> ExpectedKeys::check()
{
    ++m_check;
    if (m_grace > m_policy.grace && m_check >= m_graceSince + m_policy.graceDecay) {
        m_grace = std::max<std::uint64_t>(m_grace / 2, m_policy.grace);
        m_graceSince = m_check;
    }
    std::vector<std::string> due;
    for (std::pair<const std::string, Entry> &item : m_keys) {
        Entry &entry = item.second;
        const bool isDue = m_check >= std::max(entry.since, m_deliveredAt) + m_grace && m_check >= entry.notBefore;
        if (isDue && !entry.reading && m_reads < m_policy.maxReads) {
            entry.reading = true;
            ++m_reads;
            due.push_back(item.first);
        }
    }
    return due;
}

void ExpectedKeys::handleRead(const std::string &key, FetchResult result)
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end() || !found->second.reading) {
        return;
    }
    Entry &entry = found->second;
    entry.reading = false;
    --m_reads;
    if (result == FetchResult::Failed && ++entry.failures < m_policy.maxFailures) {
        entry.notBefore = m_check + m_grace;
    } else if (result == FetchResult::Absent && entry.absentDelay > 0) {
        entry.notBefore = m_check + entry.absentDelay;
        entry.absentDelay = std::min(entry.absentDelay * 2, m_policy.maxAbsentDelay);
    } else {
        m_keys.erase(found);
    }
}

bool ExpectedKeys::empty() const noexcept
{
    return m_keys.empty();
}

bool ExpectedKeys::contains(const std::string &key) const
{
    return m_keys.contains(key);
}

std::vector<std::string> ExpectedKeys::keys() const
{
    std::vector<std::string> names;
    for (const std::pair<const std::string, Entry> &item : m_keys) {
        names.push_back(item.first);
    }
    return names;
}

} // namespace oleanderwick::jobnode

#include "snapshot.hpp"

#include <algorithm>

namespace oleanderwick::config
{

Snapshot::Snapshot(Record record)
    : m_record{std::move(record)}
{
    for (const std::pair<const core::TeamId, Team> &team : m_record.document.teams) {
        for (const std::pair<const core::KeyId, TeamKey> &key : team.second.keys) {
            m_keys.emplace(key.first, KeyOwner{team.first, key.second.hash});
        }
    }
}

Version Snapshot::version() const noexcept
{
    return m_record.version;
}

const Record &Snapshot::record() const noexcept
{
    return m_record;
}

const Document &Snapshot::document() const noexcept
{
    return m_record.document;
}

std::optional<core::TeamId> Snapshot::teamOf(const PresentedKey &key) const
{
    const auto owner = m_keys.find(key.id);
    if (owner == m_keys.end() || !matchesHash(key.secret, owner->second.hash)) {
        return std::nullopt;
    }
    return owner->second.team;
}

const Queue *Snapshot::queue(const core::QueueId &id) const
{
    const auto found = m_record.document.queues.find(id);
    return found == m_record.document.queues.end() ? nullptr : &found->second;
}

bool Snapshot::allows(const Queue &queue, const core::TeamId &team)
{
    return std::find(queue.teams.begin(), queue.teams.end(), team) != queue.teams.end();
}

} // namespace oleanderwick::config

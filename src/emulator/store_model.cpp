#include "store_model.hpp"

#include <algorithm>
#include <vector>

namespace oleanderwick::emulator
{

namespace internal
{

/** Items of one page, about as many as the platform returns. */
constexpr std::size_t pageSize = 500;

jobs::StoreReply makeReply(jobs::StoreOutcome outcome, std::int64_t revision)
{
    jobs::StoreReply answer;
    answer.outcome = outcome;
    answer.revision = revision;
    return answer;
}

} // namespace internal

void StoreModel::record(const std::string &key, const std::optional<std::string> &value)
{
    m_history.push_back(Event{m_revision, key, value});
}

jobs::StoreReply StoreModel::commit(const jobs::StoreChange &change)
{
    bool conditionsMet = true;
    jobs::StoreReply conflict = internal::makeReply(jobs::StoreOutcome::Conflict, m_revision);
    for (const jobs::StoreChange::Condition &condition : change.conditions) {
        const auto item = m_items.find(condition.key);
        const std::int64_t revision = item == m_items.end() ? 0 : item->second.revision;
        conditionsMet = conditionsMet && revision == condition.revision;
        if (item != m_items.end()) {
            conflict.items.push_back(jobs::StoreItem{condition.key, item->second.value, revision});
        }
    }
    if (!conditionsMet) {
        return conflict;
    }
    for (const jobs::StoreChange::Write &write : change.writes) {
        if (write.lease != 0 && !m_leases.contains(write.lease)) {
            return internal::makeReply(jobs::StoreOutcome::NotFound, m_revision);
        }
    }
    ++m_revision;
    for (const jobs::StoreChange::Write &write : change.writes) {
        m_items[write.key] = Item{write.value, m_revision, write.lease};
        record(write.key, write.value);
    }
    for (const std::string &key : change.removals) {
        if (m_items.erase(key) > 0) {
            record(key, std::nullopt);
        }
    }
    notifyWatches();
    return internal::makeReply(jobs::StoreOutcome::Done, m_revision);
}

jobs::StoreReply StoreModel::grant(core::Duration ttl, core::TimePoint now)
{
    m_leases[++m_lastLease] = Lease{ttl, now + ttl};
    jobs::StoreReply answer = internal::makeReply(jobs::StoreOutcome::Done, m_revision);
    answer.lease = m_lastLease;
    answer.ttl = ttl;
    return answer;
}

jobs::StoreReply StoreModel::renew(std::int64_t lease, core::TimePoint now)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return internal::makeReply(jobs::StoreOutcome::NotFound, m_revision);
    }
    found->second.expiresAt = now + found->second.ttl;
    return internal::makeReply(jobs::StoreOutcome::Done, m_revision);
}

void StoreModel::expire(core::TimePoint now)
{
    std::erase_if(m_leases, [now](const std::pair<const std::int64_t, Lease> &lease) {
        return lease.second.expiresAt <= now;
    });
    std::vector<std::string> lapsed;
    for (const std::pair<const std::string, Item> &item : m_items) {
        if (item.second.lease != 0 && !m_leases.contains(item.second.lease)) {
            lapsed.push_back(item.first);
        }
    }
    for (const std::string &key : lapsed) {
        m_items.erase(key);
        ++m_revision;
        record(key, std::nullopt);
    }
    if (!lapsed.empty()) {
        notifyWatches();
    }
}

void StoreModel::extendLeases(core::Duration span)
{
    for (std::pair<const std::int64_t, Lease> &lease : m_leases) {
        lease.second.expiresAt += span;
    }
}

void StoreModel::silenceWatches()
{
    m_watchesSilent = true;
}

bool StoreModel::areWatchesSilent() const noexcept
{
    return m_watchesSilent;
}

void StoreModel::compact()
{
    m_watchesSilent = false;
    m_history.clear();
    m_compactedRevision = m_revision;
    std::map<std::uint64_t, Watch> cut;
    std::swap(cut, m_watches);
    for (const std::pair<const std::uint64_t, Watch> &watch : cut) {
        watch.second.onChanges(internal::makeReply(jobs::StoreOutcome::Compacted, m_revision));
    }
}

std::optional<jobs::StoreReply> StoreModel::changesSince(const std::string &prefix, std::int64_t after) const
{
    if (after < m_compactedRevision) {
        return internal::makeReply(jobs::StoreOutcome::Compacted, m_revision);
    }
    jobs::StoreReply answer = internal::makeReply(jobs::StoreOutcome::Done, m_revision);
    const auto first = std::upper_bound(m_history.begin(), m_history.end(), after, [](std::int64_t revision, const Event &event) {
        return revision < event.revision;
    });
    for (auto event = first; event != m_history.end(); ++event) {
        if (!event->key.starts_with(prefix)) {
            continue;
        }
        if (event->value.has_value()) {
            answer.items.push_back(jobs::StoreItem{event->key, *event->value, event->revision});
        } else {
            answer.removed.push_back(event->key);
        }
    }
    if (answer.items.empty() && answer.removed.empty()) {
        return std::nullopt;
    }
    return answer;
}

void StoreModel::notifyWatches()
{
    if (m_watchesSilent) {
        return;
    }
    std::vector<std::pair<OnChanges, jobs::StoreReply>> due;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        std::optional<jobs::StoreReply> changes = changesSince(watch->second.prefix, watch->second.after);
        if (changes.has_value()) {
            due.emplace_back(std::move(watch->second.onChanges), *std::move(changes));
            watch = m_watches.erase(watch);
        } else {
            ++watch;
        }
    }
    for (const std::pair<OnChanges, jobs::StoreReply> &answer : due) {
        answer.first(answer.second);
    }
}

std::uint64_t StoreModel::watch(const std::string &prefix, std::int64_t after, OnChanges onChanges)
{
    const std::optional<jobs::StoreReply> changes = m_watchesSilent ? std::nullopt : changesSince(prefix, after);
    if (changes.has_value()) {
        onChanges(*changes);
        return 0;
    }
    m_watches[++m_lastWatch] = Watch{prefix, after, std::move(onChanges)};
    return m_lastWatch;
}

void StoreModel::cancelWatch(std::uint64_t watch)
{
    const auto found = m_watches.find(watch);
    if (found != m_watches.end()) {
        const OnChanges onChanges = std::move(found->second.onChanges);
        // The revision of a reply without changes says that nothing was written up to it.
        const std::int64_t revision = m_watchesSilent ? found->second.after : m_revision;
        m_watches.erase(found);
        onChanges(internal::makeReply(jobs::StoreOutcome::Done, revision));
    }
}

jobs::StoreReply StoreModel::read(const std::string &key) const
{
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return internal::makeReply(jobs::StoreOutcome::NotFound, m_revision);
    }
    jobs::StoreReply answer = internal::makeReply(jobs::StoreOutcome::Done, m_revision);
    answer.items.push_back(jobs::StoreItem{key, found->second.value, found->second.revision});
    return answer;
}

jobs::StoreReply StoreModel::list(const std::string &prefix, const std::string &after) const
{
    jobs::StoreReply answer = internal::makeReply(jobs::StoreOutcome::Done, m_revision);
    for (auto item = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); item != m_items.end(); ++item) {
        if (!item->first.starts_with(prefix)) {
            break;
        }
        if (answer.items.size() == internal::pageSize) {
            answer.more = true;
            break;
        }
        answer.items.push_back(jobs::StoreItem{item->first, item->second.value, item->second.revision});
    }
    return answer;
}

} // namespace oleanderwick::emulator

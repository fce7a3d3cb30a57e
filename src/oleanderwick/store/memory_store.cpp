#include "memory_store.hpp"

#include <chrono>

namespace oleanderwick::store
{

namespace internal
{

constexpr core::Duration watchWakeInterval = std::chrono::milliseconds{500};

} // namespace internal

MemoryStore::MemoryStore(const core::Clock &clock)
    : m_clock{clock}
{
}

void MemoryStore::removeLease(LeaseId lease)
{
    m_leases.erase(lease);
    std::erase_if(m_entries, [lease](const std::pair<const std::string, Entry> &entry) {
        return entry.second.lease == lease;
    });
    ++m_revision;
    m_changed.notify_all();
}

void MemoryStore::removeExpiredLeases()
{
    const core::TimePoint now = m_clock.now();
    std::vector<LeaseId> expired;
    for (const std::pair<const LeaseId, Lease> &lease : m_leases) {
        if (lease.second.expiresAt <= now) {
            expired.push_back(lease.first);
        }
    }
    for (const LeaseId lease : expired) {
        removeLease(lease);
    }
}

absl::StatusOr<std::optional<KeyValue>> MemoryStore::read(const std::string &key)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    removeExpiredLeases();
    const auto entry = m_entries.find(key);
    if (entry == m_entries.end()) {
        return std::optional<KeyValue>{};
    }
    return std::optional{KeyValue{key, entry->second.value, entry->second.revision}};
}

absl::StatusOr<Revision> MemoryStore::revision(const std::string &key)
{
    const absl::StatusOr<std::optional<KeyValue>> found = read(key);
    return found.ok() && found->has_value() ? (*found)->revision : 0;
}

absl::StatusOr<std::vector<std::string>> MemoryStore::keys(const std::string &prefix)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    removeExpiredLeases();
    std::vector<std::string> keys;
    for (auto entry = m_entries.lower_bound(prefix); entry != m_entries.end() && entry->first.starts_with(prefix); ++entry) {
        keys.push_back(entry->first);
    }
    return keys;
}

absl::StatusOr<SwapResult> MemoryStore::compareAndSwap(const std::string &key, Revision expected, const std::string &value, LeaseId lease)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    removeExpiredLeases();
    if (lease != 0 && !m_leases.contains(lease)) {
        return absl::NotFoundError("the lease has expired");
    }
    const auto entry = m_entries.find(key);
    const Revision revision = entry == m_entries.end() ? 0 : entry->second.revision;
    if (revision != expected) {
        SwapResult result;
        if (revision != 0) {
            result.current = KeyValue{key, entry->second.value, revision};
        }
        return result;
    }
    m_entries[key] = Entry{value, ++m_revision, lease};
    m_changed.notify_all();
    return SwapResult{true, m_revision, std::nullopt};
}

absl::StatusOr<LeaseId> MemoryStore::grantLease(core::Duration ttl)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    const LeaseId id = ++m_lastLease;
    m_leases.emplace(id, Lease{ttl, m_clock.now() + ttl});
    return id;
}

absl::Status MemoryStore::keepAlive(LeaseId lease)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    removeExpiredLeases();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return absl::NotFoundError("the lease has expired");
    }
    found->second.expiresAt = m_clock.now() + found->second.ttl;
    return absl::OkStatus();
}

absl::Status MemoryStore::revokeLease(LeaseId lease)
{
    const std::lock_guard<std::mutex> lock{m_mutex};
    removeLease(lease);
    return absl::OkStatus();
}

absl::Status MemoryStore::watch(const std::string &key, Revision after, const OnChange &onChange)
{
    std::unique_lock<std::mutex> lock{m_mutex};
    Revision lastRevision = after;
    for (;;) {
        const auto entry = m_entries.find(key);
        std::optional<KeyValue> change;
        if (entry != m_entries.end() && entry->second.revision > lastRevision) {
            lastRevision = entry->second.revision;
            change = KeyValue{key, entry->second.value, lastRevision};
        }
        lock.unlock();
        if (!onChange(change)) {
            return absl::OkStatus();
        }
        lock.lock();
        m_changed.wait_for(lock, internal::watchWakeInterval);
    }
}

} // namespace oleanderwick::store

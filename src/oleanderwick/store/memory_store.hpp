#pragma once

#include <condition_variable>
#include <map>
#include <mutex>

#include "store.hpp"

namespace oleanderwick::store
{

/** @brief Thread-safe in-memory store, whose leases expire by a given clock. */
class MemoryStore final : public Store
{
public:
    /**
     * @brief Constructs an empty store.
     * @param clock Clock for leases; has to outlive the store.
     */
    explicit MemoryStore(const core::Clock &clock);

    [[nodiscard]] absl::StatusOr<std::optional<KeyValue>> read(const std::string &key) override;
    [[nodiscard]] absl::StatusOr<Revision> revision(const std::string &key) override;
    [[nodiscard]] absl::StatusOr<std::vector<std::string>> keys(const std::string &prefix) override;
    [[nodiscard]] absl::StatusOr<SwapResult> compareAndSwap(const std::string &key, Revision expected, const std::string &value, LeaseId lease) override;
    [[nodiscard]] absl::StatusOr<LeaseId> grantLease(core::Duration ttl) override;
    [[nodiscard]] absl::Status keepAlive(LeaseId lease) override;
    [[nodiscard]] absl::Status revokeLease(LeaseId lease) override;
    [[nodiscard]] absl::Status watch(const std::string &key, Revision after, const OnChange &onChange) override;

private:
    struct Entry {
        std::string value;
        Revision revision{};
        LeaseId lease{};
    };
    struct Lease {
        core::Duration ttl{};
        core::TimePoint expiresAt;
    };

    void removeExpiredLeases();
    void removeLease(LeaseId lease);

    const core::Clock &m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Revision m_revision{0};
    LeaseId m_lastLease{0};
    std::map<std::string, Entry> m_entries;
    std::map<LeaseId, Lease> m_leases;
};

} // namespace oleanderwick::store

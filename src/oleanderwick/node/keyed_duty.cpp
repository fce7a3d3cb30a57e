#include "keyed_duty.hpp"

#include <chrono>

namespace oleanderwick::node
{

namespace internal
{

/** Leases are replaced by new ones after `leaseRenewPeriod`, so a key is kept for at least `leaseDuration - leaseRenewPeriod`. */
constexpr core::Duration leaseDuration = std::chrono::hours{26};
constexpr core::Duration leaseRenewPeriod = std::chrono::hours{1};
constexpr int maxAttempts = 3;

} // namespace internal

KeyedStore::KeyedStore(store::Store &store, StoreKeys keys)
    : m_store{store}
    , m_keys{std::move(keys)}
{
}

store::LeaseId KeyedStore::lease()
{
    const core::TimePoint now = core::BootClock::now();
    if (m_lease == 0 || now - m_leaseGrantedAt >= internal::leaseRenewPeriod) {
        const absl::StatusOr<store::LeaseId> granted = m_store.grantLease(internal::leaseDuration);
        m_lease = granted.ok() ? *granted : 0;
        m_leaseGrantedAt = now;
    }
    return m_lease;
}

ClaimResult KeyedStore::evaluateRecord(const KeyedClaim &claim, const KeyedRecord &record, store::Revision revision)
{
    using Kind = ClaimResult::Kind;
    if (record.owner == claim.owner && !record.answer) {
        m_claimed[claim.name] = revision;
        return ClaimResult{Kind::Claimed, {}};
    }
    if (record.fingerprint != claim.fingerprint) {
        return ClaimResult{Kind::Different, {}};
    }
    return record.answer ? ClaimResult{Kind::Answered, *record.answer} : ClaimResult{Kind::Running, {}};
}

ClaimResult KeyedStore::claim(const KeyedClaim &claim)
{
    const store::LeaseId leaseId = lease();
    const std::string value = toText(KeyedRecord{claim.owner, claim.fingerprint, std::nullopt});
    store::Revision expected = 0;
    for (int attempt = 0; attempt < internal::maxAttempts && leaseId != 0; ++attempt) {
        const absl::StatusOr<store::SwapResult> swapped = m_store.compareAndSwap(m_keys.keyed(claim.name), expected, value, leaseId);
        if (!swapped.ok()) {
            // After a lost reply, the same swap either finds this request's own record or prevents the lost swap from taking effect.
            m_lease = swapped.status().code() == absl::StatusCode::kNotFound ? 0 : m_lease;
            continue;
        }
        if (swapped->swapped) {
            m_claimed[claim.name] = swapped->revision;
            return ClaimResult{ClaimResult::Kind::Claimed, {}};
        }
        const absl::StatusOr<KeyedRecord> record = swapped->current ? keyedFromText(swapped->current->value) : absl::StatusOr<KeyedRecord>{KeyedRecord{}};
        if (!record.ok()) {
            break;
        }
        if (!record->owner.empty()) {
            return evaluateRecord(claim, *record, swapped->current->revision);
        }
        expected = swapped->current ? swapped->current->revision : 0;
    }
    return ClaimResult{ClaimResult::Kind::NotAvailable, {}};
}

void KeyedStore::finish(const KeyedFinish &finish)
{
    const auto claimed = m_claimed.find(finish.name);
    if (claimed == m_claimed.end()) {
        return;
    }
    // A record without an owner marks a released key, which the next claim takes over.
    const KeyedRecord record{finish.answer ? finish.owner : "", finish.fingerprint, finish.answer};
    for (int attempt = 0; attempt < internal::maxAttempts; ++attempt) {
        const absl::StatusOr<store::SwapResult> swapped = m_store.compareAndSwap(m_keys.keyed(finish.name), claimed->second, toText(record), m_lease);
        if (swapped.ok()) {
            break;
        }
    }
    m_claimed.erase(claimed);
}

KeyedDuty::KeyedDuty(std::shared_ptr<store::Store> store, const StoreKeys &keys, KeyedRing &tasks)
    : m_store{std::move(store)}
    , m_keyed{*m_store, keys}
    , m_tasks{tasks}
    , m_thread{[this] {
        run();
    }}
{
}

void KeyedDuty::run()
{
    for (;;) {
        const KeyedTask task = m_tasks.pop();
        if (std::holds_alternative<Quit>(task)) {
            return;
        }
        if (const KeyedClaim *claim = std::get_if<KeyedClaim>(&task)) {
            claim->done(m_keyed.claim(*claim));
        } else if (const KeyedFinish *finish = std::get_if<KeyedFinish>(&task)) {
            m_keyed.finish(*finish);
            finish->done();
        }
    }
}

} // namespace oleanderwick::node

#include "keyed_duty.hpp"

#include <chrono>

namespace oleanderwick::node
{

namespace internal
{

/** Leases are replaced by new ones after `leaseReplacePeriod`, so a key is kept for at least `leaseDuration - leaseReplacePeriod`. */
constexpr core::Duration leaseDuration = std::chrono::hours{26};
constexpr core::Duration leaseReplacePeriod = std::chrono::hours{1};
constexpr int maxAttempts = 3;

} // namespace internal

IdempotencyStore::IdempotencyStore(store::Store &store, StoreKeys keys)
    : m_store{store}
    , m_keys{std::move(keys)}
{
}

store::LeaseId IdempotencyStore::lease()
{
    const core::TimePoint now = core::BootClock::now();
    if (m_lease == 0 || now - m_leaseGrantedAt >= internal::leaseReplacePeriod) {
        const absl::StatusOr<store::LeaseId> granted = m_store.grantLease(internal::leaseDuration);
        m_lease = granted.ok() ? *granted : 0;
        m_leaseGrantedAt = now;
    }
    return m_lease;
}

ClaimResult IdempotencyStore::evaluateRecord(const IdempotencyClaim &claim, const IdempotencyRecord &record, store::Revision revision)
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

ClaimResult IdempotencyStore::claim(const IdempotencyClaim &claim)
{
    const store::LeaseId leaseId = lease();
    const std::string value = toText(IdempotencyRecord{claim.owner, claim.fingerprint, std::nullopt});
    store::Revision expected = 0;
    for (int attempt = 0; attempt < internal::maxAttempts && leaseId != 0; ++attempt) {
        const absl::StatusOr<store::SwapResult> swapped = m_store.compareAndSwap(m_keys.idempotency(claim.name), expected, value, leaseId);
        if (!swapped.ok()) {
            // After a lost reply, the same swap either finds this request's own record or prevents the lost swap from taking effect.
            m_lease = swapped.status().code() == absl::StatusCode::kNotFound ? 0 : m_lease;
            continue;
        }
        if (swapped->swapped) {
            m_claimed[claim.name] = swapped->revision;
            return ClaimResult{ClaimResult::Kind::Claimed, {}};
        }
        const absl::StatusOr<IdempotencyRecord> record =
            swapped->current ? idempotencyRecordFromText(swapped->current->value) : absl::StatusOr<IdempotencyRecord>{IdempotencyRecord{}};
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

void IdempotencyStore::finish(const IdempotencyFinish &finish)
{
    const auto claimed = m_claimed.find(finish.name);
    if (claimed == m_claimed.end()) {
        return;
    }
    // A record without an owner marks a released key, which the next claim takes over.
    const IdempotencyRecord record{finish.answer ? finish.owner : "", finish.fingerprint, finish.answer};
    for (int attempt = 0; attempt < internal::maxAttempts; ++attempt) {
        const absl::StatusOr<store::SwapResult> swapped = m_store.compareAndSwap(m_keys.idempotency(finish.name), claimed->second, toText(record), m_lease);
        if (swapped.ok()) {
            break;
        }
    }
    m_claimed.erase(claimed);
}

IdempotencyDuty::IdempotencyDuty(std::shared_ptr<store::Store> store, const StoreKeys &keys, IdempotencyRing &tasks)
    : m_store{std::move(store)}
    , m_idempotencyStore{*m_store, keys}
    , m_tasks{tasks}
    , m_thread{[this] {
        run();
    }}
{
}

void IdempotencyDuty::run()
{
    for (;;) {
        const IdempotencyTask task = m_tasks.pop();
        if (std::holds_alternative<Quit>(task)) {
            return;
        }
        if (const IdempotencyClaim *claim = std::get_if<IdempotencyClaim>(&task)) {
            claim->done(m_idempotencyStore.claim(*claim));
        } else if (const IdempotencyFinish *finish = std::get_if<IdempotencyFinish>(&task)) {
            m_idempotencyStore.finish(*finish);
            finish->done();
        }
    }
}

} // namespace oleanderwick::node

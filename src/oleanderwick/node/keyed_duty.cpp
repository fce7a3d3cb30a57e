#include "keyed_duty.hpp"

#include <chrono>

namespace oleanderwick::node
{

namespace internal
{

/** A key is kept for at least the difference of the two. */
constexpr core::Duration leaseSpan = std::chrono::hours{26};
constexpr core::Duration leaseUse = std::chrono::hours{1};
constexpr int maxTries = 3;

} // namespace internal

KeyedStore::KeyedStore(store::Store &store, StoreKeys keys)
    : m_store{store}
    , m_keys{std::move(keys)}
{
}

store::LeaseId KeyedStore::lease()
{
    const core::TimePoint now = core::BootClock::now();
    if (m_lease == 0 || now - m_leaseMade >= internal::leaseUse) {
        const absl::StatusOr<store::LeaseId> made = m_store.grantLease(internal::leaseSpan);
        m_lease = made.ok() ? *made : 0;
        m_leaseMade = now;
    }
    return m_lease;
}

ClaimResult KeyedStore::resultOf(const KeyedClaim &claim, const KeyedRecord &record, store::Revision revision)
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
    const store::LeaseId bound = lease();
    const std::string value = toText(KeyedRecord{claim.owner, claim.fingerprint, std::nullopt});
    store::Revision expected = 0;
    for (int attempt = 0; attempt < internal::maxTries && bound != 0; ++attempt) {
        const absl::StatusOr<store::SwapResult> swapped = m_store.compareAndSwap(m_keys.keyed(claim.name), expected, value, bound);
        if (!swapped.ok()) {
            // After a lost answer the same swap either finds its own mark or keeps the lost one from landing.
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
            return resultOf(claim, *record, swapped->current->revision);
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
    // A record without an owner is a key that was let go: the next claim takes it.
    const KeyedRecord record{finish.answer ? finish.owner : "", finish.fingerprint, finish.answer};
    for (int attempt = 0; attempt < internal::maxTries; ++attempt) {
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

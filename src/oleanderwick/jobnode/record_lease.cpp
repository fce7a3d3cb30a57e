#include "refusal_lease.hpp"

#include <utility>

namespace oleanderwick::jobnode
{

namespace internal
{

/** Sum of the time for which a record lasts at least, 60 s, and the time for which a lease is used for new records. */
constexpr core::Duration refusalLeaseTtl = std::chrono::seconds{75};
constexpr core::Duration refusalLeaseUse = std::chrono::seconds{15};
/** A write takes effect at most about 6 s late; twice this for attempts that were sent shortly before the refusal, and a margin for clocks. */
constexpr core::Duration minRecordLife = std::chrono::seconds{15};

} // namespace internal

RefusalLease::RefusalLease(const core::Executor &executor, jobs::CoordinationStore &store)
    : m_executor{executor}
    , m_store{store}
{
}

void RefusalLease::obtain(OnGrant onGrant)
{
    const core::TimePoint now = m_executor.now();
    if (m_grant.has_value() && now < m_replaceAt && outlivesDelayedWrites(*m_grant, now)) {
        onGrant(m_grant);
        return;
    }
    m_waiting.push_back(std::move(onGrant));
    if (m_waiting.size() > 1) {
        return;
    }
    m_store.grant(internal::refusalLeaseTtl, [this, now](const jobs::StoreReply &reply) {
        handleReply(reply, now);
    });
}

void RefusalLease::handleReply(const jobs::StoreReply &reply, core::TimePoint sentAt)
{
    m_grant.reset();
    const bool isGranted = reply.outcome == jobs::StoreOutcome::Done && reply.lease != 0;
    if (isGranted) {
        m_grant = Grant{reply.lease, sentAt + reply.ttl};
        m_replaceAt = sentAt + internal::refusalLeaseUse;
    }
    const std::optional<Grant> grant = m_grant;
    const std::vector<OnGrant> waiting = std::exchange(m_waiting, {});
    for (const OnGrant &onGrant : waiting) {
        onGrant(grant);
    }
}

void RefusalLease::discard(std::int64_t lease)
{
    if (m_grant.has_value() && m_grant->lease == lease) {
        m_grant.reset();
    }
}

bool RefusalLease::outlivesDelayedWrites(const Grant &grant, core::TimePoint now) noexcept
{
    return grant.validUntil - now >= internal::minRecordLife;
}

} // namespace oleanderwick::jobnode

#include "record_lease.hpp"

#include <utility>

namespace oleanderwick::jobnode
{

RecordLease::RecordLease(const core::Executor &executor, jobs::CoordinationStore &store, const Lifetime &lifetime)
    : m_executor{executor}
    , m_store{store}
    , m_lifetime{lifetime}
{
}

void RecordLease::obtain(OnGrant onGrant)
{
    const core::TimePoint now = m_executor.now();
    if (m_grant.has_value() && now < m_replaceAt && lastsLongEnough(*m_grant, now)) {
        onGrant(m_grant);
        return;
    }
    m_waiting.push_back(std::move(onGrant));
    if (m_waiting.size() > 1) {
        return;
    }
    m_store.grant(m_lifetime.record + m_lifetime.use, [this, now](const jobs::StoreReply &reply) {
        handleReply(reply, now);
    });
}

void RecordLease::handleReply(const jobs::StoreReply &reply, core::TimePoint sentAt)
{
    m_grant.reset();
    const bool isGranted = reply.outcome == jobs::StoreOutcome::Done && reply.lease != 0;
    if (isGranted) {
        m_grant = Grant{reply.lease, sentAt + reply.ttl};
        m_replaceAt = sentAt + m_lifetime.use;
    }
    const std::optional<Grant> grant = m_grant;
    const std::vector<OnGrant> waiting = std::exchange(m_waiting, {});
    for (const OnGrant &onGrant : waiting) {
        onGrant(grant);
    }
}

void RecordLease::discard(std::int64_t lease)
{
    if (m_grant.has_value() && m_grant->lease == lease) {
        m_grant.reset();
    }
}

bool RecordLease::lastsLongEnough(const Grant &grant, core::TimePoint now) const noexcept
{
    return grant.validUntil - now >= m_lifetime.minimum;
}

} // namespace oleanderwick::jobnode

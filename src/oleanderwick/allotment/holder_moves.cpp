// Store calls of the permit holder: claims, transfers and releases, and the replies to them.

#include "holder.hpp"

#include <algorithm>

namespace oleanderwick::allotment
{

LedgerCalls PermitHolder::step()
{
    LedgerCalls step;
    for (const Group &group : m_reservedGroups) {
        updateReserved(group, m_groups.at(group));
    }
    bool settled = true;
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        const Shard &shard = m_shards[index];
        settled = settled && shard.loaded && !shard.needsRead && !shard.callInFlight;
        if (!shard.callInFlight) {
            planShard(index, step);
        }
    }
    // Once all shards are up to date and need no write, this node has no unused permit above a limit left.
    m_mayExceedLimits = m_mayExceedLimits && !(settled && step.writes.empty());
    return step;
}

bool PermitHolder::mayNeedWrite(const Shard &shard) const
{
    return shard.unresolved || m_mayExceedLimits || m_releasingUnused || !m_shortGroups.empty() || !m_reservedGroups.empty() || !m_departed.empty();
}

void PermitHolder::planShard(std::size_t index, LedgerCalls &step)
{
    Shard &shard = m_shards[index];
    const bool behind = shard.newestSequence > shard.stored.ledger.sequence();
    if (!shard.loaded || shard.needsRead || behind) {
        shard.callInFlight = true;
        step.reads.push_back(LedgerRead{index});
        return;
    }
    if (!mayNeedWrite(shard)) {
        return;
    }
    Ledger next = shard.stored.ledger;
    removeDeparted(next);
    releaseExcess(next, index);
    if (!m_releasingUnused) {
        claim(next, index);
    }
    transferToPeers(next, index);
    if (next == shard.stored.ledger && !shard.unresolved) {
        return;
    }
    next.stamp(m_version);
    shard.pendingDecrease.clear();
    const auto account = shard.stored.ledger.accounts().find(m_self);
    if (account != shard.stored.ledger.accounts().end()) {
        for (const std::pair<const LimitId, std::uint32_t> &entry : account->second) {
            const std::uint32_t after = next.held(m_self, entry.first);
            if (after < entry.second) {
                shard.pendingDecrease.emplace(entry.first, entry.second - after);
            }
        }
    }
    shard.callInFlight = true;
    step.writes.push_back(LedgerWrite{index, shard.stored.revision, std::move(next)});
}

void PermitHolder::removeDeparted(Ledger &ledger) const
{
    for (const core::NodeId &node : m_departed) {
        ledger.removeNode(node);
    }
}

std::uint32_t PermitHolder::unusedPermits(const Ledger &ledger, const LimitId &limit) const
{
    const std::uint32_t own = std::min(ledger.held(m_self, limit), held(limit));
    const std::uint32_t inUse = running(limit);
    const Shard &shard = m_shards[shardOf(limit)];
    const auto unresolved = shard.unresolvedDecrease.find(limit);
    const std::uint32_t blocked = unresolved == shard.unresolvedDecrease.end() ? 0 : unresolved->second;
    return own > inUse + blocked ? own - inUse - blocked : 0;
}

void PermitHolder::releaseExcess(Ledger &ledger, std::size_t index) const
{
    const auto account = ledger.accounts().find(m_self);
    if (account == ledger.accounts().end()) {
        return;
    }
    const Account permits = account->second;
    for (const std::pair<const LimitId, std::uint32_t> &entry : permits) {
        if (shardOf(entry.first) != index) {
            continue;
        }
        const std::uint32_t total = ledger.total(entry.first);
        const std::uint32_t capacity = capacityOf(entry.first);
        const std::uint32_t excess = m_releasingUnused ? entry.second : (total > capacity ? total - capacity : 0);
        ledger.release(m_self, entry.first, std::min(excess, unusedPermits(ledger, entry.first)));
    }
}

void PermitHolder::claim(Ledger &ledger, std::size_t index) const
{
    if (ledger.version() > m_version) {
        return;
    }
    for (const Group &group : m_shortGroups) {
        const GroupState &state = m_groups.at(group);
        std::uint32_t left = shardPart(state, index, missing(group, state));
        const std::uint32_t evenCount = shardLimitCount(state, index) == 0 ? 0 : left / shardLimitCount(state, index) + 1;
        // The first round spreads the claim over the limits, the second claims any permits that are still free.
        for (const std::uint32_t part : {evenCount, left}) {
            for (const LimitId &limit : state.limits) {
                if (shardOf(limit) == index) {
                    left -= ledger.claim(m_self, limit, std::min(part, left), capacityOf(limit));
                }
            }
        }
    }
}

std::uint32_t PermitHolder::shardLimitCount(const GroupState &group, std::size_t index)
{
    return static_cast<std::uint32_t>(std::count_if(group.limits.begin(), group.limits.end(), [index](const LimitId &limit) {
        return shardOf(limit) == index;
    }));
}

std::uint32_t PermitHolder::shardPart(const GroupState &group, std::size_t index, std::uint32_t count)
{
    const std::uint64_t limits = group.limits.size();
    return limits == 0 ? 0 : static_cast<std::uint32_t>((std::uint64_t{count} * shardLimitCount(group, index) + limits - 1) / limits);
}

void PermitHolder::transferToPeers(Ledger &ledger, std::size_t index) const
{
    for (const std::pair<const core::NodeId, std::vector<PermitRequest>> &peer : m_peerRequests) {
        for (const PermitRequest &request : peer.second) {
            transferTo(ledger, index, peer.first, request);
        }
    }
}

void PermitHolder::transferTo(Ledger &ledger, std::size_t index, const core::NodeId &peer, const PermitRequest &request) const
{
    const auto found = m_groups.find(request.group);
    if (found == m_groups.end() || found->second.reservedForPeers == 0) {
        return;
    }
    const GroupState &group = found->second;
    const std::uint32_t requestedTotal = std::max<std::uint32_t>(1, requestedByPeers(request.group));
    // Each requesting peer receives permits in proportion to what it still lacks.
    const std::uint64_t part = (std::uint64_t{group.reservedForPeers} * unmetRequest(peer, request) + requestedTotal - 1) / requestedTotal;
    std::uint32_t remaining = shardPart(group, index, static_cast<std::uint32_t>(part));
    for (const LimitId &limit : group.limits) {
        if (remaining == 0) {
            return;
        }
        if (shardOf(limit) != index) {
            continue;
        }
        const std::uint32_t count = std::min(remaining, unusedPermits(ledger, limit));
        ledger.move(m_self, peer, limit, count);
        remaining -= count;
    }
}

void PermitHolder::applyStored(Shard &shard, const StoredLedger &stored)
{
    // A delayed reply with an older revision must not replace a newer state.
    if (shard.loaded && stored.revision < shard.stored.revision) {
        return;
    }
    shard.loaded = true;
    shard.needsRead = false;
    shard.stored = stored;
    shard.newestSequence = std::max(shard.newestSequence, stored.ledger.sequence());
    if (shard.unresolved && stored.revision > shard.unresolvedRevision) {
        shard.unresolved = false;
        shard.unresolvedDecrease.clear();
    }
}

void PermitHolder::onRead(std::size_t shardIndex, const std::optional<StoredLedger> &stored)
{
    Shard &shard = m_shards[shardIndex];
    shard.callInFlight = false;
    if (stored) {
        applyStored(shard, *stored);
    }
}

void PermitHolder::onWritten(std::size_t shardIndex, WriteOutcome outcome, const std::optional<StoredLedger> &current)
{
    Shard &shard = m_shards[shardIndex];
    shard.callInFlight = false;
    const Account pendingDecrease = std::move(shard.pendingDecrease);
    shard.pendingDecrease.clear();
    if (outcome == WriteOutcome::Unknown) {
        shard.needsRead = true;
        shard.unresolved = true;
        shard.unresolvedRevision = shard.stored.revision;
        for (const std::pair<const LimitId, std::uint32_t> &entry : pendingDecrease) {
            shard.unresolvedDecrease[entry.first] = std::max(shard.unresolvedDecrease[entry.first], entry.second);
        }
        return;
    }
    if (current) {
        applyStored(shard, *current);
    } else if (outcome != WriteOutcome::NotSent) {
        shard.needsRead = true;
    }
}

} // namespace oleanderwick::allotment

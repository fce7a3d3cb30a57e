// Store calls of the permit holder: claims, transfers and releases, and the replies to them.

#include "permit_holder.hpp"

#include <algorithm>

namespace oleanderwick::allotment
{

LedgerCalls PermitHolder::step()
{
    LedgerCalls step;
    for (const Group &group : m_yielding) {
        updateYield(group, m_groups.at(group));
    }
    bool settled = true;
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        const Shard &shard = m_shards[index];
        settled = settled && shard.known && !shard.stale && !shard.busy;
        if (!shard.busy) {
            planShard(index, step);
        }
    }
    // Once all shards are up to date and need no write, this node has no unused permit above a limit left.
    m_trimming = m_trimming && !(settled && step.writes.empty());
    return step;
}

bool PermitHolder::hasWork(const Shard &shard) const
{
    return shard.fenced || m_trimming || m_surrendering || !m_short.empty() || !m_yielding.empty() || !m_departed.empty();
}

void PermitHolder::planShard(std::size_t index, LedgerCalls &step)
{
    Shard &shard = m_shards[index];
    const bool behind = shard.heard > shard.stored.ledger.sequence();
    if (!shard.known || shard.stale || behind) {
        shard.busy = true;
        step.reads.push_back(LedgerRead{index});
        return;
    }
    if (!hasWork(shard)) {
        return;
    }
    Ledger next = shard.stored.ledger;
    dropDeparted(next);
    trim(next, index);
    if (!m_surrendering) {
        claim(next, index);
    }
    give(next, index);
    if (next == shard.stored.ledger && !shard.fenced) {
        return;
    }
    next.stamp(m_version);
    shard.giving.clear();
    const auto account = shard.stored.ledger.accounts().find(m_self);
    if (account != shard.stored.ledger.accounts().end()) {
        for (const std::pair<const LimitId, std::uint32_t> &entry : account->second) {
            const std::uint32_t after = next.held(m_self, entry.first);
            if (after < entry.second) {
                shard.giving.emplace(entry.first, entry.second - after);
            }
        }
    }
    shard.busy = true;
    step.writes.push_back(LedgerWrite{index, shard.stored.revision, std::move(next)});
}

void PermitHolder::dropDeparted(Ledger &ledger) const
{
    for (const core::NodeId &node : m_departed) {
        ledger.drop(node);
    }
}

std::uint32_t PermitHolder::spare(const Ledger &ledger, const LimitId &unit) const
{
    const std::uint32_t own = std::min(ledger.held(m_self, unit), held(unit));
    const std::uint32_t used = running(unit);
    const Shard &shard = m_shards[shardOf(unit)];
    const auto fenced = shard.fencedGiving.find(unit);
    const std::uint32_t away = fenced == shard.fencedGiving.end() ? 0 : fenced->second;
    return own > used + away ? own - used - away : 0;
}

void PermitHolder::trim(Ledger &ledger, std::size_t index) const
{
    const auto account = ledger.accounts().find(m_self);
    if (account == ledger.accounts().end()) {
        return;
    }
    const Account rights = account->second;
    for (const std::pair<const LimitId, std::uint32_t> &entry : rights) {
        if (shardOf(entry.first) != index) {
            continue;
        }
        const std::uint32_t total = ledger.total(entry.first);
        const std::uint32_t bound = capacity(entry.first);
        const std::uint32_t over = m_surrendering ? entry.second : (total > bound ? total - bound : 0);
        ledger.release(m_self, entry.first, std::min(over, spare(ledger, entry.first)));
    }
}

void PermitHolder::claim(Ledger &ledger, std::size_t index) const
{
    if (ledger.version() > m_version) {
        return;
    }
    for (const Group &group : m_short) {
        const GroupState &state = m_groups.at(group);
        std::uint32_t left = shardPart(state, index, missing(group, state));
        const std::uint32_t even = shardUnits(state, index) == 0 ? 0 : left / shardUnits(state, index) + 1;
        // The first round spreads the claim over the resources, the second claims any permits that are still free.
        for (const std::uint32_t part : {even, left}) {
            for (const LimitId &unit : state.units) {
                if (shardOf(unit) == index) {
                    left -= ledger.claim(m_self, unit, std::min(part, left), capacity(unit));
                }
            }
        }
    }
}

std::uint32_t PermitHolder::shardUnits(const GroupState &group, std::size_t index)
{
    return static_cast<std::uint32_t>(std::count_if(group.units.begin(), group.units.end(), [index](const LimitId &unit) {
        return shardOf(unit) == index;
    }));
}

std::uint32_t PermitHolder::shardPart(const GroupState &group, std::size_t index, std::uint32_t count)
{
    const std::uint64_t units = group.units.size();
    return units == 0 ? 0 : static_cast<std::uint32_t>((std::uint64_t{count} * shardUnits(group, index) + units - 1) / units);
}

void PermitHolder::give(Ledger &ledger, std::size_t index) const
{
    for (const std::pair<const core::NodeId, std::vector<PermitRequest>> &peer : m_wants) {
        for (const PermitRequest &want : peer.second) {
            giveTo(ledger, index, peer.first, want);
        }
    }
}

void PermitHolder::giveTo(Ledger &ledger, std::size_t index, const core::NodeId &peer, const PermitRequest &want) const
{
    const auto found = m_groups.find(want.group);
    if (found == m_groups.end() || found->second.yielding == 0) {
        return;
    }
    const GroupState &group = found->second;
    const std::uint32_t wanted = std::max<std::uint32_t>(1, wantedByPeers(want.group));
    // Each requesting peer receives permits in proportion to what it still lacks.
    const std::uint64_t part = (std::uint64_t{group.yielding} * lacking(peer, want) + wanted - 1) / wanted;
    std::uint32_t budget = shardPart(group, index, static_cast<std::uint32_t>(part));
    for (const LimitId &unit : group.units) {
        if (budget == 0) {
            return;
        }
        if (shardOf(unit) != index) {
            continue;
        }
        const std::uint32_t count = std::min(budget, spare(ledger, unit));
        ledger.move(m_self, peer, unit, count);
        budget -= count;
    }
}

void PermitHolder::adopt(Shard &shard, const StoredLedger &stored)
{
    // A delayed reply with an older revision must not replace a newer state.
    if (shard.known && stored.revision < shard.stored.revision) {
        return;
    }
    shard.known = true;
    shard.stale = false;
    shard.stored = stored;
    shard.heard = std::max(shard.heard, stored.ledger.sequence());
    if (shard.fenced && stored.revision > shard.fencedRevision) {
        shard.fenced = false;
        shard.fencedGiving.clear();
    }
}

void PermitHolder::onRead(std::size_t shardIndex, const std::optional<StoredLedger> &stored)
{
    Shard &shard = m_shards[shardIndex];
    shard.busy = false;
    if (stored) {
        adopt(shard, *stored);
    }
}

void PermitHolder::onWritten(std::size_t shardIndex, WriteOutcome end, const std::optional<StoredLedger> &current)
{
    Shard &shard = m_shards[shardIndex];
    shard.busy = false;
    const Account giving = std::move(shard.giving);
    shard.giving.clear();
    if (end == WriteOutcome::Unknown) {
        shard.stale = true;
        shard.fenced = true;
        shard.fencedRevision = shard.stored.revision;
        for (const std::pair<const LimitId, std::uint32_t> &entry : giving) {
            shard.fencedGiving[entry.first] = std::max(shard.fencedGiving[entry.first], entry.second);
        }
        return;
    }
    if (current) {
        adopt(shard, *current);
    } else if (end != WriteOutcome::NotSent) {
        shard.stale = true;
    }
}

} // namespace oleanderwick::allotment

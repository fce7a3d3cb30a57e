#include "holder.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace oleanderwick::allotment
{

namespace internal
{

/** Rights kept back for a first request: one part in this many of the bound. */
constexpr std::uint32_t floorPart = 256;
/** A peer counts as needier when its pressure is below this part of one's own. */
constexpr double yieldMargin = 0.9;
/** At most one right in this many is kept back at once for a needier peer. */
constexpr std::uint32_t yieldPart = 8;

} // namespace internal

Holder::Holder(core::NodeId self, std::size_t fleetSize) : m_self{std::move(self)}, m_fleetSize{std::max<std::size_t>(1, fleetSize)}, m_shards(shards)
{
}

std::size_t Holder::shardOf(const Unit &unit)
{
    return XXH3_64bits_withSeed(unit.name.data(), unit.name.size(), static_cast<XXH64_hash_t>(unit.kind)) % shards;
}

std::uint32_t Holder::held(const Unit &unit) const
{
    const Shard &shard = m_shards[shardOf(unit)];
    return shard.known ? shard.stored.ledger.held(m_self, unit) : 0;
}

std::uint32_t Holder::bounded(const Unit &unit) const
{
    const std::uint32_t own = held(unit);
    const std::uint32_t bound = capacity(unit);
    const std::uint32_t total = m_shards[shardOf(unit)].stored.ledger.total(unit);
    if (total <= bound) {
        return own;
    }
    // After the bound was lowered each node keeps within its part of it at once, before any right is given back.
    return static_cast<std::uint32_t>(std::uint64_t{own} * bound / total);
}

std::uint32_t Holder::usable(const Unit &unit) const
{
    const Shard &shard = m_shards[shardOf(unit)];
    std::uint32_t away = 0;
    if (const auto giving = shard.giving.find(unit); giving != shard.giving.end()) {
        away += giving->second;
    }
    if (const auto fenced = shard.fencedGiving.find(unit); fenced != shard.fencedGiving.end()) {
        away += fenced->second;
    }
    const std::uint32_t own = bounded(unit);
    return own > away ? own - away : 0;
}

std::uint32_t Holder::usable(const Group &group) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return 0;
    }
    std::uint32_t sum = 0;
    for (const Unit &unit : found->second.units) {
        sum += usable(unit);
    }
    return sum > found->second.yielding ? sum - found->second.yielding : 0;
}

std::uint32_t Holder::heldOf(const GroupState &group) const
{
    std::uint32_t sum = 0;
    for (const Unit &unit : group.units) {
        sum += held(unit);
    }
    return sum;
}

std::uint32_t Holder::evenPart(const GroupState &group) const
{
    return group.capacity / static_cast<std::uint32_t>(m_fleetSize);
}

std::uint32_t Holder::running(const Unit &unit) const
{
    const auto found = m_running.find(unit);
    return found == m_running.end() ? 0 : found->second;
}

std::uint32_t Holder::capacity(const Unit &unit) const
{
    const auto found = m_capacity.find(unit);
    return found == m_capacity.end() ? 0 : found->second;
}

std::uint32_t Holder::need(const GroupState &group) const
{
    const std::uint32_t asked = group.demand.running + group.demand.waiting;
    return std::min(asked, group.capacity);
}

double Holder::pressure(const Group &group, const GroupState &state) const
{
    if (group.kind == Group::Kind::Pool) {
        return state.demand.pressure;
    }
    const double asked = state.demand.running + state.demand.waiting;
    return asked > 0.0 ? heldOf(state) / asked : 1.0;
}

Want Holder::wantOf(const Group &group, const GroupState &state) const
{
    const std::uint32_t own = heldOf(state);
    const std::uint32_t asked = need(state);
    const std::uint32_t even = std::max(evenPart(state), std::min<std::uint32_t>(1, state.capacity));
    Want want{group, 0, 0, pressure(group, state)};
    want.hungry = asked > own ? asked - own : 0;
    want.idle = even > own + want.hungry ? even - own - want.hungry : 0;
    return want;
}

std::vector<Want> Holder::wants() const
{
    std::vector<Want> wants;
    if (m_surrendering) {
        return wants;
    }
    for (const std::pair<const Group, GroupState> &group : m_groups) {
        Want want = wantOf(group.first, group.second);
        if (want.hungry > 0 || want.idle > 0) {
            wants.push_back(std::move(want));
        }
    }
    return wants;
}

std::vector<std::uint64_t> Holder::sequences() const
{
    std::vector<std::uint64_t> sequences;
    for (const Shard &shard : m_shards) {
        sequences.push_back(std::max(shard.heard, shard.stored.ledger.sequence()));
    }
    return sequences;
}

std::set<core::NodeId> Holder::holders() const
{
    std::set<core::NodeId> nodes;
    for (const Shard &shard : m_shards) {
        for (const std::pair<const core::NodeId, Account> &account : shard.stored.ledger.accounts()) {
            nodes.insert(account.first);
        }
    }
    return nodes;
}

void Holder::configure(const config::Snapshot &snapshot)
{
    m_version = snapshot.version();
    m_capacity.clear();
    std::map<Group, GroupState> groups;
    for (const std::pair<const core::TeamId, config::Team> &team : snapshot.document().teams) {
        GroupState &group = groups[Group{Group::Kind::Team, team.first.text()}];
        group.capacity = team.second.upperLimit;
        group.units.push_back(Unit{Unit::Kind::Team, team.first.text()});
        m_capacity[group.units.back()] = team.second.upperLimit;
    }
    for (const std::pair<const core::InstanceId, config::Instance> &instance : snapshot.document().instances) {
        if (instance.second.leaving) {
            continue;
        }
        GroupState &group = groups[Group{Group::Kind::Pool, instance.second.pool.text()}];
        group.capacity += instance.second.slots;
        group.units.push_back(Unit{Unit::Kind::Instance, instance.first.text()});
        m_capacity[group.units.back()] = instance.second.slots;
    }
    for (std::pair<const Group, GroupState> &group : groups) {
        const auto before = m_groups.find(group.first);
        if (before != m_groups.end()) {
            group.second.demand = before->second.demand;
        }
    }
    m_groups = std::move(groups);
    for (Shard &shard : m_shards) {
        shard.stale = true;
    }
}

void Holder::setDemand(const Group &group, const Demand &demand)
{
    const auto found = m_groups.find(group);
    if (found != m_groups.end()) {
        found->second.demand = demand;
    }
}

void Holder::setRunning(const Unit &unit, std::uint32_t count)
{
    if (count == 0) {
        m_running.erase(unit);
    } else {
        m_running[unit] = count;
    }
}

void Holder::setPeer(const core::NodeId &peer, std::vector<Want> wants, const std::vector<std::uint64_t> &sequences)
{
    m_peers[peer].wants = std::move(wants);
    for (std::size_t index = 0; index < std::min(sequences.size(), m_shards.size()); ++index) {
        m_shards[index].heard = std::max(m_shards[index].heard, sequences[index]);
    }
}

void Holder::forgetPeer(const core::NodeId &peer)
{
    m_peers.erase(peer);
}

void Holder::setDeparted(std::set<core::NodeId> nodes)
{
    m_departed = std::move(nodes);
}

void Holder::surrender()
{
    m_surrendering = true;
}

HolderStep Holder::step()
{
    HolderStep step;
    for (std::pair<const Group, GroupState> &group : m_groups) {
        updateYield(group.first, group.second);
    }
    for (std::size_t index = 0; index < m_shards.size(); ++index) {
        if (!m_shards[index].busy) {
            planShard(index, step);
        }
    }
    return step;
}

void Holder::updateYield(const Group &group, GroupState &state)
{
    state.yielding = 0;
    const std::uint32_t own = heldOf(state);
    const double ownPressure = pressure(group, state);
    if (own == 0 || state.demand.waiting == 0) {
        return;
    }
    std::uint32_t asked = 0;
    for (const std::pair<const core::NodeId, Peer> &peer : m_peers) {
        for (const Want &want : peer.second.wants) {
            if (want.group == group && want.pressure < ownPressure * internal::yieldMargin) {
                asked += want.hungry;
            }
        }
    }
    state.yielding = std::min(asked, std::max<std::uint32_t>(1, own / internal::yieldPart));
}

void Holder::planShard(std::size_t index, HolderStep &step)
{
    Shard &shard = m_shards[index];
    const bool behind = shard.heard > shard.stored.ledger.sequence();
    if (!shard.known || shard.stale || behind) {
        shard.busy = true;
        step.reads.push_back(LedgerRead{index});
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
        for (const std::pair<const Unit, std::uint32_t> &entry : account->second) {
            const std::uint32_t after = next.held(m_self, entry.first);
            if (after < entry.second) {
                shard.giving.emplace(entry.first, entry.second - after);
            }
        }
    }
    shard.busy = true;
    step.writes.push_back(LedgerWrite{index, shard.stored.revision, std::move(next)});
}

void Holder::dropDeparted(Ledger &ledger) const
{
    for (const core::NodeId &node : m_departed) {
        ledger.drop(node);
    }
}

std::uint32_t Holder::spare(const Ledger &ledger, const Unit &unit) const
{
    const std::uint32_t own = std::min(ledger.held(m_self, unit), held(unit));
    const std::uint32_t used = running(unit);
    const Shard &shard = m_shards[shardOf(unit)];
    const auto fenced = shard.fencedGiving.find(unit);
    const std::uint32_t away = fenced == shard.fencedGiving.end() ? 0 : fenced->second;
    return own > used + away ? own - used - away : 0;
}

void Holder::trim(Ledger &ledger, std::size_t index) const
{
    const auto account = ledger.accounts().find(m_self);
    if (account == ledger.accounts().end()) {
        return;
    }
    const Account rights = account->second;
    for (const std::pair<const Unit, std::uint32_t> &entry : rights) {
        if (shardOf(entry.first) != index) {
            continue;
        }
        const std::uint32_t total = ledger.total(entry.first);
        const std::uint32_t bound = capacity(entry.first);
        const std::uint32_t over = m_surrendering ? entry.second : (total > bound ? total - bound : 0);
        ledger.release(m_self, entry.first, std::min(over, spare(ledger, entry.first)));
    }
}

void Holder::claim(Ledger &ledger, std::size_t index) const
{
    if (ledger.version() > m_version) {
        return;
    }
    for (const std::pair<const Group, GroupState> &group : m_groups) {
        const Want want = wantOf(group.first, group.second);
        std::uint32_t left = shardPart(group.second, index, want.hungry + want.idle);
        const std::uint32_t even = shardUnits(group.second, index) == 0 ? 0 : left / shardUnits(group.second, index) + 1;
        // The first round spreads over the units, the second takes what is still free.
        for (const std::uint32_t part : {even, left}) {
            for (const Unit &unit : group.second.units) {
                if (shardOf(unit) == index) {
                    left -= ledger.claim(m_self, unit, std::min(part, left), capacity(unit));
                }
            }
        }
    }
}

std::uint32_t Holder::shardUnits(const GroupState &group, std::size_t index)
{
    return static_cast<std::uint32_t>(std::count_if(group.units.begin(), group.units.end(), [index](const Unit &unit) {
        return shardOf(unit) == index;
    }));
}

std::uint32_t Holder::shardPart(const GroupState &group, std::size_t index, std::uint32_t count)
{
    const std::uint64_t units = group.units.size();
    return units == 0 ? 0 : static_cast<std::uint32_t>((std::uint64_t{count} * shardUnits(group, index) + units - 1) / units);
}

void Holder::give(Ledger &ledger, std::size_t index)
{
    for (const std::pair<const core::NodeId, Peer> &peer : m_peers) {
        for (const Want &want : peer.second.wants) {
            giveTo(ledger, index, peer.first, want);
        }
    }
}

std::uint32_t Holder::fairPart(const GroupState &group, const core::NodeId &peer, std::uint32_t count) const
{
    std::uint64_t others = 0;
    std::uint64_t own = 0;
    for (const Unit &unit : group.units) {
        const Ledger &known = m_shards[shardOf(unit)].stored.ledger;
        own += held(unit);
        const std::uint32_t total = known.total(unit);
        const std::uint32_t theirs = known.held(peer, unit);
        others += total > theirs ? total - theirs : 0;
    }
    others = std::max(others, own);
    return others == 0 ? 0 : static_cast<std::uint32_t>((count * own + others - 1) / others);
}

void Holder::giveTo(Ledger &ledger, std::size_t index, const core::NodeId &peer, const Want &want)
{
    const auto found = m_groups.find(want.group);
    if (found == m_groups.end()) {
        return;
    }
    const GroupState &group = found->second;
    const std::uint32_t own = heldOf(group);
    const std::uint32_t floor = std::max(need(group), group.capacity / internal::floorPart);
    const std::uint32_t unused = own > floor ? own - floor : 0;
    const std::uint32_t aboveEven = own > std::max(floor, evenPart(group)) ? own - std::max(floor, evenPart(group)) : 0;
    std::uint32_t budget = std::min(fairPart(group, peer, want.hungry), std::max(unused, group.yielding));
    budget = shardPart(group, index, std::max(budget, std::min(want.idle + want.hungry, aboveEven)));
    for (const Unit &unit : group.units) {
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

void Holder::adopt(Shard &shard, const StoredLedger &stored)
{
    // An older answer that comes late never replaces a newer one.
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

void Holder::onRead(std::size_t shardIndex, const std::optional<StoredLedger> &stored)
{
    Shard &shard = m_shards[shardIndex];
    shard.busy = false;
    if (stored) {
        adopt(shard, *stored);
    }
}

void Holder::onWritten(std::size_t shardIndex, WriteEnd end, const std::optional<StoredLedger> &current)
{
    Shard &shard = m_shards[shardIndex];
    shard.busy = false;
    const Account giving = std::move(shard.giving);
    shard.giving.clear();
    if (end == WriteEnd::Unknown) {
        shard.stale = true;
        shard.fenced = true;
        shard.fencedRevision = shard.stored.revision;
        for (const std::pair<const Unit, std::uint32_t> &entry : giving) {
            shard.fencedGiving[entry.first] = std::max(shard.fencedGiving[entry.first], entry.second);
        }
        return;
    }
    if (current) {
        adopt(shard, *current);
    } else if (end != WriteEnd::NotSent) {
        shard.stale = true;
    }
}

} // namespace oleanderwick::allotment

#include "permit_holder.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace oleanderwick::allotment
{

namespace internal
{

/** A node requests more permits when it needs more than this fraction of the permits it holds, */
constexpr double headroom = 0.75;
/** or when it holds less than this fraction of its target. Otherwise it leaves the division unchanged. */
constexpr double idleTolerance = 0.75;

} // namespace internal

PermitHolder::PermitHolder(core::NodeId self, std::size_t fleetSize)
    : m_self{std::move(self)}
    , m_shards(shardCount)
{
    m_input.fleetSize = std::max<std::size_t>(1, fleetSize);
    m_demands[m_self];
}

std::size_t PermitHolder::shardOf(const LimitId &unit)
{
    return XXH3_64bits_withSeed(unit.name.data(), unit.name.size(), static_cast<XXH64_hash_t>(unit.kind)) % shardCount;
}

std::uint32_t PermitHolder::held(const LimitId &unit) const
{
    const Shard &shard = m_shards[shardOf(unit)];
    return shard.known ? shard.stored.ledger.held(m_self, unit) : 0;
}

std::uint32_t PermitHolder::bounded(const LimitId &unit) const
{
    const std::uint32_t own = held(unit);
    const std::uint32_t bound = capacity(unit);
    const std::uint32_t total = m_shards[shardOf(unit)].stored.ledger.total(unit);
    if (total <= bound) {
        return own;
    }
    // After the limit was lowered, the other nodes may still use all the permits that they hold.
    const std::uint32_t others = total - std::min(own, total);
    return bound > others ? bound - others : 0;
}

std::uint32_t PermitHolder::usable(const LimitId &unit) const
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

std::uint32_t PermitHolder::usable(const Group &group) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return 0;
    }
    std::uint32_t sum = 0;
    for (const LimitId &unit : found->second.units) {
        sum += usable(unit);
    }
    return sum > found->second.yielding ? sum - found->second.yielding : 0;
}

std::uint32_t PermitHolder::heldOf(const GroupState &group) const
{
    std::uint32_t sum = 0;
    for (const LimitId &unit : group.units) {
        sum += held(unit);
    }
    return sum;
}

std::uint32_t PermitHolder::running(const LimitId &unit) const
{
    const auto found = m_running.find(unit);
    return found == m_running.end() ? 0 : found->second;
}

std::uint32_t PermitHolder::capacity(const LimitId &unit) const
{
    const auto found = m_capacity.find(unit);
    return found == m_capacity.end() ? 0 : found->second;
}

std::uint32_t PermitHolder::available(const GroupState &group) const
{
    std::uint32_t sum = 0;
    for (const LimitId &unit : group.units) {
        std::uint32_t stuck = 0;
        for (const std::pair<const core::NodeId, Account> &account : m_shards[shardOf(unit)].stored.ledger.accounts()) {
            const auto entry = account.second.find(unit);
            stuck += m_demands.contains(account.first) || entry == account.second.end() ? 0 : entry->second;
        }
        const std::uint32_t bound = capacity(unit);
        sum += bound > stuck ? bound - stuck : 0;
    }
    return sum;
}

std::uint32_t PermitHolder::asked(const Group &group) const
{
    const std::uint32_t even = evenPart(m_input, group);
    std::uint32_t sum = 0;
    for (const TeamDemand &demand : m_demands.at(m_self)) {
        const std::string &name = group.kind == Group::Kind::Team ? demand.team.text() : demand.pool.text();
        sum += name == group.name ? demand.requested(even) : 0;
    }
    return sum;
}

std::uint32_t PermitHolder::missing(const Group &group, const GroupState &state) const
{
    const std::uint32_t own = heldOf(state);
    const std::uint32_t target = m_plan.target(group, m_self);
    const bool hungry = asked(group) > own * internal::headroom;
    if (target <= own || (!hungry && own >= target * internal::idleTolerance)) {
        return 0;
    }
    return target - own;
}

std::uint32_t PermitHolder::surplus(const Group &group, const GroupState &state) const
{
    const std::uint32_t own = heldOf(state);
    const std::uint32_t target = m_plan.target(group, m_self);
    return own > target ? own - target : 0;
}

std::uint32_t PermitHolder::lacking(const core::NodeId &peer, const PermitRequest &want) const
{
    const auto group = m_groups.find(want.group);
    if (group == m_groups.end()) {
        return 0;
    }
    // Permits that the peer received after it sent the request, according to the ledger, reduce the request.
    std::uint32_t theirs = 0;
    for (const LimitId &unit : group->second.units) {
        theirs += m_shards[shardOf(unit)].stored.ledger.held(peer, unit);
    }
    const std::uint32_t target = m_plan.target(want.group, peer);
    return theirs >= target ? 0 : std::min(want.missing, target - theirs);
}

std::uint32_t PermitHolder::wantedByPeers(const Group &group) const
{
    std::uint32_t sum = 0;
    for (const std::pair<const core::NodeId, std::vector<PermitRequest>> &peer : m_wants) {
        for (const PermitRequest &want : peer.second) {
            sum += want.group == group ? lacking(peer.first, want) : 0;
        }
    }
    return sum;
}

std::uint32_t PermitHolder::target(const Group &group) const
{
    return m_plan.target(group, m_self);
}

std::vector<PermitRequest> PermitHolder::permitRequests() const
{
    std::vector<PermitRequest> wants;
    if (m_surrendering) {
        return wants;
    }
    for (const Group &group : m_short) {
        const std::uint32_t count = missing(group, m_groups.at(group));
        if (count > 0) {
            wants.push_back(PermitRequest{group, count});
        }
    }
    return wants;
}

std::vector<std::uint64_t> PermitHolder::sequences() const
{
    std::vector<std::uint64_t> sequences;
    for (const Shard &shard : m_shards) {
        sequences.push_back(std::max(shard.heard, shard.stored.ledger.sequence()));
    }
    return sequences;
}

std::set<core::NodeId> PermitHolder::holders() const
{
    std::set<core::NodeId> nodes;
    for (const Shard &shard : m_shards) {
        for (const std::pair<const core::NodeId, Account> &account : shard.stored.ledger.accounts()) {
            nodes.insert(account.first);
        }
    }
    return nodes;
}

void PermitHolder::configure(const config::Snapshot &snapshot, const std::set<core::InstanceId> &withheld)
{
    m_version = snapshot.version();
    m_capacity.clear();
    m_input.shares.clear();
    m_input.limits.clear();
    std::map<Group, GroupState> groups;
    for (const std::pair<const core::TeamId, config::Team> &team : snapshot.document().teams) {
        const LimitId unit{LimitId::Kind::Team, team.first.text()};
        groups[Group{Group::Kind::Team, team.first.text()}].units.push_back(unit);
        m_capacity[unit] = team.second.upperLimit;
        m_input.shares[team.first] = team.second.share;
        m_input.limits[team.first] = team.second.upperLimit;
    }
    for (const std::pair<const core::InstanceId, config::Instance> &instance : snapshot.document().instances) {
        if (instance.second.leaving || withheld.contains(instance.first)) {
            continue;
        }
        const LimitId unit{LimitId::Kind::Instance, instance.first.text()};
        groups[Group{Group::Kind::Pool, instance.second.pool.text()}].units.push_back(unit);
        m_capacity[unit] = instance.second.slots;
    }
    m_groups = std::move(groups);
    m_trimming = true;
    plan();
    for (Shard &shard : m_shards) {
        shard.stale = true;
    }
}

void PermitHolder::setDemands(std::vector<TeamDemand> demands)
{
    m_demands[m_self] = std::move(demands);
}

void PermitHolder::setRunning(const LimitId &unit, std::uint32_t count)
{
    if (count == 0) {
        m_running.erase(unit);
    } else {
        m_running[unit] = count;
    }
}

void PermitHolder::setPeer(const core::NodeId &peer,
                           std::vector<TeamDemand> demands,
                           std::vector<PermitRequest> wants,
                           const std::vector<std::uint64_t> &sequences)
{
    m_demands[peer] = std::move(demands);
    m_wants[peer] = std::move(wants);
    for (std::size_t index = 0; index < std::min(sequences.size(), m_shards.size()); ++index) {
        m_shards[index].heard = std::max(m_shards[index].heard, sequences[index]);
    }
}

void PermitHolder::removePeer(const core::NodeId &peer)
{
    m_demands.erase(peer);
    m_wants.erase(peer);
}

void PermitHolder::setDeparted(std::set<core::NodeId> nodes)
{
    m_departed = std::move(nodes);
}

void PermitHolder::releaseUnused()
{
    m_surrendering = true;
}

void PermitHolder::plan()
{
    m_input.available.clear();
    for (const std::pair<const Group, GroupState> &group : m_groups) {
        m_input.available[group.first] = available(group.second);
    }
    m_plan = Plan{m_input, m_demands};
    m_short.clear();
    m_yielding.clear();
    for (std::pair<const Group, GroupState> &group : m_groups) {
        updateYield(group.first, group.second);
        if (group.second.yielding > 0) {
            m_yielding.insert(group.first);
        }
        if (missing(group.first, group.second) > 0) {
            m_short.insert(group.first);
        }
    }
}

void PermitHolder::updateYield(const Group &group, GroupState &state)
{
    const std::uint32_t own = surplus(group, state);
    state.yielding = own == 0 ? 0 : std::min(own, wantedByPeers(group));
}

} // namespace oleanderwick::allotment

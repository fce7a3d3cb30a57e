#include "holder.hpp"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace oleanderwick::allotment
{

namespace internal
{

/** A node requests more permits if its demand exceeds this fraction of the permits it holds. */
constexpr double maxUsedFraction = 0.75;
/** A node also requests more permits if it holds less than this fraction of its target; otherwise it requests none. */
constexpr double minTargetFraction = 0.75;

} // namespace internal

PermitHolder::PermitHolder(core::NodeId self, std::size_t fleetSize)
    : m_self{std::move(self)}
    , m_shards(shardCount)
{
    m_input.fleetSize = std::max<std::size_t>(1, fleetSize);
    m_demands[m_self];
}

std::size_t PermitHolder::shardOf(const LimitId &limit)
{
    return XXH3_64bits_withSeed(limit.name.data(), limit.name.size(), static_cast<XXH64_hash_t>(limit.kind)) % shardCount;
}

std::uint32_t PermitHolder::held(const LimitId &limit) const
{
    const Shard &shard = m_shards[shardOf(limit)];
    return shard.loaded ? shard.stored.ledger.held(m_self, limit) : 0;
}

std::uint32_t PermitHolder::heldWithinCapacity(const LimitId &limit) const
{
    const std::uint32_t own = held(limit);
    const std::uint32_t capacity = capacityOf(limit);
    const std::uint32_t total = m_shards[shardOf(limit)].stored.ledger.total(limit);
    if (total <= capacity) {
        return own;
    }
    // After the limit was lowered, the other nodes may still use all the permits that they hold.
    const std::uint32_t others = total - std::min(own, total);
    return capacity > others ? capacity - others : 0;
}

std::uint32_t PermitHolder::usable(const LimitId &limit) const
{
    const Shard &shard = m_shards[shardOf(limit)];
    std::uint32_t blocked = 0;
    if (const auto pendingDecrease = shard.pendingDecrease.find(limit); pendingDecrease != shard.pendingDecrease.end()) {
        blocked += pendingDecrease->second;
    }
    if (const auto unresolved = shard.unresolvedDecrease.find(limit); unresolved != shard.unresolvedDecrease.end()) {
        blocked += unresolved->second;
    }
    const std::uint32_t own = heldWithinCapacity(limit);
    return own > blocked ? own - blocked : 0;
}

std::uint32_t PermitHolder::usable(const Group &group) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end()) {
        return 0;
    }
    std::uint32_t sum = 0;
    for (const LimitId &limit : found->second.limits) {
        sum += usable(limit);
    }
    return sum > found->second.reservedForPeers ? sum - found->second.reservedForPeers : 0;
}

std::uint32_t PermitHolder::heldInGroup(const GroupState &group) const
{
    std::uint32_t sum = 0;
    for (const LimitId &limit : group.limits) {
        sum += held(limit);
    }
    return sum;
}

std::uint32_t PermitHolder::running(const LimitId &limit) const
{
    const auto found = m_running.find(limit);
    return found == m_running.end() ? 0 : found->second;
}

std::uint32_t PermitHolder::capacityOf(const LimitId &limit) const
{
    const auto found = m_capacity.find(limit);
    return found == m_capacity.end() ? 0 : found->second;
}

std::uint32_t PermitHolder::available(const GroupState &group) const
{
    std::uint32_t sum = 0;
    for (const LimitId &limit : group.limits) {
        std::uint32_t heldByUnknownNodes = 0;
        for (const std::pair<const core::NodeId, Account> &account : m_shards[shardOf(limit)].stored.ledger.accounts()) {
            const auto entry = account.second.find(limit);
            heldByUnknownNodes += m_demands.contains(account.first) || entry == account.second.end() ? 0 : entry->second;
        }
        const std::uint32_t capacity = capacityOf(limit);
        sum += capacity > heldByUnknownNodes ? capacity - heldByUnknownNodes : 0;
    }
    return sum;
}

std::uint32_t PermitHolder::requested(const Group &group) const
{
    const std::uint32_t evenPermits = evenPart(m_input, group);
    std::uint32_t sum = 0;
    for (const TeamDemand &demand : m_demands.at(m_self)) {
        const std::string &name = group.kind == Group::Kind::Team ? demand.team.text() : demand.pool.text();
        sum += name == group.name ? demand.requested(evenPermits) : 0;
    }
    return sum;
}

std::uint32_t PermitHolder::missing(const Group &group, const GroupState &state) const
{
    const std::uint32_t own = heldInGroup(state);
    const std::uint32_t target = m_plan.target(group, m_self);
    const bool needsMore = requested(group) > own * internal::maxUsedFraction;
    if (target <= own || (!needsMore && own >= target * internal::minTargetFraction)) {
        return 0;
    }
    return target - own;
}

std::uint32_t PermitHolder::surplus(const Group &group, const GroupState &state) const
{
    const std::uint32_t own = heldInGroup(state);
    const std::uint32_t target = m_plan.target(group, m_self);
    return own > target ? own - target : 0;
}

std::uint32_t PermitHolder::unmetRequest(const core::NodeId &peer, const PermitRequest &request) const
{
    const auto group = m_groups.find(request.group);
    if (group == m_groups.end()) {
        return 0;
    }
    // Permits that the peer received after it sent the request, according to the ledger, reduce the request.
    std::uint32_t peerHeld = 0;
    for (const LimitId &limit : group->second.limits) {
        peerHeld += m_shards[shardOf(limit)].stored.ledger.held(peer, limit);
    }
    const std::uint32_t target = m_plan.target(request.group, peer);
    return peerHeld >= target ? 0 : std::min(request.missing, target - peerHeld);
}

std::uint32_t PermitHolder::requestedByPeers(const Group &group) const
{
    std::uint32_t sum = 0;
    for (const std::pair<const core::NodeId, std::vector<PermitRequest>> &peer : m_peerRequests) {
        for (const PermitRequest &request : peer.second) {
            sum += request.group == group ? unmetRequest(peer.first, request) : 0;
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
    std::vector<PermitRequest> requests;
    if (m_releasingUnused) {
        return requests;
    }
    for (const Group &group : m_shortGroups) {
        const std::uint32_t count = missing(group, m_groups.at(group));
        if (count > 0) {
            requests.push_back(PermitRequest{group, count});
        }
    }
    return requests;
}

std::vector<std::uint64_t> PermitHolder::sequences() const
{
    std::vector<std::uint64_t> sequences;
    for (const Shard &shard : m_shards) {
        sequences.push_back(std::max(shard.newestSequence, shard.stored.ledger.sequence()));
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
        const LimitId limit{LimitId::Kind::Team, team.first.text()};
        groups[Group{Group::Kind::Team, team.first.text()}].limits.push_back(limit);
        m_capacity[limit] = team.second.upperLimit;
        m_input.shares[team.first] = team.second.share;
        m_input.limits[team.first] = team.second.upperLimit;
    }
    for (const std::pair<const core::InstanceId, config::Instance> &instance : snapshot.document().instances) {
        if (!config::acceptsWork(snapshot.document(), instance.second) || withheld.contains(instance.first)) {
            continue;
        }
        const LimitId limit{LimitId::Kind::Instance, instance.first.text()};
        groups[Group{Group::Kind::Pool, instance.second.pool.text()}].limits.push_back(limit);
        m_capacity[limit] = instance.second.slots;
    }
    m_groups = std::move(groups);
    m_mayExceedLimits = true;
    plan();
    for (Shard &shard : m_shards) {
        shard.needsRead = true;
    }
}

void PermitHolder::setDemands(std::vector<TeamDemand> demands)
{
    m_demands[m_self] = std::move(demands);
}

void PermitHolder::setRunning(const LimitId &limit, std::uint32_t count)
{
    if (count == 0) {
        m_running.erase(limit);
    } else {
        m_running[limit] = count;
    }
}

void PermitHolder::setPeer(const core::NodeId &peer,
                           std::vector<TeamDemand> demands,
                           std::vector<PermitRequest> requests,
                           const std::vector<std::uint64_t> &sequences)
{
    m_demands[peer] = std::move(demands);
    m_peerRequests[peer] = std::move(requests);
    for (std::size_t index = 0; index < std::min(sequences.size(), m_shards.size()); ++index) {
        m_shards[index].newestSequence = std::max(m_shards[index].newestSequence, sequences[index]);
    }
}

void PermitHolder::removePeer(const core::NodeId &peer)
{
    m_demands.erase(peer);
    m_peerRequests.erase(peer);
}

void PermitHolder::setDeparted(std::set<core::NodeId> nodes)
{
    m_departed = std::move(nodes);
}

void PermitHolder::releaseUnused()
{
    m_releasingUnused = true;
}

void PermitHolder::plan()
{
    m_input.available.clear();
    for (const std::pair<const Group, GroupState> &group : m_groups) {
        m_input.available[group.first] = available(group.second);
    }
    m_plan = Plan{m_input, m_demands};
    m_shortGroups.clear();
    m_reservedGroups.clear();
    for (std::pair<const Group, GroupState> &group : m_groups) {
        updateReserved(group.first, group.second);
        if (group.second.reservedForPeers > 0) {
            m_reservedGroups.insert(group.first);
        }
        if (missing(group.first, group.second) > 0) {
            m_shortGroups.insert(group.first);
        }
    }
}

void PermitHolder::updateReserved(const Group &group, GroupState &state)
{
    const std::uint32_t surplusPermits = surplus(group, state);
    state.reservedForPeers = surplusPermits == 0 ? 0 : std::min(surplusPermits, requestedByPeers(group));
}

} // namespace oleanderwick::allotment

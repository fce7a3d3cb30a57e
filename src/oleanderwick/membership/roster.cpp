#include "roster.hpp"

#include <algorithm>
#include <functional>

namespace oleanderwick::membership
{

Roster::Roster(core::NodeId self, std::size_t fleetSize, Timeouts timeouts)
    : m_self{std::move(self)}
    , m_fleetSize{std::max<std::size_t>(1, fleetSize)}
    , m_timeouts{timeouts}
{
}

bool Roster::isAlive(const Peer &peer, core::TimePoint now) const
{
    return now - peer.lastDigestAt < m_timeouts.freshFor;
}

bool Roster::isMajority(std::size_t count) const noexcept
{
    return count * 2 > m_fleetSize;
}

core::TimePoint Roster::freshUntil() const
{
    const std::size_t neededPeers = m_fleetSize / 2;
    if (neededPeers == 0) {
        return core::TimePoint::max();
    }
    core::TimePoint provenAt = m_lastStoreContact.value_or(core::TimePoint{});
    std::vector<core::TimePoint> proofs;
    proofs.reserve(m_peers.size());
    for (const std::pair<const core::NodeId, Peer> &peer : m_peers) {
        proofs.push_back(peer.second.provenAt);
    }
    if (proofs.size() >= neededPeers) {
        const auto nth = proofs.begin() + static_cast<std::ptrdiff_t>(neededPeers - 1);
        std::nth_element(proofs.begin(), nth, proofs.end(), std::greater<>{});
        provenAt = std::max(provenAt, *nth);
    }
    return provenAt + m_timeouts.freshFor;
}

std::vector<core::NodeId> Roster::alive(core::TimePoint now) const
{
    std::vector<core::NodeId> nodes{m_self};
    for (const std::pair<const core::NodeId, Peer> &peer : m_peers) {
        if (isAlive(peer.second, now)) {
            nodes.push_back(peer.first);
        }
    }
    return nodes;
}

std::vector<allotment::TeamDemand> Roster::remoteDemands(core::TimePoint now) const
{
    std::map<std::pair<core::PoolId, core::TeamId>, allotment::TeamDemand> sums;
    for (const std::pair<const core::NodeId, Peer> &peer : m_peers) {
        if (!isAlive(peer.second, now)) {
            continue;
        }
        for (const allotment::TeamDemand &demand : peer.second.digest.demands) {
            allotment::TeamDemand &sum = sums[{demand.pool, demand.team}];
            sum.pool = demand.pool;
            sum.team = demand.team;
            sum.running += demand.running;
            sum.waiting += demand.waiting;
        }
    }
    std::vector<allotment::TeamDemand> demands;
    demands.reserve(sums.size());
    for (auto sum = sums.begin(); sum != sums.end(); ++sum) {
        demands.push_back(std::move(sum->second));
    }
    return demands;
}

std::set<core::NodeId> Roster::departed(core::TimePoint now) const
{
    std::set<core::NodeId> nodes;
    if (!isMajority(alive(now).size())) {
        return nodes;
    }
    for (const std::pair<const core::NodeId, core::TimePoint> &missing : m_missingSince) {
        if (now - missing.second >= m_timeouts.deadAfter + m_timeouts.maxRequestTime) {
            nodes.insert(missing.first);
        }
    }
    return nodes;
}

config::Version Roster::largestVersion(core::TimePoint now) const
{
    config::Version largest = 0;
    for (const std::pair<const core::NodeId, Peer> &peer : m_peers) {
        if (isAlive(peer.second, now)) {
            largest = std::max(largest, peer.second.digest.version);
        }
    }
    return largest;
}

core::Duration Roster::storeAge(core::TimePoint now) const
{
    return now - m_lastStoreContact.value_or(core::TimePoint{});
}

bool Roster::handleDigest(const Digest &digest, core::TimePoint now)
{
    if (digest.node == m_self) {
        return false;
    }
    const auto [entry, added] = m_peers.try_emplace(digest.node);
    Peer &peer = entry->second;
    if (!added && digest.sequence <= peer.digest.sequence) {
        return false;
    }
    peer.digest = digest;
    peer.lastDigestAt = now;
    m_missingSince.erase(digest.node);
    std::erase_if(m_peers, [this, now](const std::pair<const core::NodeId, Peer> &old) {
        return now - old.second.lastDigestAt > m_timeouts.deadAfter + m_timeouts.maxRequestTime;
    });
    return true;
}

void Roster::handleDigestReply(const Digest &digest, core::TimePoint sentAt, core::TimePoint now)
{
    handleDigest(digest, now);
    const auto peer = m_peers.find(digest.node);
    if (peer != m_peers.end()) {
        peer->second.provenAt = std::max(peer->second.provenAt, sentAt);
    }
}

void Roster::raiseMaxRequestTime(core::Duration timeout) noexcept
{
    m_timeouts.maxRequestTime = std::max(m_timeouts.maxRequestTime, timeout);
}

void Roster::recordStoreContact(core::TimePoint sentAt)
{
    m_lastStoreContact = std::max(m_lastStoreContact.value_or(sentAt), sentAt);
}

bool Roster::isReportedAlive(const core::NodeId &node, core::TimePoint now) const
{
    if (node == m_self) {
        return true;
    }
    for (const std::pair<const core::NodeId, Peer> &peer : m_peers) {
        if (!isAlive(peer.second, now)) {
            continue;
        }
        const std::vector<core::NodeId> &alive = peer.second.digest.alive;
        if (peer.first == node || std::find(alive.begin(), alive.end(), node) != alive.end()) {
            return true;
        }
    }
    return false;
}

void Roster::handleRegistrations(const std::set<core::NodeId> &nodes, const std::set<core::NodeId> &holders, core::TimePoint now)
{
    const bool majority = isMajority(alive(now).size());
    std::erase_if(m_missingSince, [&](const std::pair<const core::NodeId, core::TimePoint> &missing) {
        return !majority || nodes.contains(missing.first) || !holders.contains(missing.first) || isReportedAlive(missing.first, now);
    });
    if (!majority) {
        return;
    }
    for (const core::NodeId &holder : holders) {
        if (!nodes.contains(holder) && !isReportedAlive(holder, now)) {
            m_missingSince.try_emplace(holder, now);
        }
    }
}

} // namespace oleanderwick::membership

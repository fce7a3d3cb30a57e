#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "digest.hpp"

namespace oleanderwick::membership
{

/** @brief Time limits for nodes without contact. */
struct Timeouts {
    core::Duration freshFor{std::chrono::seconds{4}}; /**< Time for which a node may act after a proof of contact and a peer is alive after a digest. */
    core::Duration deadAfter{std::chrono::seconds{6}}; /**< Added to `maxRequestTime`: a node that has been missing for the sum is departed. */
    core::Duration maxRequestTime{std::chrono::seconds{30}}; /**< Requests of a missing node may still run for this long. */

    [[nodiscard]] bool operator==(const Timeouts &) const = default;
};

/**
 * @brief Tracks which nodes are alive and whether this node may still act.
 *
 * A node may act while it has proof, younger than `freshFor`, that the store or more than half of the fleet considers it
 * alive; the age of a proof counts from the start of the call that brought it. The permits of a node are reclaimed only
 * after its registration has left the store and more than half of the fleet has not heard from it for `deadAfter` plus
 * `maxRequestTime`. Any two majorities have a node in common, so a node that still acts is never declared departed.
 */
class Roster
{
public:
    /**
     * @brief Creates a roster without peers or contact with the store.
     * @param self Name of this node.
     * @param fleetSize Expected number of nodes in the fleet, this one included.
     * @param timeouts Time limits for nodes without contact.
     */
    Roster(core::NodeId self, std::size_t fleetSize, Timeouts timeouts);

    /** @return Time until which this node may act on its configuration and permits; without limit in a fleet of one. */
    [[nodiscard]] core::TimePoint freshUntil() const;

    /**
     * @brief Lists the nodes that this node has heard from within `freshFor`.
     * @param now Current time of the monotonic clock.
     * @return Names of the nodes, this one included.
     */
    [[nodiscard]] std::vector<core::NodeId> alive(core::TimePoint now) const;

    /**
     * @brief Sums the demands of the live peers.
     * @param now Current time of the monotonic clock.
     * @return Running and waiting requests, by pool and team.
     */
    [[nodiscard]] std::vector<allotment::TeamDemand> remoteDemands(core::TimePoint now) const;

    /**
     * @brief Lists the nodes whose permits may be reclaimed.
     * @param now Current time of the monotonic clock.
     * @return Names of the nodes; empty unless more than half of the fleet is alive.
     */
    [[nodiscard]] std::set<core::NodeId> departed(core::TimePoint now) const;

    /**
     * @brief Returns the largest configuration version of the live peers.
     * @param now Current time of the monotonic clock.
     * @return The version; 0 without live peers.
     */
    [[nodiscard]] config::Version largestVersion(core::TimePoint now) const;

    /**
     * @brief Returns the time since this node's last direct contact with the store.
     * @param now Current time of the monotonic clock.
     * @return Time since that contact, or since the epoch of the clock if there was no contact yet.
     */
    [[nodiscard]] core::Duration storeAge(core::TimePoint now) const;

    /**
     * @brief Handles a digest of a peer.
     * @param digest Digest of the peer.
     * @param now Current time of the monotonic clock.
     * @return False if the digest is outdated, a duplicate or this node's own, and was ignored.
     */
    bool handleDigest(const Digest &digest, core::TimePoint now);

    /**
     * @brief Handles a peer's reply to this node's digest, which proves that the peer has received that digest.
     * @param digest Digest of the peer, from its reply.
     * @param sentAt Time at which this node sent its digest.
     * @param now Current time of the monotonic clock.
     */
    void handleDigestReply(const Digest &digest, core::TimePoint sentAt, core::TimePoint now);

    /**
     * @brief Raises the time for which requests of a missing node may still run; never lowers it.
     * @param timeout Request timeout of a queue.
     */
    void raiseMaxRequestTime(core::Duration timeout) noexcept;

    /**
     * @brief Records that a call has shown this node's registration to be in the store.
     * @param sentAt Time at which this node sent the call.
     */
    void recordStoreContact(core::TimePoint sentAt);

    /**
     * @brief Handles a list of the nodes that are registered in the store.
     * @param nodes Names of the registered nodes.
     * @param holders Nodes that hold permits.
     * @param now Current time of the monotonic clock.
     */
    void handleRegistrations(const std::set<core::NodeId> &nodes, const std::set<core::NodeId> &holders, core::TimePoint now);

private:
    struct Peer {
        Digest digest;
        core::TimePoint lastDigestAt;
        core::TimePoint provenAt; /**< Time at which this node sent the latest digest that the peer has replied to. */
    };

    [[nodiscard]] bool isAlive(const Peer &peer, core::TimePoint now) const;
    [[nodiscard]] bool isMajority(std::size_t count) const noexcept;
    [[nodiscard]] bool isReportedAlive(const core::NodeId &node, core::TimePoint now) const;

    core::NodeId m_self;
    std::size_t m_fleetSize;
    Timeouts m_timeouts;
    std::optional<core::TimePoint> m_lastStoreContact;
    std::map<core::NodeId, Peer> m_peers;
    std::map<core::NodeId, core::TimePoint> m_missingSince;
};

} // namespace oleanderwick::membership

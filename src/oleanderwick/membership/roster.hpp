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

/** @brief Bounds on silence between nodes. */
struct Bounds {
    core::Duration freshFor{std::chrono::seconds{4}}; /**< A node without news goes on for this long. */
    core::Duration deadAfter{std::chrono::seconds{6}}; /**< A node that nobody heard for this long is taken for gone. */
    core::Duration longestRequest{std::chrono::seconds{30}}; /**< Its work may go on for this long. */

    [[nodiscard]] bool operator==(const Bounds &) const = default;
};

/**
 * @brief Who is alive, and whether this node may still act.
 *
 * A node acts while it has proof, younger than `freshFor`, that the store or more than half of the fleet counts it as
 * alive; a proof is as old as the call that brought it. Rights of a node are taken back only when its key has left the
 * store and more than half of the fleet has not heard it for `deadAfter` and then `longestRequest`; two majorities
 * share a node, so one that still acts is never counted out.
 */
class Roster
{
public:
    /**
     * @brief Starts having heard nobody.
     * @param self Name of this node.
     * @param fleetSize Nodes that the fleet should have.
     * @param bounds Bounds on silence.
     */
    Roster(core::NodeId self, std::size_t fleetSize, Bounds bounds);

    /** @return Time until which this node may act on its configuration and rights. */
    [[nodiscard]] core::TimePoint freshUntil() const;

    /**
     * @brief Lists the nodes heard of late, this one included.
     * @param now Present time.
     * @return Their names.
     */
    [[nodiscard]] std::vector<core::NodeId> alive(core::TimePoint now) const;

    /**
     * @brief Adds up what runs on the other nodes.
     * @param now Present time.
     * @return Running requests by pool and team.
     */
    [[nodiscard]] std::vector<allotment::TeamDemand> elsewhere(core::TimePoint now) const;

    /**
     * @brief Lists nodes whose rights may be taken back.
     * @param now Present time.
     * @return Their names.
     */
    [[nodiscard]] std::set<core::NodeId> departed(core::TimePoint now) const;

    /**
     * @brief Tells the largest configuration number that a live peer has.
     * @param now Present time.
     * @return The number, zero without peers.
     */
    [[nodiscard]] config::Version largestVersion(core::TimePoint now) const;

    /**
     * @brief Tells the time since the store was last heard, directly.
     * @param now Present time.
     * @return The time; the age of the process if it never was.
     */
    [[nodiscard]] core::Duration storeAge(core::TimePoint now) const;

    /**
     * @brief Takes a digest.
     * @param digest Digest of a peer.
     * @param now Present time.
     * @return False if it is an old or doubled one, or this node's own.
     */
    bool hear(const Digest &digest, core::TimePoint now);

    /**
     * @brief Takes a peer's answer to this node's own digest, which proves that the peer heard this node.
     * @param digest Digest of the peer.
     * @param sentAt Time at which this node's digest was sent.
     * @param now Present time.
     */
    void hearReply(const Digest &digest, core::TimePoint sentAt, core::TimePoint now);

    /**
     * @brief Sets how long the work of a node that vanished may go on; never lowered.
     * @param longest Longest timeout of a queue.
     */
    void allowRequests(core::Duration longest) noexcept;

    /**
     * @brief Notes that the store holds this node's registration.
     * @param sentAt Time at which the call was sent.
     */
    void hearStore(core::TimePoint sentAt);

    /**
     * @brief Takes the nodes that are registered in the store.
     * @param nodes Names found there.
     * @param holders Nodes that hold rights.
     * @param now Present time.
     */
    void observe(const std::set<core::NodeId> &nodes, const std::set<core::NodeId> &holders, core::TimePoint now);

private:
    struct Peer {
        Digest digest;
        core::TimePoint heard;
        core::TimePoint proved; /**< When the latest digest was sent that the peer is known to have taken. */
    };

    [[nodiscard]] bool isAlive(const Peer &peer, core::TimePoint now) const;
    [[nodiscard]] bool isMajority(std::size_t count) const noexcept;
    [[nodiscard]] bool heardByAnyone(const core::NodeId &node, core::TimePoint now) const;

    core::NodeId m_self;
    std::size_t m_fleetSize;
    Bounds m_bounds;
    std::optional<core::TimePoint> m_storeHeard;
    std::map<core::NodeId, Peer> m_peers;
    std::map<core::NodeId, core::TimePoint> m_missingSince;
};

} // namespace oleanderwick::membership

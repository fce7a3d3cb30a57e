#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ledger.hpp"
#include "plan.hpp"

namespace oleanderwick::allotment
{

/** @brief Permits that a node requests from its peers. */
struct PermitRequest {
    Group group;
    std::uint32_t missing{0}; /**< Permits that the node lacks to reach its target. */

    [[nodiscard]] bool operator==(const PermitRequest &) const = default;
};

/** @brief Request to read a shard from the store. */
struct LedgerRead {
    std::size_t shard{};

    [[nodiscard]] bool operator==(const LedgerRead &) const = default;
};

/** @brief Request for a compare-and-swap of a shard in the store. */
struct LedgerWrite {
    std::size_t shard{};
    std::uint64_t expectedRevision{}; /**< Zero requires that the key is absent. */
    Ledger value;

    [[nodiscard]] bool operator==(const LedgerWrite &) const = default;
};

/** @brief Store calls that result from a step. */
struct LedgerCalls {
    std::vector<LedgerRead> reads;
    std::vector<LedgerWrite> writes;
};

/** @brief State of a shard as read from the store. */
struct StoredLedger {
    std::uint64_t revision{0}; /**< Zero if the key is absent. */
    Ledger ledger;

    [[nodiscard]] bool operator==(const StoredLedger &) const = default;
};

/** @brief Outcome of a write. */
enum class WriteOutcome : std::uint8_t {
    Written, /**< It took effect. */
    Conflict, /**< The stored revision was not the expected one. */
    NotSent, /**< It has had no effect and never will. */
    Unknown, /**< It may have taken effect already, or may do so later. */
};

/**
 * @brief Permits of one node: decides which ones it may use, claims, transfers to peers and releases.
 *
 * A node uses only permits that its account holds in the latest state known to it, and only the node itself lowers its
 * account while it is running, so the total in use never exceeds the limit. Only unused permits are transferred or
 * released. They stop being usable before the write is sent; if its outcome is unknown, they stay unusable until a newer
 * revision of the shard shows that the write can no longer take effect.
 */
class PermitHolder
{
public:
    /** @brief Number of store values that the ledger is split into. */
    static constexpr std::size_t shardCount = 8;

    /**
     * @brief Creates a holder without permits.
     * @param self Name of this node, different after each restart.
     * @param fleetSize Number of nodes that the fleet is configured for; zero counts as one.
     */
    PermitHolder(core::NodeId self, std::size_t fleetSize);

    /**
     * @brief Maps a limit to its shard, identically on all nodes.
     * @param limit Limit to map.
     * @return Index of the shard, below the number of shards.
     */
    [[nodiscard]] static std::size_t shardOf(const LimitId &limit);

    /**
     * @brief Returns how many permits of a limit this node may have in use now.
     * @param limit Limit to look up.
     * @return Permits held within the limit, without those of a transfer or release that may still take effect.
     */
    [[nodiscard]] std::uint32_t usable(const LimitId &limit) const;

    /**
     * @brief Returns how many permits of a group this node may have in use now.
     * @param group Group to look up.
     * @return Usable permits of its limits, without those reserved for peers; zero for an unknown group.
     */
    [[nodiscard]] std::uint32_t usable(const Group &group) const;

    /**
     * @brief Returns how many permits of a group this node should hold.
     * @param group Group to look up.
     * @return Target of the latest plan; zero for an unknown group.
     */
    [[nodiscard]] std::uint32_t target(const Group &group) const;

    /** @return Permits to request from the peers; empty once this node releases its permits. */
    [[nodiscard]] std::vector<PermitRequest> permitRequests() const;

    /** @return Highest known sequence of each shard, by shard index. */
    [[nodiscard]] std::vector<std::uint64_t> sequences() const;

    /** @return Nodes with an account in the latest known state of the ledger. */
    [[nodiscard]] std::set<core::NodeId> holders() const;

    /**
     * @brief Applies the limits of a configuration.
     * @param snapshot Configuration in force.
     * @param withheld Instances whose permits are all released, as for instances that are leaving or in a closed zone.
     */
    void configure(const config::Snapshot &snapshot, const std::set<core::InstanceId> &withheld = {});

    /**
     * @brief Sets the running and waiting requests of this node.
     * @param demands Its demands; replace all earlier ones.
     */
    void setDemands(std::vector<TeamDemand> demands);

    /**
     * @brief Sets how many permits of a limit are in use on this node.
     * @param limit Limit whose permits are in use.
     * @param count Permits in use.
     */
    void setRunning(const LimitId &limit, std::uint32_t count);

    /**
     * @brief Sets the demands and permit requests that a peer reported.
     * @param peer Peer that sent them.
     * @param demands Its demands; replace all earlier ones.
     * @param requests Its permit requests; replace all earlier ones.
     * @param sequences Highest sequence of each shard that the peer knows; a higher one than here causes a read.
     */
    void setPeer(const core::NodeId &peer, std::vector<TeamDemand> demands, std::vector<PermitRequest> requests, const std::vector<std::uint64_t> &sequences);

    /**
     * @brief Removes the demands and permit requests of a peer.
     * @param peer Peer that no longer answers.
     */
    void removePeer(const core::NodeId &peer);

    /**
     * @brief Sets the nodes whose accounts may be removed from the ledger.
     * @param nodes Nodes that certainly have no running requests; replace all earlier ones.
     */
    void setDeparted(std::set<core::NodeId> nodes);

    /** @brief Releases all unused permits from now on and claims no more; for a shutdown. */
    void releaseUnused();

    /** @brief Plans later steps from the current demands; takes up to limits times nodes plus groups times own demands and peers' requests. */
    void plan();

    /**
     * @brief Determines the next store calls; each shard has at most one call in flight.
     * @return Calls to make; the reply to each has to be passed to `onRead` or `onWritten`.
     */
    [[nodiscard]] LedgerCalls step();

    /**
     * @brief Handles the reply to a read.
     * @param shard Index of the shard that was read.
     * @param stored Its state, or `std::nullopt` if the read failed.
     */
    void onRead(std::size_t shard, const std::optional<StoredLedger> &stored);

    /**
     * @brief Handles the reply to a write.
     * @param shard Index of the shard that was written.
     * @param outcome Outcome of the write.
     * @param current State after a success or a conflict; `std::nullopt` if it is not known.
     */
    void onWritten(std::size_t shard, WriteOutcome outcome, const std::optional<StoredLedger> &current);

private:
    struct GroupState {
        std::vector<LimitId> limits;
        std::uint32_t reservedForPeers{0}; /**< Permits reserved for peers. */
    };
    struct Shard {
        bool loaded{false};
        bool callInFlight{false};
        bool needsRead{true};
        bool unresolved{false}; /**< An earlier write may still take effect; the next successful write rules that out. */
        std::uint64_t newestSequence{0};
        std::uint64_t unresolvedRevision{0};
        StoredLedger stored;
        Account pendingDecrease;
        Account unresolvedDecrease;
    };
    [[nodiscard]] static std::uint32_t shardLimitCount(const GroupState &group, std::size_t index);
    [[nodiscard]] static std::uint32_t shardPart(const GroupState &group, std::size_t index, std::uint32_t count);
    [[nodiscard]] std::uint32_t held(const LimitId &limit) const;
    [[nodiscard]] std::uint32_t heldWithinCapacity(const LimitId &limit) const;
    [[nodiscard]] std::uint32_t heldInGroup(const GroupState &group) const;
    [[nodiscard]] std::uint32_t running(const LimitId &limit) const;
    [[nodiscard]] std::uint32_t capacityOf(const LimitId &limit) const;
    [[nodiscard]] std::uint32_t available(const GroupState &group) const;
    [[nodiscard]] std::uint32_t missing(const Group &group, const GroupState &state) const;
    [[nodiscard]] std::uint32_t surplus(const Group &group, const GroupState &state) const;
    [[nodiscard]] std::uint32_t unmetRequest(const core::NodeId &peer, const PermitRequest &request) const;
    [[nodiscard]] std::uint32_t requestedByPeers(const Group &group) const;
    [[nodiscard]] std::uint32_t requested(const Group &group) const;

    void updateReserved(const Group &group, GroupState &state);
    [[nodiscard]] bool mayNeedWrite(const Shard &shard) const;
    void planShard(std::size_t index, LedgerCalls &step);
    void removeDeparted(Ledger &ledger) const;
    void releaseExcess(Ledger &ledger, std::size_t index) const;
    void claim(Ledger &ledger, std::size_t index) const;
    void transferToPeers(Ledger &ledger, std::size_t index) const;
    void transferTo(Ledger &ledger, std::size_t index, const core::NodeId &peer, const PermitRequest &request) const;
    [[nodiscard]] std::uint32_t unusedPermits(const Ledger &ledger, const LimitId &limit) const;
    void applyStored(Shard &shard, const StoredLedger &stored);

    core::NodeId m_self;
    config::Version m_version{0};
    bool m_releasingUnused{false};
    std::map<Group, GroupState> m_groups;
    std::map<LimitId, std::uint32_t> m_capacity;
    std::map<LimitId, std::uint32_t> m_running;
    PlanInput m_input;
    NodeDemands m_demands;
    std::map<core::NodeId, std::vector<PermitRequest>> m_peerRequests;
    Plan m_plan;
    std::set<Group> m_shortGroups; /**< Groups with fewer permits than needed when the plan was made. */
    std::set<Group> m_reservedGroups; /**< Groups with permits reserved for peers when the plan was made. */
    bool m_mayExceedLimits{true}; /**< The accounts may add up to more than a limit. */
    std::set<core::NodeId> m_departed;
    std::vector<Shard> m_shards;
};

} // namespace oleanderwick::allotment

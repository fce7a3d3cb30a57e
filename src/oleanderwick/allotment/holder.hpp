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

/** @brief What a node tells its peers that it lacks. */
struct Want {
    Group group;
    std::uint32_t missing{0}; /**< Rights up to its part of the plan. */

    [[nodiscard]] bool operator==(const Want &) const = default;
};

/** @brief Read of a shard that the store should do. */
struct LedgerRead {
    std::size_t shard{};

    [[nodiscard]] bool operator==(const LedgerRead &) const = default;
};

/** @brief Compare-and-swap of a shard that the store should do. */
struct LedgerWrite {
    std::size_t shard{};
    std::uint64_t expectedRevision{}; /**< Zero if the key has to be absent. */
    Ledger value;

    [[nodiscard]] bool operator==(const LedgerWrite &) const = default;
};

/** @brief Calls that a step asks for. */
struct HolderStep {
    std::vector<LedgerRead> reads;
    std::vector<LedgerWrite> writes;
};

/** @brief State of a shard as the store told it. */
struct StoredLedger {
    std::uint64_t revision{0}; /**< Zero if the key is absent. */
    Ledger ledger;

    [[nodiscard]] bool operator==(const StoredLedger &) const = default;
};

/** @brief End of a write. */
enum class WriteEnd : std::uint8_t {
    Written, /**< It took effect. */
    Conflict, /**< Somebody else wrote before. */
    NotSent, /**< It did not and cannot take effect. */
    Unknown, /**< It may have taken effect or still will. */
};

/**
 * @brief One node's rights: what it may use, claims, gives and gives back.
 *
 * A node uses only what its account holds by its own latest knowledge, and only the node itself lowers its account,
 * so the sum in use never passes the bound. Rights are given away only when they are not in use: what is being given
 * is not usable from before the write until a later write proves that it cannot take effect any more.
 */
class Holder
{
public:
    /** @brief Number of values that the ledger is split into. */
    static constexpr std::size_t shards = 8;

    /**
     * @brief Starts without rights.
     * @param self Name of this node, unique for this run.
     * @param fleetSize Nodes that the fleet should have.
     */
    Holder(core::NodeId self, std::size_t fleetSize);

    /**
     * @brief Finds the shard of a unit.
     * @param unit Unit asked for.
     * @return Number of the shard.
     */
    [[nodiscard]] static std::size_t shardOf(const Unit &unit);

    /**
     * @brief Tells how many may use a unit on this node now.
     * @param unit Unit asked for.
     * @return Rights held, less what is being given away.
     */
    [[nodiscard]] std::uint32_t usable(const Unit &unit) const;

    /**
     * @brief Tells how many may use a group on this node now.
     * @param group Group asked for.
     * @return Rights to its units, less what is kept back for needier nodes.
     */
    [[nodiscard]] std::uint32_t usable(const Group &group) const;

    /**
     * @brief Tells what this node should have of a group.
     * @param group Group asked for.
     * @return Its part of the latest plan.
     */
    [[nodiscard]] std::uint32_t target(const Group &group) const;

    /** @return What peers should know that this node lacks. */
    [[nodiscard]] std::vector<Want> wants() const;

    /** @return Sequence of each shard as known here. */
    [[nodiscard]] std::vector<std::uint64_t> sequences() const;

    /** @return Nodes that hold rights as known here. */
    [[nodiscard]] std::set<core::NodeId> holders() const;

    /**
     * @brief Takes the bounds of a configuration.
     * @param snapshot Configuration in force.
     * @param withheld Instances to which all rights are given back, as if they were leaving.
     */
    void configure(const config::Snapshot &snapshot, const std::set<core::InstanceId> &withheld = {});

    /**
     * @brief Sets what runs and waits on this node.
     * @param demands Its demands; replaces those before.
     */
    void setDemands(std::vector<TeamDemand> demands);

    /**
     * @brief Sets how many use a unit on this node.
     * @param unit Unit in use.
     * @param count Uses.
     */
    void setRunning(const Unit &unit, std::uint32_t count);

    /**
     * @brief Sets what a peer has and lacks.
     * @param peer Peer that told it.
     * @param demands Its demands; replaces those before.
     * @param wants Its wants; replaces those before.
     * @param sequences Sequence of each shard as the peer knows it.
     */
    void setPeer(const core::NodeId &peer, std::vector<TeamDemand> demands, std::vector<Want> wants, const std::vector<std::uint64_t> &sequences);

    /**
     * @brief Forgets the demands and wants of a peer.
     * @param peer Peer that no longer answers.
     */
    void forgetPeer(const core::NodeId &peer);

    /**
     * @brief Sets the nodes whose rights may be taken back.
     * @param nodes Nodes that are certain to have nothing running.
     */
    void setDeparted(std::set<core::NodeId> nodes);

    /** @brief Gives back everything that is not in use from now on; for a stop. */
    void surrender();

    /** @brief Divides anew by the demands known now. Linear in demands and units; a step uses the latest plan. */
    void plan();

    /**
     * @brief Works out what to ask of the store; at most one call for each shard is under way.
     * @return Calls to make; each has to be answered by `onRead` or `onWritten`.
     */
    [[nodiscard]] HolderStep step();

    /**
     * @brief Takes the answer to a read.
     * @param shard Shard that was read.
     * @param stored Its state, or nothing if the read failed.
     */
    void onRead(std::size_t shard, const std::optional<StoredLedger> &stored);

    /**
     * @brief Takes the answer to a write.
     * @param shard Shard that was written.
     * @param end How it ended.
     * @param current State after a success or a conflict.
     */
    void onWritten(std::size_t shard, WriteEnd end, const std::optional<StoredLedger> &current);

private:
    struct GroupState {
        std::vector<Unit> units;
        std::uint32_t yielding{0}; /**< Rights kept back for peers. */
    };
    struct Shard {
        bool known{false};
        bool busy{false};
        bool stale{true};
        bool fenced{false}; /**< An earlier write may still take effect; the next write settles it. */
        std::uint64_t heard{0};
        std::uint64_t fencedRevision{0};
        StoredLedger stored;
        Account giving;
        Account fencedGiving;
    };
    [[nodiscard]] static std::uint32_t shardUnits(const GroupState &group, std::size_t index);
    [[nodiscard]] static std::uint32_t shardPart(const GroupState &group, std::size_t index, std::uint32_t count);
    [[nodiscard]] std::uint32_t held(const Unit &unit) const;
    [[nodiscard]] std::uint32_t bounded(const Unit &unit) const;
    [[nodiscard]] std::uint32_t heldOf(const GroupState &group) const;
    [[nodiscard]] std::uint32_t running(const Unit &unit) const;
    [[nodiscard]] std::uint32_t capacity(const Unit &unit) const;
    [[nodiscard]] std::uint32_t available(const GroupState &group) const;
    [[nodiscard]] std::uint32_t missing(const Group &group, const GroupState &state) const;
    [[nodiscard]] std::uint32_t surplus(const Group &group, const GroupState &state) const;
    [[nodiscard]] std::uint32_t lacking(const core::NodeId &peer, const Want &want) const;
    [[nodiscard]] std::uint32_t wantedByPeers(const Group &group) const;
    [[nodiscard]] std::uint32_t asked(const Group &group) const;

    void updateYield(const Group &group, GroupState &state);
    [[nodiscard]] bool hasWork(const Shard &shard) const;
    void planShard(std::size_t index, HolderStep &step);
    void dropDeparted(Ledger &ledger) const;
    void trim(Ledger &ledger, std::size_t index) const;
    void claim(Ledger &ledger, std::size_t index) const;
    void give(Ledger &ledger, std::size_t index) const;
    void giveTo(Ledger &ledger, std::size_t index, const core::NodeId &peer, const Want &want) const;
    [[nodiscard]] std::uint32_t spare(const Ledger &ledger, const Unit &unit) const;
    void adopt(Shard &shard, const StoredLedger &stored);

    core::NodeId m_self;
    config::Version m_version{0};
    bool m_surrendering{false};
    std::map<Group, GroupState> m_groups;
    std::map<Unit, std::uint32_t> m_capacity;
    std::map<Unit, std::uint32_t> m_running;
    PlanInput m_input;
    NodeDemands m_demands;
    std::map<core::NodeId, std::vector<Want>> m_wants;
    Plan m_plan;
    std::set<Group> m_short; /**< Groups that lacked something when the plan was made. */
    std::set<Group> m_yielding; /**< Groups that had something for peers then. */
    bool m_trimming{true}; /**< Accounts may add up to more than a bound. */
    std::set<core::NodeId> m_departed;
    std::vector<Shard> m_shards;
};

} // namespace oleanderwick::allotment

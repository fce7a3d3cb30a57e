#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "oleanderwick/allotment/allotment.hpp"

namespace oleanderwick::test
{

/** @brief Ledger shards in memory with compare-and-swap; `FleetModel` injects the store's faults: lost replies, late writes, outages. */
class MemoryLedgerStore
{
public:
    /** @brief Write that was sent and may still take effect. */
    struct LateWrite {
        allotment::LedgerWrite write;
    };

    [[nodiscard]] allotment::StoredLedger read(std::size_t shard) const
    {
        const auto found = m_shards.find(shard);
        return found == m_shards.end() ? allotment::StoredLedger{} : found->second;
    }

    bool apply(const allotment::LedgerWrite &write)
    {
        if (read(write.shard).revision != write.expectedRevision) {
            return false;
        }
        m_shards[write.shard] = allotment::StoredLedger{++m_revision, write.value};
        return true;
    }

private:
    std::uint64_t m_revision{0};
    std::map<std::size_t, allotment::StoredLedger> m_shards;
};

/** @brief Nodes with permit holders, running requests and one faulty store, advanced step by step. */
class FleetModel
{
public:
    struct Node {
        core::NodeId id;
        std::unique_ptr<allotment::PermitHolder> holder;
        std::map<allotment::LimitId, std::uint32_t> running;
        std::pair<std::uint32_t, std::uint32_t> demand; /**< Running and waiting requests as last set. */
        bool stopped{false};
    };

    FleetModel(std::size_t nodes, std::uint32_t limit, std::uint64_t seed)
        : m_random{seed}
        , m_limit{limit}
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            addNode();
        }
        setLimit(limit);
    }

    [[nodiscard]] static allotment::LimitId limitId()
    {
        return allotment::LimitId{allotment::LimitId::Kind::Team, "t"};
    }

    [[nodiscard]] static allotment::Group group()
    {
        return allotment::Group{allotment::Group::Kind::Team, "t"};
    }

    [[nodiscard]] std::uint32_t randomBelow(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(m_random() % bound);
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_nodes.size();
    }

    [[nodiscard]] Node &node(std::size_t index)
    {
        return m_nodes[index];
    }

    [[nodiscard]] std::uint32_t totalRunning() const
    {
        std::uint32_t sum = 0;
        for (const Node &entry : m_nodes) {
            const auto found = entry.running.find(limitId());
            sum += found == entry.running.end() ? 0 : found->second;
        }
        return sum;
    }

    [[nodiscard]] std::uint32_t totalHeld() const
    {
        return m_store.read(allotment::PermitHolder::shardOf(limitId())).ledger.total(limitId());
    }

    void addNode()
    {
        Node entry;
        entry.id = core::NodeId{"n" + std::to_string(m_nodes.size())};
        entry.holder = std::make_unique<allotment::PermitHolder>(entry.id, fleetSize);
        if (m_snapshot != nullptr) {
            entry.holder->configure(*m_snapshot);
        }
        m_nodes.push_back(std::move(entry));
    }

    void setLimit(std::uint32_t limit)
    {
        m_limit = limit;
        config::Record record;
        record.version = ++m_version;
        config::Team team;
        team.upperLimit = limit;
        record.document.teams.emplace(core::TeamId{"t"}, team);
        m_snapshot = std::make_shared<const config::Snapshot>(record);
        for (Node &entry : m_nodes) {
            entry.holder->configure(*m_snapshot);
        }
    }

    /** Crashes a node with a low probability. Once no request runs on a crashed node, the others may remove its permits. */
    void crash(std::size_t index)
    {
        Node &entry = m_nodes[index];
        if (!entry.stopped) {
            const bool enoughLeft = std::count_if(m_nodes.begin(),
                                                  m_nodes.end(),
                                                  [](const Node &other) {
                                                      return !other.stopped;
                                                  })
                > 3;
            entry.stopped = enoughLeft && randomBelow(20) == 0;
            return;
        }
        if (entry.running[limitId()] == 0) {
            for (Node &other : m_nodes) {
                other.holder->setDeparted({entry.id});
            }
        }
    }

    /** Starts up to `count` requests on a node within its usable permits; returns how many started. */
    std::uint32_t start(std::size_t index, std::uint32_t count)
    {
        Node &entry = m_nodes[index];
        std::uint32_t started = 0;
        while (!entry.stopped && started < count && entry.running[limitId()] < entry.holder->usable(limitId())) {
            ++entry.running[limitId()];
            ++started;
        }
        return started;
    }

    void finish(std::size_t index, std::uint32_t count)
    {
        std::uint32_t &running = m_nodes[index].running[limitId()];
        running -= std::min(count, running);
    }

    void setDemand(std::size_t index, std::uint32_t waiting)
    {
        Node &entry = m_nodes[index];
        const std::uint32_t running = entry.running[limitId()];
        entry.holder->setRunning(limitId(), running);
        entry.holder->setDemands({allotment::TeamDemand{core::PoolId{"p"}, core::TeamId{"t"}, running, waiting}});
        entry.demand = {running, waiting};
    }

    /** Sends one node's demand and permit requests to another. */
    void sendState(std::size_t from, std::size_t to)
    {
        if (from != to && !m_nodes[to].stopped) {
            const Node &sender = m_nodes[from];
            const allotment::TeamDemand demand{core::PoolId{"p"}, core::TeamId{"t"}, sender.demand.first, sender.demand.second};
            m_nodes[to].holder->setPeer(sender.id, {demand}, sender.holder->permitRequests(), sender.holder->sequences());
        }
    }

    /** Makes a node's store calls; `faulty` ones may fail, lose their reply or take effect later. */
    void step(std::size_t index, bool storeUnavailable, bool faulty)
    {
        Node &entry = m_nodes[index];
        if (entry.stopped) {
            return;
        }
        entry.holder->plan();
        const allotment::LedgerCalls calls = entry.holder->step();
        for (const allotment::LedgerRead &read : calls.reads) {
            const bool failed = storeUnavailable || (faulty && randomBelow(4) == 0);
            entry.holder->onRead(read.shard, failed ? std::nullopt : std::optional{m_store.read(read.shard)});
        }
        for (const allotment::LedgerWrite &write : calls.writes) {
            performWrite(entry, write, storeUnavailable, faulty);
        }
    }

    /** Applies or discards each late write at random. */
    void settleLateWrites()
    {
        for (const MemoryLedgerStore::LateWrite &lateWrite : m_lateWrites) {
            if (randomBelow(2) == 0) {
                m_store.apply(lateWrite.write);
            }
        }
        m_lateWrites.clear();
    }

private:
    void performWrite(Node &entry, const allotment::LedgerWrite &write, bool storeUnavailable, bool faulty)
    {
        using allotment::WriteOutcome;
        const std::uint32_t fault = faulty ? randomBelow(6) : 5;
        if (storeUnavailable || fault == 0) {
            entry.holder->onWritten(write.shard, WriteOutcome::NotSent, std::nullopt);
        } else if (fault == 1) {
            m_store.apply(write);
            entry.holder->onWritten(write.shard, WriteOutcome::Unknown, std::nullopt);
        } else if (fault == 2) {
            m_lateWrites.push_back(MemoryLedgerStore::LateWrite{write});
            entry.holder->onWritten(write.shard, WriteOutcome::Unknown, std::nullopt);
        } else {
            const bool done = m_store.apply(write);
            entry.holder->onWritten(write.shard, done ? WriteOutcome::Written : WriteOutcome::Conflict, m_store.read(write.shard));
        }
    }

    static constexpr std::size_t fleetSize = 7;

    std::mt19937_64 m_random;
    std::uint32_t m_limit;
    config::Version m_version{0};
    config::SnapshotPtr m_snapshot;
    MemoryLedgerStore m_store;
    std::deque<MemoryLedgerStore::LateWrite> m_lateWrites;
    std::vector<Node> m_nodes;
};

} // namespace oleanderwick::test

#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../peer/peer.hpp"
#include "../settings/settings.hpp"
#include "../store/store.hpp"
#include "config_keeper.hpp"
#include "config_writer.hpp"
#include "messages.hpp"

namespace oleanderwick::node
{

/** @brief Calls on the store that decisions and operators ask for. */
class StoreDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param store Connection of this duty.
     * @param keys Keys in use.
     * @param tasks Ring that it takes from; a `Quit` ends it.
     * @param decisions Ring that gets the answers.
     * @param keeper Gets accepted configurations.
     */
    StoreDuty(std::shared_ptr<store::Store> store, StoreKeys keys, StoreRing &tasks, DecisionRing &decisions, ConfigKeeper &keeper);

private:
    void run();
    void handle(const allotment::LedgerRead &read);
    void handle(const allotment::LedgerWrite &write);
    void handle(const PatchTask &task);
    void handle(const WaveTask &task);
    [[nodiscard]] static std::optional<allotment::StoredLedger> decode(const std::optional<store::KeyValue> &found);

    std::shared_ptr<store::Store> m_store;
    StoreKeys m_keys;
    StoreRing &m_tasks;
    DecisionRing &m_decisions;
    ConfigKeeper &m_keeper;
    std::jthread m_thread;
};

/** @brief Keeps the node's registration alive and reads the configuration's number, once a second. */
class HeartbeatDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param store Connection of this duty.
     * @param keys Keys in use.
     * @param self Name of this node.
     * @param decisions Ring that is told.
     * @param keeper Gets the configuration.
     */
    HeartbeatDuty(std::shared_ptr<store::Store> store, StoreKeys keys, core::NodeId self, DecisionRing &decisions, ConfigKeeper &keeper);

private:
    void run(const std::stop_token &stop);
    void beat();
    [[nodiscard]] bool keepRegistered();
    [[nodiscard]] bool readHead();

    std::shared_ptr<store::Store> m_store;
    StoreKeys m_keys;
    core::NodeId m_self;
    DecisionRing &m_decisions;
    ConfigKeeper &m_keeper;
    store::LeaseId m_lease{0};
    store::Revision m_headRevision{0};
    std::jthread m_thread;
};

/** @brief Watches the configuration. */
class WatchDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param store Connection of this duty.
     * @param keys Keys in use.
     * @param keeper Gets the configuration.
     */
    WatchDuty(std::shared_ptr<store::Store> store, StoreKeys keys, ConfigKeeper &keeper);

private:
    void run(const std::stop_token &stop);

    std::shared_ptr<store::Store> m_store;
    StoreKeys m_keys;
    ConfigKeeper &m_keeper;
    std::jthread m_thread;
};

/**
 * @brief Latest value that one duty tells the others.
 * @tparam Type What is told.
 */
template <typename Type>
class Slot
{
public:
    /** @brief What is told. */
    using value_type = Type;

    /** @return The latest value. */
    [[nodiscard]] value_type read() const
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        return m_value;
    }

    /**
     * @brief Replaces the value.
     * @param value New one.
     */
    void write(value_type value)
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        m_value = std::move(value);
    }

private:
    mutable std::mutex m_mutex;
    value_type m_value;
};

/** @brief Latest digest of this node, written by the decision duty. */
using DigestSlot = Slot<membership::Digest>;
/** @brief What runs and waits in each pool on all live nodes, written by the decision duty. */
using DemandSlot = Slot<std::map<core::PoolId, std::uint32_t>>;

/** @brief Exchanges digests with one peer, and fetches a larger configuration from it. */
class PeerDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param endpoint Control address of the peer.
     * @param settings Settings of the node.
     * @param own Digest of this node.
     * @param decisions Ring that gets the peer's digests.
     * @param keeper Gets the configuration.
     */
    PeerDuty(http::Endpoint endpoint, const settings::Settings &settings, DigestSlot &own, DecisionRing &decisions, ConfigKeeper &keeper);

private:
    void run(const std::stop_token &stop);

    peer::Link m_link;
    core::Duration m_period;
    DigestSlot &m_own;
    DecisionRing &m_decisions;
    ConfigKeeper &m_keeper;
    std::jthread m_thread;
};

/** @brief Writes the log and counts metrics. */
class TelemetryDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param items Ring that it takes from; a `Quit` ends it.
     * @param metrics Metrics to count in.
     */
    TelemetryDuty(TelemetryRing &items, telemetry::Metrics &metrics);

private:
    void run();

    TelemetryRing &m_items;
    telemetry::Metrics &m_metrics;
    std::jthread m_thread;
};

} // namespace oleanderwick::node

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

/** @brief Thread that makes the store calls requested by the decision duty and by operators. */
class StoreDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param store Store connection for this duty.
     * @param keys Store keys of the fleet.
     * @param tasks Ring of tasks; `Quit` ends the thread.
     * @param decisions Ring that receives the results of ledger calls.
     * @param keeper Receives accepted configurations.
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

/** @brief Thread that renews the node's registration and checks for a new configuration once a second. */
class HeartbeatDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param store Store connection for this duty.
     * @param keys Store keys of the fleet.
     * @param self Name of this node.
     * @param decisions Ring that receives confirmed contacts with the store and the registered nodes.
     * @param keeper Receives the configuration.
     */
    HeartbeatDuty(std::shared_ptr<store::Store> store, StoreKeys keys, core::NodeId self, DecisionRing &decisions, ConfigKeeper &keeper);

private:
    void run(const std::stop_token &stop);
    void sendHeartbeat();
    [[nodiscard]] bool keepRegistered();
    [[nodiscard]] bool refreshConfig();

    std::shared_ptr<store::Store> m_store;
    StoreKeys m_keys;
    core::NodeId m_self;
    DecisionRing &m_decisions;
    ConfigKeeper &m_keeper;
    store::LeaseId m_lease{0};
    store::Revision m_configRevision{0};
    std::jthread m_thread;
};

/** @brief Thread that watches the configuration in the store. */
class WatchDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param store Store connection for this duty.
     * @param keys Store keys of the fleet.
     * @param keeper Receives the configuration.
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
 * @brief Latest value that one duty publishes to other threads.
 * @tparam Type Type of the value; `read` copies it.
 */
template <typename Type>
class Slot
{
public:
    /** @brief Type of the value. */
    using value_type = Type;

    /** @return Copy of the latest value. */
    [[nodiscard]] value_type read() const
    {
        const std::lock_guard<std::mutex> lock{m_mutex};
        return m_value;
    }

    /**
     * @brief Replaces the value.
     * @param value New value.
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
/** @brief Number of running and waiting requests of each pool on all live nodes, written by the decision duty. */
using DemandSlot = Slot<std::map<core::PoolId, std::uint32_t>>;

/** @brief Thread that exchanges digests with one peer and fetches its configuration if that has a later version. */
class PeerDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param endpoint Control address of the peer.
     * @param settings Settings of the node.
     * @param own Digest of this node.
     * @param decisions Ring that receives the peer's digests.
     * @param keeper Receives the configuration.
     */
    PeerDuty(http::Endpoint endpoint, const settings::Settings &settings, DigestSlot &own, DecisionRing &decisions, ConfigKeeper &keeper);

private:
    void run(const std::stop_token &stop);

    peer::Link m_link;
    core::Duration m_period;
    DigestSlot &m_ownDigest;
    DecisionRing &m_decisions;
    ConfigKeeper &m_keeper;
    std::jthread m_thread;
};

/** @brief Thread that writes the log and updates the metrics. */
class TelemetryDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param items Ring of events and completions; `Quit` ends the thread.
     * @param metrics Metrics to update.
     */
    TelemetryDuty(TelemetryRing &items, telemetry::Metrics &metrics);

private:
    void run();

    TelemetryRing &m_items;
    telemetry::Metrics &m_metrics;
    std::jthread m_thread;
};

} // namespace oleanderwick::node

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "../maintenance/maintenance.hpp"
#include "duties.hpp"

namespace oleanderwick::node
{

/** @brief List of waves with its revision in the store. */
struct StoredWaveList {
    maintenance::WaveList list;
    store::Revision revision{};
};

/**
 * @brief Reads the list of waves.
 * @param store Store to read.
 * @param keys Store keys of the fleet.
 * @return The list, an empty one with revision 0 if there is none yet, or the error of the store or of parsing.
 */
[[nodiscard]] absl::StatusOr<StoredWaveList> readWaveList(store::Store &store, const StoreKeys &keys);

/**
 * @brief Changes the list of waves; retries after a conflicting write or a lost reply.
 * @param store Store to write.
 * @param keys Store keys of the fleet.
 * @param change Returns the changed list, or the same list if the change has been made already.
 * @return The stored list; the error of `change`; `Unavailable` if the change was not made; `DeadlineExceeded` if it may have been made.
 */
[[nodiscard]] absl::StatusOr<maintenance::WaveList> changeWaveList(store::Store &store,
                                                                   const StoreKeys &keys,
                                                                   const std::function<absl::StatusOr<maintenance::WaveList>(maintenance::WaveList)> &change);

/** @brief Client of the platform's instance service: lists and reboots instances; not thread-safe. */
class PlatformClient final : public maintenance::Platform
{
public:
    /**
     * @brief Creates a client without connecting.
     * @param endpoint Address of the platform.
     */
    explicit PlatformClient(http::Endpoint endpoint);

    [[nodiscard]] absl::StatusOr<maintenance::PlatformList> list() override;
    [[nodiscard]] absl::Status reboot(const core::InstanceId &instance, const std::string &mark) override;

private:
    http::Client m_client;
};

/**
 * @brief Thread that advances maintenance waves. Every node reads the list; the live node with the smallest name acts on it.
 *
 * Two nodes that act at once do no harm: each step is a compare-and-swap of the list, and the platform executes a reboot once per mark.
 */
class WaveDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param store Store connection for this duty.
     * @param platform Client of the platform, or null if none is configured; waves are then read but not advanced.
     * @param keys Store keys of the fleet.
     * @param own Digest of this node; its list of live nodes determines which node acts.
     * @param demands Number of running and waiting requests of each pool.
     * @param decisions Ring that receives the instances out of service.
     * @param telemetry Ring for events.
     * @param keeper Current configuration.
     */
    WaveDuty(std::shared_ptr<store::Store> store,
             std::unique_ptr<maintenance::Platform> platform,
             StoreKeys keys,
             DigestSlot &own,
             DemandSlot &demands,
             DecisionRing &decisions,
             TelemetryRing &telemetry,
             ConfigKeeper &keeper);

private:
    void run(const std::stop_token &stop);
    void refresh();
    void adopt(StoredWaveList stored);
    void advanceWaves();
    void advanceWave(const maintenance::Wave &wave, const maintenance::PlatformList &list);
    void reboot(const maintenance::Wave &wave, const maintenance::PoolView &view);
    [[nodiscard]] bool isActingNode() const;
    [[nodiscard]] std::optional<std::map<core::InstanceId, std::uint32_t>> permitsHeld();
    [[nodiscard]] std::optional<maintenance::PoolView> viewOf(const maintenance::Wave &wave, const maintenance::PlatformList &list);

    std::shared_ptr<store::Store> m_store;
    std::unique_ptr<maintenance::Platform> m_platform;
    StoreKeys m_keys;
    DigestSlot &m_ownDigest;
    DemandSlot &m_demands;
    DecisionRing &m_decisions;
    TelemetryRing &m_telemetry;
    ConfigKeeper &m_keeper;
    StoredWaveList m_stored;
    std::jthread m_thread;
};

} // namespace oleanderwick::node

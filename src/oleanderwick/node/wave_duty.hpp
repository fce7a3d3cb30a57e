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

/** @brief Book of waves with the revision at which the store holds it. */
struct StoredBook {
    maintenance::WaveList book;
    store::Revision revision{};
};

/**
 * @brief Reads the book of waves.
 * @param store Store to read.
 * @param keys Keys in use.
 * @return The book, an empty one if there is none yet, or an error.
 */
[[nodiscard]] absl::StatusOr<StoredBook> readBook(store::Store &store, const StoreKeys &keys);

/**
 * @brief Changes the book of waves, again after a race or a lost answer.
 * @param store Store to write.
 * @param keys Keys in use.
 * @param change Makes the new book; a change that was made already has to be a change of nothing.
 * @return The new book, the change's own error, `Unavailable`, or `DeadlineExceeded` if it may have been made.
 */
[[nodiscard]] absl::StatusOr<maintenance::WaveList> changeBook(store::Store &store,
                                                               const StoreKeys &keys,
                                                               const std::function<absl::StatusOr<maintenance::WaveList>(maintenance::WaveList)> &change);

/** @brief Client of the platform's list of instances; for one thread. */
class PlatformClient final : public maintenance::Platform
{
public:
    /**
     * @brief Prepares a client.
     * @param endpoint The platform's address.
     */
    explicit PlatformClient(http::Endpoint endpoint);

    [[nodiscard]] absl::StatusOr<maintenance::PlatformList> list() override;
    [[nodiscard]] absl::Status reboot(const core::InstanceId &instance, const std::string &mark) override;

private:
    http::Client m_client;
};

/**
 * @brief Carries waves on. Every node reads the book; the live node with the smallest name acts on it.
 *
 * Two nodes that act at once do no harm: each step is a swap of the book, and the platform does each reboot's mark once.
 */
class WaveDuty
{
public:
    /**
     * @brief Starts the thread.
     * @param store Connection of this duty.
     * @param platform The platform, or null if the settings name none.
     * @param keys Keys in use.
     * @param own Digest of this node, for the live nodes.
     * @param demands What the pools have to do.
     * @param decisions Ring that is told what is out of service.
     * @param telemetry Ring for events.
     * @param keeper Configuration in force.
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
    void adopt(StoredBook stored);
    void carryOn();
    void advanceWave(const maintenance::Wave &wave, const maintenance::PlatformList &list);
    void reboot(const maintenance::Wave &wave, const maintenance::PoolView &view);
    [[nodiscard]] bool actsForAll() const;
    [[nodiscard]] std::optional<std::map<core::InstanceId, std::uint32_t>> rightsOut();
    [[nodiscard]] std::optional<maintenance::PoolView> viewOf(const maintenance::Wave &wave, const maintenance::PlatformList &list);

    std::shared_ptr<store::Store> m_store;
    std::unique_ptr<maintenance::Platform> m_platform;
    StoreKeys m_keys;
    DigestSlot &m_own;
    DemandSlot &m_demands;
    DecisionRing &m_decisions;
    TelemetryRing &m_telemetry;
    ConfigKeeper &m_keeper;
    StoredBook m_stored;
    std::jthread m_thread;
};

} // namespace oleanderwick::node

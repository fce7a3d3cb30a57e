#pragma once

/** @file
 * @brief Stub of the platform's key-value service: the etcd v3 JSON gateway on loopback, with faults on demand.
 */

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "oleanderwick/core/core.hpp"

namespace oleanderwick::stub
{

/** @brief Faults of the stub. */
struct StoreFaults {
    bool away{false}; /**< Connections are closed without a reply, and no call takes effect. */
    bool silentWatches{false}; /**< Watches stay open and report no changes. */
    std::uint32_t delayMs{0}; /**< Delay of each call in milliseconds. */
    std::uint32_t loseEvery{0}; /**< One in this many transactions takes effect but loses its reply; 0 for none. */

    [[nodiscard]] bool operator==(const StoreFaults &) const = default;
};

/** @brief Number of calls served since the start. */
struct StoreCounts {
    std::uint64_t reads{0};
    std::uint64_t writes{0}; /**< Transactions and lease calls. */
    std::uint64_t watches{0}; /**< Always 0; watches are not counted. */

    [[nodiscard]] bool operator==(const StoreCounts &) const = default;
};

/** @brief In-memory key-value store behind the gateway; thread-safe. */
class StoreStub
{
public:
    /**
     * @brief Creates an empty store.
     * @param clock Clock for leases; has to outlive the stub.
     */
    explicit StoreStub(const core::Clock &clock);

    /** @return Current faults. */
    [[nodiscard]] StoreFaults faults() const;
    /** @return Number of calls served. */
    [[nodiscard]] StoreCounts counts() const;

    /**
     * @brief Sets the faults.
     * @param faults Faults of the calls from now on.
     */
    void setFaults(const StoreFaults &faults);

    /**
     * @brief Serves one call.
     * @param path Path of the gateway, such as `/v3/kv/range`.
     * @param body JSON body.
     * @param lost Set to whether the reply is to be dropped; only transactions set it.
     * @return JSON reply, or the error that the gateway would return.
     */
    [[nodiscard]] absl::StatusOr<nlohmann::json> call(const std::string &path, const nlohmann::json &body, bool &lost);

    /**
     * @brief Waits for a write of a watched key; removals are not reported.
     * @param key Key in base64.
     * @param after Revision after which writes count; set to the revision of the write that is returned.
     * @return JSON reply with the write; std::nullopt if there is none within 100 ms.
     */
    [[nodiscard]] std::optional<nlohmann::json> nextChange(const std::string &key, std::uint64_t &after);

private:
    struct Entry {
        std::string value;
        std::uint64_t revision{};
        std::uint64_t version{};
        std::uint64_t lease{};
    };
    struct Lease {
        core::Duration ttl{};
        core::TimePoint expiresAt;
    };

    [[nodiscard]] nlohmann::json header() const;
    [[nodiscard]] nlohmann::json entryJson(const std::string &key, const Entry &entry, bool keysOnly) const;
    [[nodiscard]] nlohmann::json range(const nlohmann::json &body) const;
    [[nodiscard]] absl::StatusOr<nlohmann::json> compareAndSwap(const nlohmann::json &body);
    [[nodiscard]] absl::StatusOr<nlohmann::json> lease(const std::string &path, const nlohmann::json &body);
    void removeExpiredLeases();
    void removeLease(std::uint64_t id);

    const core::Clock &m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    StoreFaults m_faults;
    StoreCounts m_counts;
    std::uint64_t m_revision{1};
    std::uint64_t m_lastLease{1000};
    std::uint64_t m_transactionCount{0};
    std::map<std::string, Entry> m_entries;
    std::map<std::uint64_t, Lease> m_leases;
};

/** @brief Serves a `StoreStub` on loopback with one thread for each connection; for stubs and tests only. */
class StoreServer
{
public:
    /**
     * @brief Starts to listen on 127.0.0.1.
     * @param stub Store to serve; has to outlive the server.
     * @param port Port; 0 for any free one.
     */
    StoreServer(StoreStub &stub, std::uint16_t port);
    ~StoreServer();
    StoreServer(const StoreServer &) = delete;
    StoreServer &operator=(const StoreServer &) = delete;

    /** @return Port that it listens on. */
    [[nodiscard]] std::uint16_t port() const noexcept;

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace oleanderwick::stub

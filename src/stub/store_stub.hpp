#pragma once

/** @file
 * @brief Stand-in for the platform's key-value service: the etcd v3 JSON gateway on loopback, with faults on demand.
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

/** @brief Faults that the stand-in shows. */
struct StoreFaults {
    bool away{false}; /**< Connections are closed without a word; nothing takes effect. */
    bool silentWatches{false}; /**< Watches stay open and tell nothing. */
    std::uint32_t delayMs{0}; /**< Each call takes this much longer. */
    std::uint32_t loseEvery{0}; /**< Each so many-th swap takes effect, but its answer is lost; 0 for none. */

    [[nodiscard]] bool operator==(const StoreFaults &) const = default;
};

/** @brief Calls served since the start. */
struct StoreCounts {
    std::uint64_t reads{0};
    std::uint64_t writes{0};
    std::uint64_t watches{0};

    [[nodiscard]] bool operator==(const StoreCounts &) const = default;
};

/** @brief The store itself; safe from any thread. */
class StoreStub
{
public:
    /**
     * @brief Starts empty.
     * @param clock Clock for leases; has to outlive the stub.
     */
    explicit StoreStub(const core::Clock &clock);

    /** @return Faults in force. */
    [[nodiscard]] StoreFaults faults() const;
    /** @return Calls served. */
    [[nodiscard]] StoreCounts counts() const;

    /**
     * @brief Sets the faults.
     * @param faults Faults from now on.
     */
    void setFaults(const StoreFaults &faults);

    /**
     * @brief Serves one call.
     * @param path Path of the gateway, such as `/v3/kv/range`.
     * @param body JSON body.
     * @param lost Set when the answer is to be lost.
     * @return JSON answer, or an error that the gateway would give.
     */
    [[nodiscard]] absl::StatusOr<nlohmann::json> call(const std::string &path, const nlohmann::json &body, bool &lost);

    /**
     * @brief Waits for a change of a watched key.
     * @param key Key in base64.
     * @param after Revision after which changes count; moved on to the one told.
     * @return JSON line of the change, or nothing after a short wait.
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
        core::Duration span{};
        core::TimePoint lapses;
    };

    [[nodiscard]] nlohmann::json header() const;
    [[nodiscard]] nlohmann::json entryJson(const std::string &key, const Entry &entry, bool keysOnly) const;
    [[nodiscard]] nlohmann::json range(const nlohmann::json &body) const;
    [[nodiscard]] absl::StatusOr<nlohmann::json> swap(const nlohmann::json &body);
    [[nodiscard]] absl::StatusOr<nlohmann::json> lease(const std::string &path, const nlohmann::json &body);
    void removeLapsed();
    void removeLease(std::uint64_t id);

    const core::Clock &m_clock;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    StoreFaults m_faults;
    StoreCounts m_counts;
    std::uint64_t m_revision{1};
    std::uint64_t m_lastLease{1000};
    std::uint64_t m_swaps{0};
    std::map<std::string, Entry> m_entries;
    std::map<std::uint64_t, Lease> m_leases;
};

/** @brief Serves a stub on loopback, a thread for each connection; for stand-ins and tests only. */
class StoreServer
{
public:
    /**
     * @brief Starts to listen on 127.0.0.1.
     * @param stub Store to serve; has to outlive the server.
     * @param port Port, or 0 for any.
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

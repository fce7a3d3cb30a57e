#pragma once

/** @file
 * @brief Interface to the platform's key-value service, and types of its results.
 */

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::store
{

/** @brief Value with the revision of its latest change. */
struct KeyValue {
    std::string key;
    std::string value;
    Revision revision{};

    [[nodiscard]] bool operator==(const KeyValue &) const = default;
};

/** @brief Result of a compare-and-swap. */
struct SwapResult {
    bool swapped{false};
    Revision revision{}; /**< Revision of the swap, if it was done. */
    std::optional<KeyValue> current; /**< Current entry of the key if the swap was rejected; empty if the key is absent. */

    [[nodiscard]] bool operator==(const SwapResult &) const = default;
};

/**
 * @brief Interface to the key-value service. Calls block, so each duty has its own connection; only `MemoryStore` is shared.
 *
 * `Unavailable` means that the call has no effect, now or later; `DeadlineExceeded` and `DataLoss` that it may have taken effect or still may.
 */
class Store
{
public:
    /** @brief Called after writes (not removals) of a watched key, and from time to time with `std::nullopt`; returns false to end the watch. */
    using OnChange = std::function<bool(const std::optional<KeyValue> &)>;

    virtual ~Store() = default;

    /**
     * @brief Reads a key.
     * @param key Key to read.
     * @return Its value and revision, `std::nullopt` if it is absent, or an error.
     */
    [[nodiscard]] virtual absl::StatusOr<std::optional<KeyValue>> read(const std::string &key) = 0;

    /**
     * @brief Reads the revision of a key without its value.
     * @param key Key to read.
     * @return Its revision, zero if it is absent, or an error.
     */
    [[nodiscard]] virtual absl::StatusOr<Revision> revision(const std::string &key) = 0;

    /**
     * @brief Lists all keys with a prefix.
     * @param prefix Prefix of the keys.
     * @return Keys without their values, or an error.
     */
    [[nodiscard]] virtual absl::StatusOr<std::vector<std::string>> keys(const std::string &prefix) = 0;

    /**
     * @brief Writes a key if it still has an expected revision.
     * @param key Key to write.
     * @param expected Revision that the key must have; zero if it must be absent.
     * @param value Value to write.
     * @param lease Lease with which the key is removed; zero for none.
     * @return Whether it was written, or an error; a key with another revision is a rejected swap, not an error.
     */
    [[nodiscard]] virtual absl::StatusOr<SwapResult> compareAndSwap(const std::string &key, Revision expected, const std::string &value, LeaseId lease) = 0;

    /**
     * @brief Creates a lease.
     * @param ttl Time until the lease expires unless it is kept alive; the platform's service gets whole seconds, rounded down.
     * @return Id of the lease, or an error.
     */
    [[nodiscard]] virtual absl::StatusOr<LeaseId> grantLease(core::Duration ttl) = 0;

    /**
     * @brief Renews a lease for its full time to live.
     * @param lease Lease to renew.
     * @return `NotFound` if it has expired or is unknown, or another error.
     */
    [[nodiscard]] virtual absl::Status keepAlive(LeaseId lease) = 0;

    /**
     * @brief Revokes a lease and removes its keys.
     * @param lease Lease to revoke.
     * @return Ok, or an error.
     */
    [[nodiscard]] virtual absl::Status revokeLease(LeaseId lease) = 0;

    /**
     * @brief Watches a key until the callback returns false or the stream ends.
     * @param key Key to watch.
     * @param after Only writes with a higher revision are reported; writes in quick succession may be reported as one, with the latest value.
     * @param onChange Called after writes, and from time to time with `std::nullopt`, so that it can end the watch.
     * @return Ok if the callback or the service ended the watch, or an error if the stream could not be opened or broke.
     */
    [[nodiscard]] virtual absl::Status watch(const std::string &key, Revision after, const OnChange &onChange) = 0;
};

} // namespace oleanderwick::store

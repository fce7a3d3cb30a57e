#pragma once

/** @file
 * @brief Port to the platform's key-value service, and a store inside the process.
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

/** @brief Answer to a compare-and-swap. */
struct SwapResult {
    bool swapped{false};
    Revision revision{}; /**< Revision after the swap, when it was done. */
    std::optional<KeyValue> current; /**< What the key holds, when it was not. */

    [[nodiscard]] bool operator==(const SwapResult &) const = default;
};

/**
 * @brief Port to the key-value service. Calls block; each duty has its own object.
 *
 * `Unavailable` means that the call did not and will not take effect, `DeadlineExceeded` that this is not known.
 */
class Store
{
public:
    /** @brief Takes each change of a watched key; false ends the watch. */
    using OnChange = std::function<bool(const std::optional<KeyValue> &)>;

    virtual ~Store() = default;

    /**
     * @brief Reads a key.
     * @param key Key to read.
     * @return Its value, nothing if it is absent, or an error.
     */
    [[nodiscard]] virtual absl::StatusOr<std::optional<KeyValue>> read(const std::string &key) = 0;

    /**
     * @brief Reads the revision of a key without its value.
     * @param key Key to read.
     * @return Its revision, zero if it is absent, or an error.
     */
    [[nodiscard]] virtual absl::StatusOr<Revision> revision(const std::string &key) = 0;

    /**
     * @brief Reads all keys that start with a prefix.
     * @param prefix Start of the keys.
     * @return Keys without their values, or an error.
     */
    [[nodiscard]] virtual absl::StatusOr<std::vector<std::string>> keys(const std::string &prefix) = 0;

    /**
     * @brief Writes a key if it has not changed.
     * @param key Key to write.
     * @param expected Revision that it has to have; zero if it has to be absent.
     * @param value Value to write.
     * @param lease Lease that the key is bound to, or zero.
     * @return Whether it was written, or an error.
     */
    [[nodiscard]] virtual absl::StatusOr<SwapResult> compareAndSwap(const std::string &key, Revision expected, const std::string &value, LeaseId lease) = 0;

    /**
     * @brief Makes a lease.
     * @param span Time for which it lasts without being kept alive.
     * @return Its number, or an error.
     */
    [[nodiscard]] virtual absl::StatusOr<LeaseId> grantLease(core::Duration span) = 0;

    /**
     * @brief Keeps a lease alive.
     * @param lease Lease to renew.
     * @return `NotFound` if it has lapsed.
     */
    [[nodiscard]] virtual absl::Status keepAlive(LeaseId lease) = 0;

    /**
     * @brief Ends a lease and removes its keys.
     * @param lease Lease to end.
     * @return Ok, or an error.
     */
    [[nodiscard]] virtual absl::Status revokeLease(LeaseId lease) = 0;

    /**
     * @brief Watches a key until the stream breaks or the callback ends it.
     * @param key Key to watch.
     * @param after Revision after which changes are told.
     * @param onChange Called for each change, and with nothing now and then.
     * @return Why it ended.
     */
    [[nodiscard]] virtual absl::Status watch(const std::string &key, Revision after, const OnChange &onChange) = 0;
};

} // namespace oleanderwick::store

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "oleanderwick/jobs/ports.hpp"

namespace oleanderwick::emulator
{

/** @brief Coordination store with revisions, transactions, leases and a history for watches; without I/O. */
class StoreModel
{
public:
    /** @brief Receives the reply to a watch; called once. */
    using OnChanges = std::function<void(const jobs::StoreReply &)>;

    /** @name Commands */
    /** @{ */

    /**
     * @brief Applies a change atomically.
     * @param change Conditions, writes and removals.
     * @return `Done`, `Conflict` with the present items of the conditions, or `NotFound` if the lease of a write does not exist.
     */
    jobs::StoreReply commit(const jobs::StoreChange &change);

    /**
     * @brief Creates a lease.
     * @param ttl Lifetime without renewal.
     * @param now Current virtual time.
     * @return `Done` with the number of the lease and its lifetime.
     */
    jobs::StoreReply grant(core::Duration ttl, core::TimePoint now);

    /**
     * @brief Renews a lease.
     * @param lease Number of the lease.
     * @param now Current virtual time.
     * @return `Done`, or `NotFound` if it does not exist or `expire` has removed it.
     */
    jobs::StoreReply renew(std::int64_t lease, core::TimePoint now);

    /**
     * @brief Removes expired leases and their keys, and answers the watches concerned.
     * @param now Current virtual time.
     */
    void expire(core::TimePoint now);

    /**
     * @brief Extends all leases, as if they had been paused during an outage.
     * @param span Time added to each lease.
     */
    void extendLeases(core::Duration span);

    /** @brief Drops the history; pending watches are answered with `Compacted`, and watches deliver changes again. */
    void compact();

    /** @brief Stops the delivery of changes to watches until `compact`; everything else works as usual. */
    void silenceWatches();

    /**
     * @brief Watches for changes.
     * @param prefix Prefix of the keys.
     * @param after Revision after which changes count.
     * @param onChanges Receives the changes, immediately if there are any; `Compacted` if the history no longer reaches back to `after`.
     * @return Number of the watch, for `cancelWatch`; 0 if it was answered immediately.
     */
    std::uint64_t watch(const std::string &prefix, std::int64_t after, OnChanges onChanges);

    /**
     * @brief Ends a pending watch; it is answered without changes and with the current revision or, while watches are silent, the one it started after.
     * @param watch Number of the watch; ignored if it was already answered.
     */
    void cancelWatch(std::uint64_t watch);

    /** @} */
    /** @name Queries */
    /** @{ */

    /**
     * @brief Reads a key.
     * @param key Full key.
     * @return The item, or `NotFound`.
     */
    [[nodiscard]] jobs::StoreReply read(const std::string &key) const;

    /**
     * @brief Reads a page of the keys with a prefix.
     * @param prefix Prefix of the keys.
     * @param after Last key of the page before; empty for the first page.
     * @return Up to 500 items in the order of their keys; `more` is set if others follow.
     */
    [[nodiscard]] jobs::StoreReply list(const std::string &prefix, const std::string &after) const;

    /** @return True from `silenceWatches` to the next `compact`. */
    [[nodiscard]] bool areWatchesSilent() const noexcept;

    /** @} */

private:
    struct Item {
        std::string value;
        std::int64_t revision{0};
        std::int64_t lease{0};
    };
    struct Lease {
        core::Duration ttl;
        core::TimePoint expiresAt;
    };
    struct Event {
        std::int64_t revision{0};
        std::string key;
        std::optional<std::string> value; /**< std::nullopt for a removal. */
    };
    struct Watch {
        std::string prefix;
        std::int64_t after{0};
        OnChanges onChanges;
    };

    [[nodiscard]] std::optional<jobs::StoreReply> changesSince(const std::string &prefix, std::int64_t after) const;
    void record(const std::string &key, const std::optional<std::string> &value);
    void notifyWatches();

    std::int64_t m_revision{1};
    bool m_watchesSilent{false};
    std::int64_t m_compactedRevision{0}; /**< Changes up to this revision are no longer in the history. */
    std::int64_t m_lastLease{0};
    std::uint64_t m_lastWatch{0};
    std::map<std::string, Item> m_items;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<Event> m_history;
    std::map<std::uint64_t, Watch> m_watches;
};

} // namespace oleanderwick::emulator

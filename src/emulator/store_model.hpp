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
    /** @brief Takes the answer of a watch, once. */
    using OnChanges = std::function<void(const jobs::StoreReply &)>;

    /** @name Commands */
    /** @{ */

    /**
     * @brief Makes a change, all of it or nothing.
     * @param change The change.
     * @return What became of it.
     */
    jobs::StoreReply commit(const jobs::StoreChange &change);

    /**
     * @brief Makes a lease.
     * @param ttl Time that it lasts without renewal.
     * @param now Present time.
     * @return Its number.
     */
    jobs::StoreReply grant(core::Duration ttl, core::TimePoint now);

    /**
     * @brief Renews a lease.
     * @param lease The lease.
     * @param now Present time.
     * @return `NotFound` if it has ended.
     */
    jobs::StoreReply renew(std::int64_t lease, core::TimePoint now);

    /**
     * @brief Removes the keys of leases that have ended.
     * @param now Present time.
     */
    void expire(core::TimePoint now);

    /**
     * @brief Gives all leases more time, as for an outage during which they pause.
     * @param span The time.
     */
    void extendLeases(core::Duration span);

    /** @brief Forgets the history, and ends the watches that wait for it. */
    void compact();

    /**
     * @brief Waits for changes.
     * @param prefix Prefix of the keys.
     * @param after Revision after which changes count.
     * @param onChanges Takes the changes, at once if there are any.
     * @return Number of the watch, for `endWatch`; 0 if it was answered at once.
     */
    std::uint64_t watch(const std::string &prefix, std::int64_t after, OnChanges onChanges);

    /**
     * @brief Ends a watch without changes; it is answered with the present revision.
     * @param watch Number of the watch.
     */
    void endWatch(std::uint64_t watch);

    /** @} */
    /** @name Queries */
    /** @{ */

    /**
     * @brief Reads a key.
     * @param key The key.
     * @return The item, or `NotFound`.
     */
    [[nodiscard]] jobs::StoreReply read(const std::string &key) const;

    /**
     * @brief Reads a page of the keys with a prefix.
     * @param prefix The prefix.
     * @param after Key after which the page begins.
     * @return The items.
     */
    [[nodiscard]] jobs::StoreReply list(const std::string &prefix, const std::string &after) const;

    /** @} */

private:
    struct Item {
        std::string value;
        std::int64_t revision{0};
        std::int64_t lease{0};
    };
    struct Lease {
        core::Duration ttl;
        core::TimePoint end;
    };
    struct Event {
        std::int64_t revision{0};
        std::string key;
        std::optional<std::string> value; /**< Nothing for a removal. */
    };
    struct Watch {
        std::string prefix;
        std::int64_t after{0};
        OnChanges onChanges;
    };

    [[nodiscard]] std::optional<jobs::StoreReply> changesSince(const std::string &prefix, std::int64_t after) const;
    void record(const std::string &key, const std::optional<std::string> &value);
    void answerWatches();

    std::int64_t m_revision{1};
    std::int64_t m_compacted{0}; /**< Changes up to this revision are forgotten. */
    std::int64_t m_lastLease{0};
    std::uint64_t m_lastWatch{0};
    std::map<std::string, Item> m_items;
    std::map<std::int64_t, Lease> m_leases;
    std::deque<Event> m_history;
    std::map<std::uint64_t, Watch> m_watches;
};

} // namespace oleanderwick::emulator

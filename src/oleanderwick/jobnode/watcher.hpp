#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "../core/core.hpp"
#include "../jobs/ports.hpp"
#include "fetch_result.hpp"

namespace oleanderwick::jobnode
{

/** @brief Follows all keys with a prefix: lists them, then watches for changes, and lists them again if the store has compacted its history. */
class Watcher
{
public:
    /** @brief Callbacks for the items and changes that a watcher sees. */
    struct Callbacks {
        std::function<void(const jobs::StoreItem &)> onItem; /**< An item was listed or written. */
        std::function<void(const std::string &)> onRemoved; /**< A key was removed. */
        std::function<void()> onListed; /**< All keys were listed, and the callbacks for them were made. */
        std::function<void(bool)> onCallResult; /**< A call succeeded (true) or failed (false); not called if the history was compacted; may be empty. */
    };

    /**
     * @brief Starts to list the keys.
     * @param executor Runs the retries.
     * @param store Store to follow.
     * @param prefix Prefix of the keys.
     * @param wait Maximum duration of one watch call; a connection that went silent is noticed soon after.
     * @param callbacks Receive the items and changes; not called after the watcher is destroyed.
     * @param batchDelay Delay of the next call after changes, so that changes that follow shortly share a call.
     */
    Watcher(core::Executor &executor,
            jobs::CoordinationStore &store,
            std::string prefix,
            core::Duration wait,
            Callbacks callbacks,
            core::Duration batchDelay = core::Duration::zero());
    ~Watcher();
    Watcher(const Watcher &) = delete;
    Watcher &operator=(const Watcher &) = delete;

    /** @brief Receives the result of a fetch; the item is set if the result is `Found`. */
    using OnFetched = std::function<void(FetchResult, const jobs::StoreItem &)>;

    /**
     * @brief Reads a key that the watch has not delivered.
     *
     * An item that is found counts as known: `onRemoved` is called for it if the next complete listing doesn't have it. `onItem` isn't called.
     * @param key Key with the prefix.
     * @param onFetched Called once with the result; not called after the watcher is destroyed.
     */
    void fetch(const std::string &key, OnFetched onFetched);

    /** @return Time at which a watch call last delivered changes, listings not included; the start of this watcher if none has. */
    [[nodiscard]] core::TimePoint lastChangesAt() const noexcept;

    /** @return Number of fetched keys that a watch call delivered afterwards without having been silent before, so that the fetch was not needed. */
    [[nodiscard]] std::uint64_t overtakenFetches() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

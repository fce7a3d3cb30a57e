#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "../core/core.hpp"
#include "../jobs/ports.hpp"

namespace oleanderwick::jobnode
{

/** @brief Follows all keys with a prefix: lists them, then watches, and lists again when the history is gone. */
class Watcher
{
public:
    /** @brief Takes what a watcher sees. */
    struct Callbacks {
        std::function<void(const jobs::StoreItem &)> onItem; /**< An item was read or written. */
        std::function<void(const std::string &)> onRemoved; /**< A key is no more. */
        std::function<void()> onListed; /**< A whole list was taken in. */
        std::function<void(bool)> onContact; /**< A call was answered, or was not. */
    };

    /**
     * @brief Starts to follow.
     * @param executor Runs its work.
     * @param store Store to follow.
     * @param prefix Prefix of the keys.
     * @param wait Longest wait of one watch; a silent connection is noticed soon after.
     * @param callbacks Take what is seen; not called any more once the watcher is gone.
     */
    Watcher(core::Executor &executor, jobs::CoordinationStore &store, std::string prefix, core::Duration wait, Callbacks callbacks);
    ~Watcher();
    Watcher(const Watcher &) = delete;
    Watcher &operator=(const Watcher &) = delete;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

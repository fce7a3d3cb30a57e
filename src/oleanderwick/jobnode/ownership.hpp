#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "../jobs/ports.hpp"
#include "log_sink.hpp"
#include "watcher.hpp"

namespace oleanderwick::jobnode
{

/** @brief Competes for the one owner's key, which is bound to a lease; its revision is the fencing token. */
class Ownership
{
public:
    /** @brief Takes changes of ownership. */
    struct Callbacks {
        std::function<void(std::int64_t)> onAcquired; /**< This node is the owner; with its fencing token. */
        std::function<void()> onLost; /**< This node is the owner no more. */
    };

    /**
     * @brief Starts to compete.
     * @param executor Runs its work.
     * @param store Store that keeps the key.
     * @param self Name of this node, unique for one run of its process.
     * @param handicap Time for which better suited nodes are let go first.
     * @param log Takes the log lines.
     * @param callbacks Take changes.
     */
    Ownership(core::Executor &executor, jobs::CoordinationStore &store, std::string self, core::Duration handicap, LogSink &log, Callbacks callbacks);
    ~Ownership();
    Ownership(const Ownership &) = delete;
    Ownership &operator=(const Ownership &) = delete;

    /**
     * @brief Tells whether no other node can be the owner at this time.
     * @param now Present time, read just before acting on the answer.
     * @return True if this node may give orders.
     */
    [[nodiscard]] bool holds(core::TimePoint now) const noexcept;

    /** @return The fencing token; 0 if this node is not the owner. */
    [[nodiscard]] std::int64_t token() const noexcept;

    /**
     * @brief Competes no more, and gives the key up if it is held.
     */
    void resign();

    /** @brief Takes in that the key was seen to belong to another owner. */
    void lose();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "../jobs/ports.hpp"
#include "log_sink.hpp"
#include "owner_record.hpp"
#include "watcher.hpp"

namespace oleanderwick::jobnode
{

/** @brief Election of the owner: the node named in the owner's key is the owner; the key is bound to a lease, and its revision is the fencing token. */
class Ownership
{
public:
    /** @brief Callbacks for changes of ownership. */
    struct Callbacks {
        std::function<void(std::int64_t)> onAcquired; /**< This node became the owner; the argument is its fencing token. */
        std::function<void()> onLost; /**< This node is no longer the owner. */
        /** Some node, which may be this one, is the owner; `std::nullopt`: the key doesn't exist. May be empty. */
        std::function<void(const std::optional<OwnerRecord> &)> onOwner{};
    };

    /**
     * @brief Starts to compete for ownership.
     * @param executor Runs the timers.
     * @param store Store of the key.
     * @param nodeName Name of this node, unique to one run of its process.
     * @param electionDelay Time for which this node waits before it claims the key, so that better suited nodes come first.
     * @param log Receives the log events.
     * @param callbacks Called on each change of ownership.
     * @param address Address for notices to this node, stored with its name; empty if it takes none.
     */
    Ownership(core::Executor &executor,
              jobs::CoordinationStore &store,
              std::string nodeName,
              core::Duration electionDelay,
              LogSink &log,
              Callbacks callbacks,
              std::string address = {});
    ~Ownership();
    Ownership(const Ownership &) = delete;
    Ownership &operator=(const Ownership &) = delete;

    /**
     * @brief Returns whether this node is the owner and no other node can be at this time.
     * @param now Current time of the monotonic clock, read just before acting on the result.
     * @return True if this node may send commands.
     */
    [[nodiscard]] bool isHeld(core::TimePoint now) const noexcept;

    /** @return Time before which `isHeld` is true unless the key is lost; the start of time if this node is not the owner. */
    [[nodiscard]] core::TimePoint validUntil() const noexcept;

    /** @return Fencing token; 0 if this node is not the owner. */
    [[nodiscard]] std::int64_t token() const noexcept;

    /**
     * @brief Stops competing, and removes the key if this node is the owner.
     */
    void resign();

    /**
     * @brief Reads the owner's key, as the watch may be silent; the result is handled as if the watch had delivered it.
     * @param onDone Called once with whether the store replied, after the callbacks; not called after this object is destroyed.
     */
    void lookUp(std::function<void(bool)> onDone);

    /** @brief Ends the ownership of this node after a sign that another node owns the key; the node then competes again. */
    void handleLoss();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

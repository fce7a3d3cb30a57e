#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "../jobs/ports.hpp"
#include "log_sink.hpp"

namespace oleanderwick::jobnode
{

/**
 * @brief Coordination store that is reached through other nodes while it refuses the calls of this node or does not reply to them.
 *
 * A call goes to the store directly or, if the last direct call failed, through another node. If it fails, it is sent the other way once; a call that
 * is not idempotent only if the store has certainly done nothing. An idempotent call whose direct reply is late is also sent through another node.
 */
class FailoverStore final : public jobs::CoordinationStore
{
public:
    /** @brief Path to the store through another node. */
    using Relay = std::shared_ptr<jobs::CoordinationStore>;

    /**
     * @brief Creates a store without relays.
     * @param executor Runs the timers.
     * @param direct Direct path to the store; must outlive this object.
     * @param log Receives the log events.
     */
    FailoverStore(core::Executor &executor, jobs::CoordinationStore &direct, LogSink &log);
    ~FailoverStore() override;

    /**
     * @brief Replaces the relays.
     * @param relays Paths through other nodes; the next one is used after one has failed.
     */
    void setRelays(std::vector<Relay> relays);

    void read(const std::string &key, OnReply onReply) override;
    void list(const std::string &prefix, const std::string &after, OnReply onReply) override;
    void watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onReply) override;
    void commit(const jobs::StoreChange &change, OnReply onReply) override;
    void grant(core::Duration ttl, OnReply onReply) override;
    void renew(std::int64_t lease, OnReply onReply) override;

    /** @return True if the last direct call failed; calls are then sent through other nodes first, if there are any. */
    [[nodiscard]] bool isDirectPathLost() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

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
 * @brief Coordination store that is reached through other nodes while it turns this one away or does not answer it.
 *
 * A call goes to the store itself unless the last ones failed. What can be repeated without harm is also sent through another node
 * when the answer is late; what cannot is sent there only if the store certainly did nothing.
 */
class FailoverStore final : public jobs::CoordinationStore
{
public:
    /** @brief The store as another node reaches it. */
    using Relay = std::shared_ptr<jobs::CoordinationStore>;

    /**
     * @brief Starts without relays.
     * @param executor Runs its work.
     * @param direct The store as this node reaches it; has to outlive this.
     * @param log Takes the log lines.
     */
    FailoverStore(core::Executor &executor, jobs::CoordinationStore &direct, LogSink &log);
    ~FailoverStore() override;

    /**
     * @brief Replaces the relays.
     * @param relays Other nodes; the first ones are tried first.
     */
    void setRelays(std::vector<Relay> relays);

    void read(const std::string &key, OnReply onAnswer) override;
    void list(const std::string &prefix, const std::string &after, OnReply onAnswer) override;
    void watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onAnswer) override;
    void commit(const jobs::StoreChange &change, OnReply onAnswer) override;
    void grant(core::Duration ttl, OnReply onAnswer) override;
    void renew(std::int64_t lease, OnReply onAnswer) override;

    /** @return True while calls are sent through other nodes first. */
    [[nodiscard]] bool isSuspect() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

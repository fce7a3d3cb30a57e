#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "loop.hpp"
#include "message.hpp"

namespace oleanderwick::http
{

namespace internal
{
class ServerState;
} // namespace internal

/** @brief Bounds on what a server takes in. */
struct ServerLimits {
    std::size_t maxHeaderBytes{16U << 10U};
    std::size_t maxBodyBytes{1U << 20U};
    std::size_t maxConnections{20'000};
    core::Duration headerTimeout{std::chrono::seconds{10}}; /**< From the first byte to the end of the headers. */
    core::Duration bodyTimeout{std::chrono::seconds{20}}; /**< For the body after it. */
    core::Duration idleTimeout{std::chrono::seconds{75}}; /**< Between two requests of a connection. */

    [[nodiscard]] bool operator==(const ServerLimits &) const = default;
};

/** @brief Sends the answer to one request; called once, from any thread. */
using Responder = std::function<void(Response)>;
/** @brief Takes whole requests on the loop's thread. */
using Handler = std::function<void(Request, Responder)>;

/** @brief HTTP/1.1 server; hands on whole requests only. */
class Server
{
public:
    /**
     * @brief Prepares a server.
     * @param loop Loop that it runs on; has to outlive it.
     * @param limits Bounds on what it takes in.
     * @param handler Takes the requests.
     */
    Server(Loop &loop, const ServerLimits &limits, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** @return Connections that have a request under way. */
    [[nodiscard]] std::size_t busy() const;

    /**
     * @brief Starts to listen.
     * @param address IP number and port; port 0 takes any.
     * @return Port that it listens on, or why it cannot.
     */
    [[nodiscard]] absl::StatusOr<std::uint16_t> listen(const std::string &address);

    /** @brief Ends each connection after its next answer; new ones are still taken. On the loop's thread. */
    void drain();

    /** @brief Takes no new connections and ends those without a request. On the loop's thread. */
    void close();

private:
    std::shared_ptr<internal::ServerState> m_state;
};

} // namespace oleanderwick::http

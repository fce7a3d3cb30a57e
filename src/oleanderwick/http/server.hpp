#pragma once

#include <cstddef>
#include <cstdint>
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

/** @brief Limits of a server on requests and connections. */
struct ServerLimits {
    std::size_t maxHeaderBytes{16U << 10U}; /**< Of the headers, of the trailers, and of each chunk header. */
    std::size_t maxHeaders{128}; /**< Number of headers, and of trailers. */
    std::size_t maxBodyBytes{1U << 20U};
    std::size_t maxConnections{20'000};
    std::size_t maxHeldBytes{64U << 20U}; /**< Memory that all incomplete and unanswered requests may hold. */
    std::size_t handlerBytesPerBodyByte{2}; /**< Memory that the handler needs for each byte of a request's body until it responds. */
    core::Duration headerTimeout{std::chrono::seconds{10}}; /**< From the first byte of a request to the end of its headers. */
    core::Duration bodyTimeout{std::chrono::seconds{20}}; /**< For the body of the request, and again for sending the response. */
    core::Duration idleTimeout{std::chrono::seconds{75}}; /**< Before the first and between two requests of a connection. */

    [[nodiscard]] bool operator==(const ServerLimits &) const = default;
};

/** @brief What the connections of a server use, and what it has refused or closed since its start. */
struct ServerFigures {
    std::size_t connections{0};
    std::size_t serving{0}; /**< Requests that are handled or whose response is being sent. */
    std::size_t heldBytes{0}; /**< Memory that requests and responses hold. */
    std::uint64_t malformed{0}; /**< Requests refused with 400. */
    std::uint64_t tooLarge{0}; /**< Requests refused with 413 or 431. */
    std::uint64_t overloaded{0}; /**< Requests refused with 503 for want of room. */
    std::uint64_t closedForRoom{0}; /**< Connections closed so that others have room. */
    std::uint64_t timedOut{0}; /**< Connections closed because a request or a response was not complete in time. */
    std::uint64_t acceptFailures{0};

    [[nodiscard]] bool operator==(const ServerFigures &) const = default;
};

/** @brief Sends the response to one request; called once, from any thread. */
using Responder = std::function<void(Response)>;
/** @brief Called with each complete request, on the loop's thread. */
using Handler = std::function<void(Request, Responder)>;

/** @brief HTTP/1.1 server, which passes only complete requests to its handler. */
class Server
{
public:
    /**
     * @brief Constructs a server, which does not listen yet.
     * @param loop Loop to run on; has to outlive the server.
     * @param limits Limits on requests and connections.
     * @param handler Handles the requests.
     */
    Server(Loop &loop, const ServerLimits &limits, Handler handler);

    /** @brief Closes all connections, also those with a request in progress. For the loop's thread, or after the loop has stopped. */
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /**
     * @brief Lowers the limit on connections for now, and closes those beyond it that are not being served. For the loop's thread only.
     * @param maxConnections New limit; the one of the server's limits where that is lower.
     */
    void limitConnections(std::size_t maxConnections);

    /** @return Figures of this moment. For the loop's thread only. */
    [[nodiscard]] ServerFigures figures() const;

    /** @return Number of connections with a request in progress, from its first byte until its response is sent. */
    [[nodiscard]] std::size_t busyConnections() const;

    /**
     * @brief Starts to listen.
     * @param address IP address and port; port 0 for any free port.
     * @return Port in use; `InvalidArgument` if the address is not valid, `Unavailable` if the server cannot listen on it.
     */
    [[nodiscard]] absl::StatusOr<std::uint16_t> listen(const std::string &address);

    /** @brief Closes each connection after its next response; new connections are still accepted. For the loop's thread only. */
    void drain();

    /** @brief Stops accepting connections; closes idle ones immediately and the others after their next response. For the loop's thread only. */
    void close();

private:
    std::shared_ptr<internal::ServerState> m_state;
};

} // namespace oleanderwick::http

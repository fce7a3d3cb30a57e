#pragma once

#include <memory>
#include <set>

#include <boost/asio/ip/tcp.hpp>

#include "../server.hpp"
#include "connection_table.hpp"
#include "loop_state.hpp"

namespace oleanderwick::http::internal
{

class Session;

/** @brief Listener and its open connections; for use on the loop's thread only. */
class ServerState : public std::enable_shared_from_this<ServerState>
{
public:
    /**
     * @brief Constructs a listener, which does not listen yet.
     * @param loop Loop to run on; has to outlive it.
     * @param limits Limits on requests and connections.
     * @param handler Handles the requests.
     */
    ServerState(LoopState &loop, const ServerLimits &limits, Handler handler);

    [[nodiscard]] const ServerLimits &limits() const noexcept
    {
        return m_limits;
    }

    [[nodiscard]] Deadlines &deadlines() noexcept
    {
        return m_loop.deadlines;
    }

    [[nodiscard]] ConnectionTable &table() noexcept
    {
        return m_table;
    }

    [[nodiscard]] bool draining() const noexcept
    {
        return m_draining;
    }

    /** @brief Adds one to a counter. */
    void count(std::uint64_t ServerFigures::*counter) noexcept
    {
        ++(m_figures.*counter);
    }

    [[nodiscard]] ServerFigures figures() const;
    [[nodiscard]] std::size_t busyConnections() const;
    [[nodiscard]] absl::StatusOr<std::uint16_t> listen(const Endpoint &endpoint);

    void handle(Request request, Responder responder)
    {
        m_handler(std::move(request), std::move(responder));
    }

    /**
     * @brief Gives up incomplete requests of other connections while all hold more than the limit.
     * @param requester Connection that holds more than before.
     * @return False if the request of `requester` itself has to be given up.
     */
    [[nodiscard]] bool makeRoomFor(const ConnectionTable::Entry &requester);

    void remove(const std::shared_ptr<Session> &session)
    {
        m_sessions.erase(session);
    }

    void limitConnections(std::size_t maxConnections);

    void drain()
    {
        m_draining = true;
    }

    void close();

    /** Closes everything, so that neither a session nor a pending operation keeps this state alive. */
    void shutDown();

private:
    void accept();
    /** Makes room if a client waits, and tries again after a pause. */
    void onAcceptFailure();
    void admit(boost::asio::ip::tcp::socket socket);
    /** Closes a connection, so that another one has room; false if all are being served. */
    bool closeOne();

    LoopState &m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    ServerLimits m_limits;
    Handler m_handler;
    bool m_draining{false};
    ConnectionTable m_table;
    ServerFigures m_figures;
    Deadlines::Timer m_acceptPause;
    std::set<std::shared_ptr<Session>> m_sessions;
};

} // namespace oleanderwick::http::internal

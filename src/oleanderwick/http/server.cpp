#include "server.hpp"

#include <algorithm>

#include <poll.h>

#include <absl/strings/str_cat.h>

#include "internal/server_state.hpp"
#include "internal/session.hpp"

namespace oleanderwick::http
{

namespace internal
{

namespace asio = boost::asio;

namespace
{

/** Time after a failure to accept, mostly for want of descriptors, until the next attempt. */
constexpr core::Duration acceptPause = std::chrono::milliseconds{50};

ConnectionLimits connectionLimits(const ServerLimits &limits)
{
    // A sixteenth of the connections is left for requests that are refused because all others are being served.
    const std::size_t reserve = std::max<std::size_t>(limits.maxConnections / 16, 1);
    return ConnectionLimits{
        limits.maxConnections, std::max<std::size_t>(limits.maxConnections - std::min(limits.maxConnections, reserve), 1), limits.maxHeldBytes};
}

} // namespace

ServerState::ServerState(LoopState &loop, const ServerLimits &limits, Handler handler)
    : m_loop{loop}
    , m_acceptor{loop.context}
    , m_limits{limits}
    , m_handler{std::move(handler)}
    , m_table{connectionLimits(limits)}
    , m_acceptPause{loop.deadlines, [this] {
                        accept();
                    }}
{
}

ServerFigures ServerState::figures() const
{
    ServerFigures figures = m_figures;
    figures.connections = m_table.size();
    figures.serving = m_table.serving();
    figures.heldBytes = m_table.heldBytes();
    return figures;
}

std::size_t ServerState::busyConnections() const
{
    std::size_t count = 0;
    for (const std::shared_ptr<Session> &session : m_sessions) {
        count += session->isBusy() ? 1 : 0;
    }
    return count;
}

absl::StatusOr<std::uint16_t> ServerState::listen(const Endpoint &endpoint)
{
    error_code error;
    const asio::ip::address address = asio::ip::make_address(endpoint.host, error);
    if (error) {
        return absl::InvalidArgumentError(absl::StrCat(endpoint.host, ": ", error.message()));
    }
    const asio::ip::tcp::endpoint local{address, endpoint.port};
    m_acceptor.open(local.protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address{true}, error);
    }
    if (!error) {
        m_acceptor.bind(local, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return absl::UnavailableError(absl::StrCat("cannot listen on ", endpoint.host, ":", endpoint.port, ": ", error.message()));
    }
    accept();
    return m_acceptor.local_endpoint().port();
}

void ServerState::accept()
{
    m_acceptor.async_accept(m_loop.context, [self = shared_from_this()](const error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || !self->m_acceptor.is_open()) {
            return;
        }
        if (error) {
            self->onAcceptFailure();
            return;
        }
        self->admit(std::move(socket));
        self->accept();
    });
}

void ServerState::onAcceptFailure()
{
    // Without a free descriptor, accepting fails also while no client waits, for whom a connection would have to be closed.
    pollfd listener{m_acceptor.native_handle(), POLLIN, 0};
    if (::poll(&listener, 1, 0) > 0) {
        count(&ServerFigures::acceptFailures);
        (void)closeOne();
    }
    m_acceptPause.arm(core::BootClock::now() + acceptPause);
}

void ServerState::admit(asio::ip::tcp::socket socket)
{
    error_code error;
    const asio::ip::tcp::endpoint client = socket.remote_endpoint(error);
    if (error || (!m_table.hasRoom() && !closeOne())) {
        return;
    }
    const std::shared_ptr<Session> session = std::make_shared<Session>(std::move(socket), client.address().to_string(), shared_from_this());
    m_sessions.insert(session);
    session->start();
}

bool ServerState::closeOne()
{
    const ConnectionTable::Entry *entry = m_table.chooseToClose();
    if (entry == nullptr) {
        return false;
    }
    count(&ServerFigures::closedForRoom);
    entry->session()->closeForRoom();
    return true;
}

bool ServerState::makeRoomFor(const ConnectionTable::Entry &requester)
{
    while (m_table.isOverHeldBytes()) {
        const ConnectionTable::Entry *victim = m_table.chooseToGiveUp();
        if (victim == nullptr || victim == &requester) {
            // What requests that are being served hold is not given up; a small request does not add to it.
            return requester.heldBytes() == 0;
        }
        victim->session()->giveUp();
    }
    return true;
}

void ServerState::limitConnections(std::size_t maxConnections)
{
    ServerLimits limits = m_limits;
    limits.maxConnections = std::min(limits.maxConnections, maxConnections);
    m_table.setLimits(connectionLimits(limits));
    while (m_table.size() > limits.maxConnections && closeOne()) { }
}

void ServerState::close()
{
    m_draining = true;
    error_code ignored;
    m_acceptPause.disarm();
    m_acceptor.close(ignored);
    const std::set<std::shared_ptr<Session>> sessions = m_sessions;
    for (const std::shared_ptr<Session> &session : sessions) {
        if (!session->isBusy()) {
            session->close();
        }
    }
}

void ServerState::shutDown()
{
    m_draining = true;
    error_code ignored;
    m_acceptPause.disarm();
    m_acceptor.close(ignored);
    // A session removes itself when it closes, and both refer to each other: a loop that runs no more handlers would never free them.
    const std::set<std::shared_ptr<Session>> sessions = std::move(m_sessions);
    m_sessions.clear();
    for (const std::shared_ptr<Session> &session : sessions) {
        session->close();
    }
}

} // namespace internal

Server::Server(Loop &loop, const ServerLimits &limits, Handler handler)
    : m_state{std::make_shared<internal::ServerState>(loop.state(), limits, std::move(handler))}
{
}

Server::~Server()
{
    m_state->shutDown();
}

void Server::limitConnections(std::size_t maxConnections)
{
    m_state->limitConnections(maxConnections);
}

ServerFigures Server::figures() const
{
    return m_state->figures();
}

std::size_t Server::busyConnections() const
{
    return m_state->busyConnections();
}

absl::StatusOr<std::uint16_t> Server::listen(const std::string &address)
{
    const absl::StatusOr<Endpoint> endpoint = parseEndpoint(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    return m_state->listen(*endpoint);
}

void Server::drain()
{
    m_state->drain();
}

void Server::close()
{
    m_state->close();
}

} // namespace oleanderwick::http

#include "server.hpp"

#include <optional>
#include <set>

#include <absl/strings/str_cat.h>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "internal/loop_state.hpp"
#include "internal/message_parser.hpp"

namespace oleanderwick::http
{

namespace internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

class Session;

/** @brief Listener and its open connections; for use on the loop's thread only. */
class ServerState : public std::enable_shared_from_this<ServerState>
{
public:
    ServerState(LoopState &loop, const ServerLimits &limits, Handler handler)
        : m_loop{loop}
        , m_acceptor{loop.context}
        , m_limits{limits}
        , m_handler{std::move(handler)}
    {
    }

    [[nodiscard]] const ServerLimits &limits() const noexcept
    {
        return m_limits;
    }

    [[nodiscard]] Deadlines &deadlines() noexcept
    {
        return m_loop.deadlines;
    }

    [[nodiscard]] bool draining() const noexcept
    {
        return m_draining;
    }

    [[nodiscard]] std::size_t busyConnections() const;
    [[nodiscard]] absl::StatusOr<std::uint16_t> listen(const Endpoint &endpoint);

    void handle(Request request, Responder responder)
    {
        m_handler(std::move(request), std::move(responder));
    }

    void add(const std::shared_ptr<Session> &session)
    {
        m_sessions.insert(session);
    }

    void remove(const std::shared_ptr<Session> &session)
    {
        m_sessions.erase(session);
    }

    void drain()
    {
        m_draining = true;
    }

    void close();

    /** Closes everything, so that neither a session nor a pending operation keeps this state alive. */
    void shutDown();

private:
    void accept();

    LoopState &m_loop;
    asio::ip::tcp::acceptor m_acceptor;
    ServerLimits m_limits;
    Handler m_handler;
    bool m_draining{false};
    std::set<std::shared_ptr<Session>> m_sessions;
};

/** @brief One connection, which handles one request at a time. */
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(asio::ip::tcp::socket socket, std::shared_ptr<ServerState> server)
        : m_stream{std::move(socket)}
        , m_server{std::move(server)}
        , m_timer{m_server->deadlines(), [this] {
                      // The operation in progress fails, which closes the session.
                      error_code ignored;
                      m_stream.close(ignored);
                  }}
    {
        error_code ignored;
        m_stream.set_option(asio::ip::tcp::no_delay{true}, ignored);
    }

    [[nodiscard]] bool isBusy() const noexcept
    {
        return m_busy;
    }

    void start()
    {
        waitForRequest();
    }

    void close()
    {
        error_code ignored;
        m_timer.disarm();
        m_stream.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        m_stream.close(ignored);
        m_server->remove(shared_from_this());
    }

private:
    using Parser = MessageParser<true>;

    void setTimeout(core::Duration timeout)
    {
        m_timer.arm(core::BootClock::now() + timeout);
    }

    void waitForRequest()
    {
        m_busy = false;
        m_parser.reset();
        if (m_buffer.size() > 0) {
            startRequest();
            return;
        }
        if (m_buffer.capacity() > headerReadBytes) {
            m_buffer.shrink_to_fit();
        }
        setTimeout(m_server->limits().idleTimeout);
        read(headerReadBytes);
    }

    void read(std::size_t maxBytes)
    {
        m_stream.async_read_some(m_buffer.prepare(maxBytes), [self = shared_from_this()](const error_code &error, std::size_t bytes) {
            self->onRead(error, bytes);
        });
    }

    void onRead(const error_code &error, std::size_t bytes)
    {
        if (error == asio::error::eof && m_parser.has_value()) {
            refuse(beast::http::error::partial_message);
            return;
        }
        if (error) {
            close();
            return;
        }
        m_buffer.commit(bytes);
        if (m_parser.has_value()) {
            parse();
        } else {
            startRequest();
        }
    }

    void startRequest()
    {
        m_busy = true;
        const ServerLimits &limits = m_server->limits();
        m_parser.emplace(MessageLimits{limits.maxHeaderBytes, limits.maxHeaders, limits.maxBodyBytes});
        setTimeout(limits.headerTimeout);
        parse();
    }

    void parse()
    {
        error_code error;
        switch (m_parser->feed(m_buffer, error)) {
        case ParseStep::NeedsMore:
            read(m_parser->is_header_done() ? bodyReadBytes : headerReadBytes);
            return;
        case ParseStep::HeaderComplete:
            onHeader();
            return;
        case ParseStep::Complete:
            onRequest();
            return;
        case ParseStep::Failed:
            break;
        }
        refuse(error);
    }

    void onHeader()
    {
        setTimeout(m_server->limits().bodyTimeout);
        const std::string *expect = findHeader(m_parser->message().headers, "Expect");
        if (expect == nullptr || !beast::iequals(*expect, "100-continue")) {
            parse();
            return;
        }
        static const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(m_stream, asio::buffer(line), [self = shared_from_this()](const error_code &error, std::size_t) {
            if (error) {
                self->close();
                return;
            }
            self->parse();
        });
    }

    void onRequest()
    {
        m_timer.disarm();
        m_keepAlive = m_parser->keep_alive();
        m_version = m_parser->version();
        Request request = m_parser->release();
        m_isHead = request.method == "HEAD";
        const std::weak_ptr<Session> weak = weak_from_this();
        asio::any_io_executor executor = m_stream.get_executor();
        m_server->handle(std::move(request), [weak, executor](Response response) {
            // Runs immediately if the response comes from the loop's own thread.
            asio::dispatch(executor, [weak, outgoing = std::move(response)]() mutable {
                if (const std::shared_ptr<Session> self = weak.lock()) {
                    self->send(std::move(outgoing));
                }
            });
        });
    }

    void send(Response response)
    {
        m_response.emplace();
        m_response->version(m_version);
        m_response->result(static_cast<unsigned>(response.status));
        for (const Header &header : response.headers) {
            m_response->insert(header.name, header.value);
        }
        const bool closing = !m_keepAlive || m_server->draining();
        m_response->keep_alive(!closing);
        const bool bodyless = response.status == statusNoContent || response.status == statusNotModified;
        if (m_isHead || bodyless) {
            // Keeps the handler's headers: Content-Length may be that of a body which a response to HEAD omits.
            m_response->body().clear();
        } else {
            m_response->body() = std::move(response.body);
            m_response->prepare_payload();
        }
        m_serializer.emplace(*m_response);
        m_serializer->split(m_isHead);
        setTimeout(m_server->limits().bodyTimeout);
        beast::http::async_write(m_stream, *m_serializer, [self = shared_from_this(), closing](const error_code &error, std::size_t) {
            if (error || closing) {
                self->close();
                return;
            }
            self->waitForRequest();
        });
    }

    /** Answers a request that is malformed or over a limit; it was not handled. */
    void refuse(const error_code &error)
    {
        m_keepAlive = false;
        m_isHead = false;
        m_version = 11;
        const int status = error == beast::http::error::body_limit ? 413 : error == beast::http::error::header_limit ? 431 : 400;
        send(Response{status,
                      {{"Content-Type", "application/problem+json"}},
                      absl::StrCat(R"({"status":)", status, R"(,"outcome":"not-run","reason":"bad_request","detail":")", error.message(), "\"}")});
    }

    static constexpr std::size_t headerReadBytes = 4096;
    static constexpr std::size_t bodyReadBytes = 16U << 10U;
    static constexpr int statusNoContent = 204;
    static constexpr int statusNotModified = 304;

    asio::ip::tcp::socket m_stream;
    std::shared_ptr<ServerState> m_server;
    Deadlines::Timer m_timer;
    beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::optional<beast::http::response<beast::http::string_body>> m_response;
    std::optional<beast::http::response_serializer<beast::http::string_body>> m_serializer;
    bool m_busy{false};
    bool m_keepAlive{true};
    bool m_isHead{false};
    unsigned m_version{11};
};

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
        if (!error && self->m_sessions.size() < self->m_limits.maxConnections) {
            const std::shared_ptr<Session> session = std::make_shared<Session>(std::move(socket), self);
            self->add(session);
            session->start();
        }
        self->accept();
    });
}

void ServerState::close()
{
    m_draining = true;
    error_code ignored;
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

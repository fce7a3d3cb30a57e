#include "server.hpp"

#include <optional>
#include <set>

#include <absl/strings/str_cat.h>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "internal/loop_state.hpp"

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
    using Parser = beast::http::request_parser<beast::http::string_body>;

    void setTimeout(core::Duration timeout)
    {
        m_timer.arm(core::BootClock::now() + timeout);
    }

    void waitForRequest()
    {
        m_busy = false;
        if (m_buffer.size() > 0) {
            readHeader();
            return;
        }
        setTimeout(m_server->limits().idleTimeout);
        m_stream.async_read_some(m_buffer.prepare(firstReadBytes), [self = shared_from_this()](const error_code &error, std::size_t bytes) {
            if (error) {
                self->close();
                return;
            }
            self->m_buffer.commit(bytes);
            self->readHeader();
        });
    }

    void readHeader()
    {
        m_busy = true;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_server->limits().maxHeaderBytes));
        m_parser->body_limit(m_server->limits().maxBodyBytes);
        setTimeout(m_server->limits().headerTimeout);
        beast::http::async_read_header(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const error_code &error, std::size_t) {
            self->onHeader(error);
        });
    }

    void onHeader(const error_code &error)
    {
        if (error) {
            handleError(error);
            return;
        }
        if (beast::iequals(m_parser->get()[beast::http::field::expect], "100-continue") && !m_parser->is_done()) {
            sendContinue();
            return;
        }
        readBody();
    }

    void sendContinue()
    {
        static const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
        asio::async_write(m_stream, asio::buffer(line), [self = shared_from_this()](const error_code &error, std::size_t) {
            if (error) {
                self->close();
                return;
            }
            self->readBody();
        });
    }

    void readBody()
    {
        if (m_parser->is_done()) {
            onRequest();
            return;
        }
        setTimeout(m_server->limits().bodyTimeout);
        beast::http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (error) {
                self->handleError(error);
                return;
            }
            self->onRequest();
        });
    }

    void onRequest()
    {
        m_timer.disarm();
        beast::http::request<beast::http::string_body> message = m_parser->release();
        m_keepAlive = message.keep_alive();
        m_version = message.version();
        m_isHead = message.method() == beast::http::verb::head;
        Request request;
        request.method = std::string{message.method_string()};
        request.target = std::string{message.target()};
        for (const auto &field : message) {
            request.headers.push_back(Header{std::string{field.name_string()}, std::string{field.value()}});
        }
        request.body = std::move(message.body());
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

    void handleError(const error_code &error)
    {
        if (error == beast::http::error::end_of_stream || error == asio::error::eof || error == asio::error::connection_reset
            || error == asio::error::operation_aborted) {
            close();
            return;
        }
        m_keepAlive = false;
        m_isHead = false;
        m_version = 11;
        const int status = error == beast::http::error::body_limit ? 413 : error == beast::http::error::header_limit ? 431 : 400;
        send(Response{status,
                      {{"Content-Type", "application/problem+json"}},
                      absl::StrCat(R"({"status":)", status, R"(,"outcome":"not-run","reason":"bad_request","detail":")", error.message(), "\"}")});
    }

    static constexpr std::size_t firstReadBytes = 4096;
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

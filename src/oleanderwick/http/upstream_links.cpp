#include "upstream_links.hpp"

#include <deque>
#include <map>
#include <optional>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
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
using routing::ExchangeOutcome;

constexpr core::Duration connectTimeout = std::chrono::seconds{1};
constexpr core::Duration maxIdleTime = std::chrono::seconds{15};
constexpr core::Duration maxFreshIdleTime = std::chrono::seconds{1};
constexpr std::size_t maxResponseHeaderBytes = 64U << 10U;
constexpr std::size_t maxResponseHeaders = 256;
/** Most responses arrive whole in one read of this size. */
constexpr std::size_t firstReadBytes = 8U << 10U;
constexpr std::size_t bodyReadBytes = 16U << 10U;
constexpr int serviceUnavailable = 503;

/** @brief Socket to an upstream, which is counted while it exists. */
class CountedSocket : public asio::ip::tcp::socket
{
public:
    CountedSocket(asio::io_context &context, std::shared_ptr<std::size_t> count)
        : asio::ip::tcp::socket{context}
        , m_count{std::move(count)}
    {
        ++*m_count;
    }

    ~CountedSocket()
    {
        --*m_count;
    }

    CountedSocket(const CountedSocket &) = delete;
    CountedSocket &operator=(const CountedSocket &) = delete;

private:
    std::shared_ptr<std::size_t> m_count;
};

/** @brief Open connection that no exchange uses. */
struct IdleConnection {
    std::unique_ptr<CountedSocket> stream;
    core::TimePoint since;
};

void setSocketOptions(asio::ip::tcp::socket &socket)
{
    constexpr int userTimeoutMs = 10'000;
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof userTimeoutMs);
}

/** Checks that an idle connection is still open and has no unread data, which would be taken for the next response. */
bool isReusable(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

class Attempt;

/** @brief Exchanges with a limit on their number, for one upstream. */
struct LimitedExchanges {
    std::size_t running{0};
    std::deque<std::shared_ptr<Attempt>> waiting;
};

/** @brief Idle connections and limited exchanges by address. */
class ConnectionsState : public std::enable_shared_from_this<ConnectionsState>
{
public:
    ConnectionsState(LoopState &loop, std::size_t maxHeldBytes)
        : m_loop{loop}
        , m_memory{std::make_shared<MemoryBudget>(maxHeldBytes)}
    {
    }

    [[nodiscard]] std::unique_ptr<CountedSocket> makeSocket()
    {
        return std::make_unique<CountedSocket>(m_loop.context, m_socketCount);
    }

    [[nodiscard]] std::size_t sockets() const noexcept
    {
        return *m_socketCount;
    }

    [[nodiscard]] const std::shared_ptr<MemoryBudget> &memory() const noexcept
    {
        return m_memory;
    }

    [[nodiscard]] LoopState &loop() noexcept
    {
        return m_loop;
    }

    [[nodiscard]] std::unique_ptr<CountedSocket> takeIdle(const std::string &address, bool fresh)
    {
        std::deque<IdleConnection> &connections = m_idle[address];
        const core::TimePoint now = core::BootClock::now();
        while (!connections.empty() && now - connections.front().since >= maxIdleTime) {
            connections.pop_front();
        }
        while (!connections.empty()) {
            if (fresh && now - connections.back().since >= maxFreshIdleTime) {
                return nullptr;
            }
            std::unique_ptr<CountedSocket> stream = std::move(connections.back().stream);
            connections.pop_back();
            if (isReusable(*stream)) {
                return stream;
            }
        }
        return nullptr;
    }

    void keepIdle(const std::string &address, std::unique_ptr<CountedSocket> stream, std::size_t maxIdle)
    {
        std::deque<IdleConnection> &connections = m_idle[address];
        connections.push_back(IdleConnection{std::move(stream), core::BootClock::now()});
        while (connections.size() > maxIdle) {
            connections.pop_front();
        }
    }

    /** Returns true if a limited exchange may use a connection now; otherwise it is started once another one ends. */
    [[nodiscard]] bool admit(const std::string &address, std::size_t maxConcurrent, const std::shared_ptr<Attempt> &attempt);
    /** Starts the next waiting exchange in place of one that has ended. */
    void release(const std::string &address);
    /** Drops all waiting exchanges without a result: they refer to this state, which refers to them. */
    void abandonWaiting();
    /** Removes an exchange that gave up waiting. */
    void withdraw(const std::string &address, const Attempt *attempt);

    /** Closes the idle connections to an address: after a timeout on one connection the others may be dead too. */
    void closeIdle(const std::string &address)
    {
        m_idle.erase(address);
    }

    /** Closes connections that were idle for too long, and removes the entries of upstreams without any. */
    void closeExpired()
    {
        const core::TimePoint now = core::BootClock::now();
        for (std::pair<const std::string, std::deque<IdleConnection>> &entry : m_idle) {
            std::deque<IdleConnection> &connections = entry.second;
            while (!connections.empty() && now - connections.front().since >= maxIdleTime) {
                connections.pop_front();
            }
        }
        std::erase_if(m_idle, [](const std::pair<const std::string, std::deque<IdleConnection>> &entry) {
            return entry.second.empty();
        });
    }

private:
    LoopState &m_loop;
    std::shared_ptr<MemoryBudget> m_memory;
    std::shared_ptr<std::size_t> m_socketCount{std::make_shared<std::size_t>(0)};
    std::map<std::string, std::deque<IdleConnection>> m_idle;
    std::map<std::string, LimitedExchanges> m_limited;
};

/** @brief One exchange, from the connection to the complete response. */
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(std::shared_ptr<ConnectionsState> connections, Exchange exchange, UpstreamConnections::OnResult onResult)
        : m_connections{std::move(connections)}
        , m_exchange{std::move(exchange)}
        , m_onResult{std::move(onResult)}
        , m_memory{std::make_shared<MemoryBudget::Share>(m_connections->memory(), m_exchange.mayUseReserve)}
        , m_deadline{core::BootClock::now() + m_exchange.timeout}
        , m_timer{m_connections->loop().deadlines, [this] {
                      onDeadline();
                  }}
    {
    }

    void start()
    {
        if (m_exchange.maxConcurrent == 0) {
            proceed();
            return;
        }
        if (m_connections->admit(m_exchange.address, m_exchange.maxConcurrent, shared_from_this())) {
            m_isAdmitted = true;
            proceed();
            return;
        }
        m_timer.arm(std::min(m_deadline, m_exchange.sendBefore));
    }

    /** Continues after another limited exchange has ended. */
    void admitted()
    {
        m_timer.disarm();
        m_isAdmitted = true;
        proceed();
    }

private:
    void onDeadline()
    {
        if (m_stream == nullptr) {
            const std::shared_ptr<Attempt> self = shared_from_this();
            m_connections->withdraw(m_exchange.address, this);
            finish(ExchangeOutcome::NothingSent);
            return;
        }
        // The operation in progress fails.
        error_code ignored;
        m_timedOut = true;
        m_stream->close(ignored);
    }

    void proceed()
    {
        m_stream = m_connections->takeIdle(m_exchange.address, m_exchange.freshConnection);
        if (m_stream != nullptr) {
            send();
            return;
        }
        connect();
    }

    using Message = beast::http::request<beast::http::string_body>;
    using Parser = MessageParser<false>;

    void connect()
    {
        const absl::StatusOr<Endpoint> endpoint = parseEndpoint(m_exchange.address);
        error_code error;
        const asio::ip::address address = endpoint.ok() ? asio::ip::make_address(endpoint->host, error) : asio::ip::address{};
        if (!endpoint.ok() || error) {
            finish(ExchangeOutcome::NotConnected);
            return;
        }
        m_stream = m_connections->makeSocket();
        m_timer.arm(std::min(m_deadline, core::BootClock::now() + connectTimeout));
        m_stream->async_connect(asio::ip::tcp::endpoint{address, endpoint->port}, [self = shared_from_this()](const error_code &failed) {
            if (failed || self->m_timedOut) {
                self->finish(ExchangeOutcome::NotConnected);
                return;
            }
            setSocketOptions(*self->m_stream);
            self->send();
        });
    }

    void send()
    {
        if (core::BootClock::now() >= m_exchange.sendBefore) {
            m_connections->keepIdle(m_exchange.address, std::move(m_stream), m_exchange.maxIdleConnections);
            finish(ExchangeOutcome::NothingSent);
            return;
        }
        m_message.version(11);
        m_message.method_string(m_exchange.request.method);
        m_message.target(m_exchange.request.target);
        for (const Header &header : m_exchange.request.headers) {
            m_message.insert(header.name, header.value);
        }
        m_message.set(beast::http::field::host, m_exchange.address);
        if (!m_exchange.requestId.empty()) {
            m_message.set(requestIdHeader, m_exchange.requestId);
        }
        m_message.body() = std::move(m_exchange.request.body);
        m_message.prepare_payload();
        m_timer.arm(m_deadline);
        beast::http::async_write(*m_stream, m_message, [self = shared_from_this()](const error_code &error, std::size_t bytes) {
            if (!error) {
                self->startResponse();
                self->read(firstReadBytes);
                return;
            }
            self->finish(bytes == 0 ? ExchangeOutcome::NothingSent : ExchangeOutcome::PartSent);
        });
    }

    void startResponse()
    {
        m_parser.emplace(MessageLimits{maxResponseHeaderBytes, maxResponseHeaders, m_exchange.maxResponseBytes});
        if (m_message.method() == beast::http::verb::head) {
            m_parser->skip(true);
        }
    }

    void read(std::size_t maxBytes)
    {
        m_stream->async_read_some(m_buffer.prepare(maxBytes), [self = shared_from_this()](const error_code &error, std::size_t bytes) {
            if (error) {
                self->finish(self->outcomeOf(error));
                return;
            }
            self->m_buffer.commit(bytes);
            self->parse();
        });
    }

    void parse()
    {
        error_code error;
        ParseStep step = m_parser->feed(m_buffer, error);
        while (step != ParseStep::Failed && m_parser->is_header_done() && m_parser->message().status < 200) {
            // Skips an interim response.
            startResponse();
            step = m_parser->feed(m_buffer, error);
        }
        if (step == ParseStep::HeaderComplete) {
            if (m_parser->need_eof()) {
                // The body ends with the connection, so a truncated response would look complete.
                finish(ExchangeOutcome::BrokenResponse);
                return;
            }
            step = m_parser->feed(m_buffer, error);
        }
        switch (step) {
        case ParseStep::NeedsMore:
        case ParseStep::HeaderComplete:
            if (!m_memory->resize(m_buffer.capacity() + m_parser->heldBytes())) {
                finish(ExchangeOutcome::TooLarge);
                return;
            }
            read(m_parser->is_header_done() ? bodyReadBytes : firstReadBytes);
            return;
        case ParseStep::Complete:
            onResponse();
            return;
        case ParseStep::Failed:
            finish(outcomeOf(error));
            return;
        }
    }

    void onResponse()
    {
        const std::vector<Header> &headers = m_parser->message().headers;
        const std::string *echoed = findHeader(headers, requestIdHeader);
        if (!m_exchange.requestId.empty() && echoed != nullptr && *echoed != m_exchange.requestId) {
            finish(ExchangeOutcome::WrongResponse);
            return;
        }
        const std::string *outcome = findHeader(headers, outcomeHeader);
        const bool refused = m_parser->message().status == serviceUnavailable && outcome != nullptr && *outcome == "not-run";
        if (m_parser->keep_alive() && m_buffer.size() == 0) {
            m_connections->keepIdle(m_exchange.address, std::move(m_stream), m_exchange.maxIdleConnections);
        }
        finish(refused ? ExchangeOutcome::RefusedNotRun : ExchangeOutcome::Complete);
    }

    [[nodiscard]] ExchangeOutcome outcomeOf(const error_code &error) const
    {
        if (m_timedOut) {
            return ExchangeOutcome::TimedOut;
        }
        if (error == beast::http::error::body_limit) {
            return ExchangeOutcome::TooLarge;
        }
        return m_parser->got_some() ? ExchangeOutcome::BrokenResponse : ExchangeOutcome::NoResponse;
    }

    void finish(ExchangeOutcome outcome)
    {
        m_timer.disarm();
        ExchangeResult result;
        result.outcome = outcome;
        if (outcome == ExchangeOutcome::Complete) {
            result.response = m_parser->release();
            result.response.memory = std::move(m_memory);
            result.leaving = findHeader(result.response.headers, leavingHeader) != nullptr;
        }
        m_stream.reset();
        if (outcome == ExchangeOutcome::TimedOut) {
            m_connections->closeIdle(m_exchange.address);
        }
        if (m_isAdmitted) {
            m_isAdmitted = false;
            m_connections->release(m_exchange.address);
        }
        m_onResult(std::move(result));
    }

    std::shared_ptr<ConnectionsState> m_connections;
    Exchange m_exchange;
    UpstreamConnections::OnResult m_onResult;
    std::shared_ptr<MemoryBudget::Share> m_memory; /**< Of the response. */
    core::TimePoint m_deadline;
    Deadlines::Timer m_timer;
    bool m_timedOut{false};
    bool m_isAdmitted{false}; /**< Counts towards the limit of its upstream. */
    std::unique_ptr<CountedSocket> m_stream;
    Message m_message;
    beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
};

bool ConnectionsState::admit(const std::string &address, std::size_t maxConcurrent, const std::shared_ptr<Attempt> &attempt)
{
    LimitedExchanges &limited = m_limited[address];
    if (limited.running < maxConcurrent) {
        ++limited.running;
        return true;
    }
    limited.waiting.push_back(attempt);
    return false;
}

void ConnectionsState::release(const std::string &address)
{
    const auto limited = m_limited.find(address);
    if (limited == m_limited.end()) {
        return;
    }
    if (limited->second.waiting.empty()) {
        if (--limited->second.running == 0) {
            m_limited.erase(limited);
        }
        return;
    }
    const std::shared_ptr<Attempt> next = limited->second.waiting.front();
    limited->second.waiting.pop_front();
    next->admitted();
}

void ConnectionsState::abandonWaiting()
{
    const std::map<std::string, LimitedExchanges> abandoned = std::move(m_limited);
    m_limited.clear();
}

void ConnectionsState::withdraw(const std::string &address, const Attempt *attempt)
{
    std::erase_if(m_limited[address].waiting, [attempt](const std::shared_ptr<Attempt> &waiting) {
        return waiting.get() == attempt;
    });
}

} // namespace internal

UpstreamConnections::UpstreamConnections(Loop &loop, std::size_t maxHeldBytes)
    : m_state{std::make_shared<internal::ConnectionsState>(loop.state(), maxHeldBytes)}
{
    const std::weak_ptr<internal::ConnectionsState> weak = m_state;
    loop.every(std::chrono::seconds{1}, [weak] {
        if (const std::shared_ptr<internal::ConnectionsState> state = weak.lock()) {
            state->closeExpired();
        }
    });
}

UpstreamConnections::~UpstreamConnections()
{
    m_state->abandonWaiting();
}

void UpstreamConnections::start(Exchange exchange, OnResult onResult)
{
    std::make_shared<internal::Attempt>(m_state, std::move(exchange), std::move(onResult))->start();
}

std::size_t UpstreamConnections::connections() const noexcept
{
    return m_state->sockets();
}

std::size_t UpstreamConnections::heldBytes() const noexcept
{
    return m_state->memory()->usedBytes();
}

} // namespace oleanderwick::http

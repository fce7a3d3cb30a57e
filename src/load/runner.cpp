#include "runner.hpp"

#include <algorithm>
#include <deque>
#include <random>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "oleanderwick/http/message.hpp"

namespace oleanderwick::load
{

namespace internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr std::chrono::seconds responseTimeout{30};
constexpr std::chrono::milliseconds schedulePeriod{1};

/** @brief Request of a stream that is due. */
struct DueRequest {
    std::size_t stream{};
    SteadyClock::time_point dueAt;
};

class Connection;

/** @brief State shared by the connections; used on one thread. */
class Run
{
public:
    explicit Run(const Options &options)
        : m_options{options}
        , m_timer{m_context}
        , m_random{options.seed}
        , m_start{SteadyClock::now()}
        , m_end{m_start + options.length}
    {
    }

    [[nodiscard]] Report execute();

    [[nodiscard]] asio::io_context &context() noexcept
    {
        return m_context;
    }

    [[nodiscard]] const Stream &stream(std::size_t index) const
    {
        return m_options.streams[index];
    }

    /** Sends the next request on a connection, or keeps the connection idle until one is due. */
    void sendNext(const std::shared_ptr<Connection> &connection);

    void recordResponse(const DueRequest &due, const std::string &kind)
    {
        m_report[stream(due.stream).name].add(kind, SteadyClock::now() - due.dueAt);
    }

private:
    void schedule();
    void addArrivals(SteadyClock::time_point now);
    [[nodiscard]] double rate(std::size_t index, SteadyClock::time_point now) const;

    const Options &m_options;
    asio::io_context m_context{1};
    asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    SteadyClock::time_point m_start;
    SteadyClock::time_point m_end;
    std::deque<DueRequest> m_due;
    std::deque<std::shared_ptr<Connection>> m_idle;
    std::size_t m_nextStream{0};
    Report m_report;
};

/** @brief Persistent connection that sends one request at a time. */
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Run &run, const http::Endpoint &endpoint)
        : m_run{run}
        , m_endpoint{asio::ip::make_address(endpoint.host), endpoint.port}
    {
    }

    void send(const DueRequest &due)
    {
        m_due = due;
        const Stream &stream = m_run.stream(due.stream);
        m_request = {};
        m_request.version(11);
        m_request.method(beast::http::verb::get);
        m_request.target(stream.target);
        m_request.set(beast::http::field::host, "load");
        if (!stream.key.empty()) {
            m_request.set(beast::http::field::authorization, "Bearer " + stream.key);
        }
        if (m_stream != nullptr) {
            write();
            return;
        }
        m_stream = std::make_unique<beast::tcp_stream>(m_run.context());
        m_stream->expires_after(responseTimeout);
        m_stream->async_connect(m_endpoint, [self = shared_from_this()](const error_code &error) {
            if (error) {
                self->finish("no connection", false);
                return;
            }
            error_code ignored;
            self->m_stream->socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
            self->write();
        });
    }

private:
    void write()
    {
        m_stream->expires_after(responseTimeout);
        beast::http::async_write(*m_stream, m_request, [self = shared_from_this()](const error_code &error, std::size_t) {
            if (error) {
                self->finish("cut", false);
                return;
            }
            self->read();
        });
    }

    void read()
    {
        m_response = {};
        beast::http::async_read(*m_stream, m_buffer, m_response, [self = shared_from_this()](const error_code &error, std::size_t) {
            self->finish(error ? "cut" : self->responseKind(), !error && self->m_response.keep_alive());
        });
    }

    [[nodiscard]] std::string responseKind() const
    {
        if (m_response.result() == beast::http::status::ok) {
            return "whole";
        }
        for (const char *outcome : {"not-run", "unknown", "failed"}) {
            if (m_response.body().find(outcome) != std::string::npos) {
                return absl::StrCat(m_response.result_int(), "/", outcome);
            }
        }
        return std::to_string(m_response.result_int());
    }

    void finish(const std::string &kind, bool keep)
    {
        if (!keep) {
            m_stream.reset();
            m_buffer.clear();
        }
        m_run.recordResponse(m_due, kind);
        m_run.sendNext(shared_from_this());
    }

    Run &m_run;
    asio::ip::tcp::endpoint m_endpoint;
    DueRequest m_due;
    std::unique_ptr<beast::tcp_stream> m_stream;
    beast::flat_buffer m_buffer;
    beast::http::request<beast::http::empty_body> m_request;
    beast::http::response<beast::http::string_body> m_response;
};

double Run::rate(std::size_t index, SteadyClock::time_point now) const
{
    const Stream &entry = m_options.streams[index];
    if (m_options.turn.count() == 0) {
        return entry.perSecond;
    }
    // Each stream bursts during its turn, and sends at a twentieth of its rate between turns.
    constexpr double offPeakFactor = 0.05;
    const std::size_t turn = static_cast<std::size_t>((now - m_start) / m_options.turn) % m_options.streams.size();
    return entry.perSecond * (turn == index ? entry.burst : offPeakFactor);
}

void Run::addArrivals(SteadyClock::time_point now)
{
    const double seconds = std::chrono::duration<double>{schedulePeriod}.count();
    for (std::size_t index = 0; index < m_options.streams.size(); ++index) {
        std::poisson_distribution<int> count{std::max(1e-9, rate(index, now) * seconds)};
        for (int left = count(m_random); left > 0; --left) {
            m_due.push_back(DueRequest{index, now});
        }
    }
    while (!m_due.empty() && !m_idle.empty()) {
        const std::shared_ptr<Connection> connection = m_idle.front();
        m_idle.pop_front();
        const DueRequest due = m_due.front();
        m_due.pop_front();
        connection->send(due);
    }
}

void Run::schedule()
{
    const SteadyClock::time_point now = SteadyClock::now();
    if (now >= m_end) {
        m_due.clear();
        return;
    }
    addArrivals(m_timer.expiry());
    m_timer.expires_at(m_timer.expiry() + schedulePeriod);
    m_timer.async_wait([this](const error_code &error) {
        if (!error) {
            schedule();
        }
    });
}

void Run::sendNext(const std::shared_ptr<Connection> &connection)
{
    if (m_options.closedLoop) {
        if (SteadyClock::now() < m_end) {
            m_nextStream = (m_nextStream + 1) % m_options.streams.size();
            connection->send(DueRequest{m_nextStream, SteadyClock::now()});
        }
        return;
    }
    if (m_due.empty()) {
        m_idle.push_back(connection);
        return;
    }
    const DueRequest due = m_due.front();
    m_due.pop_front();
    connection->send(due);
}

Report Run::execute()
{
    for (std::uint32_t index = 0; index < m_options.connections; ++index) {
        const absl::StatusOr<http::Endpoint> endpoint = http::parseEndpoint(m_options.addresses[index % m_options.addresses.size()]);
        sendNext(std::make_shared<Connection>(*this, *endpoint));
    }
    if (!m_options.closedLoop) {
        m_timer.expires_at(m_start);
        schedule();
    }
    m_context.run();
    m_idle.clear();
    return std::move(m_report);
}

} // namespace internal

absl::StatusOr<Report> run(const Options &options)
{
    if (options.addresses.empty() || options.streams.empty() || options.connections == 0) {
        return absl::InvalidArgumentError("at least one address, one stream and one connection are required");
    }
    for (const std::string &address : options.addresses) {
        const absl::StatusOr<http::Endpoint> endpoint = http::parseEndpoint(address);
        if (!endpoint.ok() || !absl::StartsWith(endpoint->host, "127.")) {
            return absl::InvalidArgumentError(absl::StrCat(address, ": only loopback addresses (127.*) are allowed"));
        }
    }
    internal::Run state{options};
    return state.execute();
}

} // namespace oleanderwick::load

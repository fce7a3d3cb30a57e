#include "client.hpp"

#include <array>

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace oleanderwick::http
{

namespace internal
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/** Also limits a line of a stream. A node has several clients, each with its own thread. */
constexpr std::size_t maxResponseBytes = 4U << 20U;
/** Limits the headers, the trailers and each chunk header of a response, which have to fit into the buffer; a longer one is an error. */
constexpr std::size_t maxBufferBytes = 128U << 10U;
constexpr core::Duration streamWakeInterval = std::chrono::milliseconds{500};
/** A middlebox between client and server may have dropped a connection that was idle for longer. */
constexpr core::Duration maxIdleTime = std::chrono::seconds{10};

beast::http::request<beast::http::string_body> toMessage(const Request &request, const std::string &host)
{
    beast::http::request<beast::http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(beast::http::field::host, host);
    for (const Header &header : request.headers) {
        message.set(header.name, header.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

/** @brief Connection of a client and its own event loop. */
class ClientState
{
public:
    explicit ClientState(Endpoint endpoint)
        : m_endpoint{std::move(endpoint)}
        , m_stream{m_context}
    {
    }

    [[nodiscard]] absl::StatusOr<Response> exchange(const Request &request, core::Duration timeout)
    {
        m_stream.expires_after(timeout);
        absl::Status connected = connect();
        if (!connected.ok()) {
            return connected;
        }
        const beast::http::request<beast::http::string_body> message = toMessage(request, m_endpoint.host);
        error_code error;
        std::size_t sent = 0;
        beast::http::async_write(m_stream, message, [&](const error_code &result, std::size_t bytes) {
            error = result;
            sent = bytes;
        });
        run();
        if (error) {
            disconnect();
            return sent == 0 ? absl::UnavailableError(error.message()) : absl::DeadlineExceededError(error.message());
        }
        beast::http::response_parser<beast::http::string_body> parser;
        parser.body_limit(maxResponseBytes);
        beast::http::async_read(m_stream, m_buffer, parser, [&](const error_code &result, std::size_t) {
            error = result;
        });
        run();
        if (error) {
            disconnect();
            return absl::DeadlineExceededError(error.message());
        }
        return toResponse(parser.release());
    }

    [[nodiscard]] absl::Status stream(const Request &request, core::Duration timeout, const Client::OnLine &onLine)
    {
        disconnect();
        m_stream.expires_after(timeout);
        absl::Status connected = connect();
        if (!connected.ok()) {
            return connected;
        }
        const beast::http::request<beast::http::string_body> message = toMessage(request, m_endpoint.host);
        beast::http::response_parser<beast::http::buffer_body> parser;
        parser.body_limit(boost::none);
        error_code error;
        beast::http::async_write(m_stream, message, [&](const error_code &result, std::size_t) {
            error = result;
        });
        run();
        if (!error) {
            beast::http::async_read_header(m_stream, m_buffer, parser, [&](const error_code &result, std::size_t) {
                error = result;
            });
            run();
        }
        if (error || parser.get().result() != beast::http::status::ok) {
            disconnect();
            return absl::UnavailableError(error ? error.message() : "the stream was refused");
        }
        m_stream.expires_never();
        absl::Status streamStatus = readLines(parser, onLine);
        disconnect();
        return streamStatus;
    }

private:
    void run()
    {
        m_context.restart();
        m_context.run();
    }

    void disconnect()
    {
        m_stream.close();
        m_connected = false;
        m_buffer.clear();
    }

    [[nodiscard]] absl::Status connect()
    {
        if (m_connected && core::BootClock::now() - m_lastUsed < maxIdleTime) {
            return absl::OkStatus();
        }
        disconnect();
        error_code error;
        const asio::ip::address address = asio::ip::make_address(m_endpoint.host, error);
        if (error) {
            return absl::InvalidArgumentError(error.message());
        }
        m_stream.async_connect(asio::ip::tcp::endpoint{address, m_endpoint.port}, [&](const error_code &result) {
            error = result;
        });
        run();
        if (error) {
            disconnect();
            return absl::UnavailableError(absl::StrCat("cannot connect to ", m_endpoint.host, ":", m_endpoint.port, ": ", error.message()));
        }
        m_stream.socket().set_option(asio::ip::tcp::no_delay{true}, error);
        m_connected = true;
        return absl::OkStatus();
    }

    [[nodiscard]] Response toResponse(beast::http::response<beast::http::string_body> message)
    {
        Response response;
        response.status = static_cast<int>(message.result_int());
        for (const auto &field : message) {
            response.headers.push_back(Header{std::string{field.name_string()}, std::string{field.value()}});
        }
        response.body = std::move(message.body());
        m_lastUsed = core::BootClock::now();
        if (!message.keep_alive()) {
            disconnect();
        }
        return response;
    }

    [[nodiscard]] absl::Status readLines(beast::http::response_parser<beast::http::buffer_body> &parser, const Client::OnLine &onLine)
    {
        std::array<char, 8192> chunk{};
        std::string text;
        while (!parser.is_done()) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            parser.get().body().more = true;
            bool done = false;
            error_code error;
            beast::http::async_read_some(m_stream, m_buffer, parser, [&](const error_code &result, std::size_t) {
                error = result;
                done = true;
            });
            m_context.restart();
            while (!done) {
                m_context.run_for(streamWakeInterval);
                if (!done && !onLine(std::nullopt)) {
                    m_stream.close();
                    run();
                    return absl::OkStatus();
                }
                m_context.restart();
            }
            if (error && error != beast::http::error::need_buffer) {
                return absl::UnavailableError(error.message());
            }
            text.append(chunk.data(), chunk.size() - parser.get().body().size);
            if (text.size() > maxResponseBytes) {
                return absl::ResourceExhaustedError("a line of the stream is longer than 4 MiB");
            }
            if (!deliverLines(text, onLine)) {
                return absl::OkStatus();
            }
        }
        return absl::UnavailableError("the stream ended");
    }

    [[nodiscard]] static bool deliverLines(std::string &text, const Client::OnLine &onLine)
    {
        std::size_t start = 0;
        for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', start)) {
            if (end > start && !onLine(text.substr(start, end - start))) {
                return false;
            }
            start = end + 1;
        }
        text.erase(0, start);
        return true;
    }

    Endpoint m_endpoint;
    asio::io_context m_context{1};
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer{maxBufferBytes};
    bool m_connected{false};
    core::TimePoint m_lastUsed;
};

} // namespace internal

Client::Client(Endpoint endpoint)
    : m_state{std::make_unique<internal::ClientState>(std::move(endpoint))}
{
}

Client::~Client() = default;
Client::Client(Client &&) noexcept = default;
Client &Client::operator=(Client &&) noexcept = default;

absl::StatusOr<Response> Client::exchange(const Request &request, core::Duration timeout)
{
    return m_state->exchange(request, timeout);
}

absl::Status Client::stream(const Request &request, core::Duration timeout, const OnLine &onLine)
{
    return m_state->stream(request, timeout, onLine);
}

} // namespace oleanderwick::http

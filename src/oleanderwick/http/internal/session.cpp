#include "session.hpp"

#include <sys/socket.h>

#include <absl/strings/str_cat.h>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>

namespace oleanderwick::http::internal
{

namespace asio = boost::asio;

constexpr std::size_t headerReadBytes = 4096;
constexpr std::size_t bodyReadBytes = 16U << 10U;
/** What a connection holds up to this size is part of the room that each connection has. */
constexpr std::size_t minHeldBytes = 8U << 10U;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
constexpr int statusBadRequest = 400;
constexpr int statusBodyTooLarge = 413;
constexpr int statusHeadersTooLarge = 431;
constexpr int statusUnavailable = 503;
/** What a refused client may still send, and for how long, before its connection is closed. */
constexpr std::size_t maxDroppedBytes = 4U << 20U;
constexpr core::Duration maxLingerTime = std::chrono::seconds{2};
constexpr core::Duration retryAfter = std::chrono::seconds{1};

namespace
{

/** Returns a response as it is sent on a connection that is closed after it. */
std::string toText(const Response &response)
{
    std::string text =
        absl::StrCat("HTTP/1.1 ", response.status, " ", std::string{beast::http::obsolete_reason(static_cast<beast::http::status>(response.status))}, "\r\n");
    for (const Header &header : response.headers) {
        absl::StrAppend(&text, header.name, ": ", header.value, "\r\n");
    }
    absl::StrAppend(&text, "Connection: close\r\nContent-Length: ", response.body.size(), "\r\n\r\n", response.body);
    return text;
}

} // namespace

Session::Session(asio::ip::tcp::socket socket, const std::string &client, std::shared_ptr<ServerState> server)
    : m_stream{std::move(socket)}
    , m_server{std::move(server)}
    , m_timer{m_server->deadlines(), [this] {
                  // The operation in progress fails, which closes the session.
                  error_code ignored;
                  if (m_busy) {
                      m_server->count(&ServerFigures::timedOut);
                  }
                  m_stream.close(ignored);
              }}
{
    m_entry.emplace(m_server->table(), client, this);
    error_code ignored;
    m_stream.set_option(asio::ip::tcp::no_delay{true}, ignored);
}

bool Session::isBusy() const noexcept
{
    return m_busy;
}

void Session::start()
{
    waitForRequest();
}

void Session::close()
{
    error_code ignored;
    m_timer.disarm();
    m_stream.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close(ignored);
    m_entry.reset();
    m_server->remove(shared_from_this());
}

void Session::closeForRoom()
{
    const std::shared_ptr<Session> self = shared_from_this();
    if (m_parser.has_value()) {
        const std::string text = toText(toResponse(noRoom()));
        (void)::send(m_stream.native_handle(), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
    close();
}

void Session::giveUp()
{
    m_isGivenUp = true;
    m_parser.reset();
    m_entry->hold(0);
    m_entry->enter(ConnectionPhase::Closing);
    error_code ignored;
    m_stream.cancel(ignored);
}

void Session::setTimeout(core::Duration timeout)
{
    m_timer.arm(core::BootClock::now() + timeout);
}

void Session::waitForRequest()
{
    m_busy = false;
    m_serializer.reset();
    m_response.reset();
    m_responseMemory.reset();
    m_entry->enter(ConnectionPhase::Waiting);
    m_entry->hold(0);
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

void Session::read(std::size_t maxBytes)
{
    m_stream.async_read_some(m_buffer.prepare(maxBytes), [self = shared_from_this()](const error_code &error, std::size_t bytes) {
        self->onRead(error, bytes);
    });
}

void Session::onRead(const error_code &error, std::size_t bytes)
{
    if (!m_entry.has_value()) {
        // The connection was closed after the bytes had been received.
        return;
    }
    if (m_isGivenUp) {
        refuseForRoom();
        return;
    }
    if (error == asio::error::eof && m_parser.has_value()) {
        refuseMalformed(beast::http::error::partial_message);
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

void Session::startRequest()
{
    m_busy = true;
    const ServerLimits &limits = m_server->limits();
    m_parser.emplace(MessageLimits{limits.maxHeaderBytes, limits.maxHeaders, limits.maxBodyBytes});
    setTimeout(limits.headerTimeout);
    parse();
}

void Session::parse()
{
    error_code error;
    switch (m_parser->feed(m_buffer, error)) {
    case ParseStep::NeedsMore:
        if (reserve(m_buffer.capacity() + m_parser->heldBytes())) {
            read(m_parser->is_header_done() ? bodyReadBytes : headerReadBytes);
        }
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
    refuseMalformed(error);
}

void Session::onHeader()
{
    m_entry->enter(ConnectionPhase::Receiving);
    setTimeout(m_server->limits().bodyTimeout);
    const std::string *expect = findHeader(m_parser->message().headers, "Expect");
    if (expect == nullptr || !beast::iequals(*expect, "100-continue")) {
        parse();
        return;
    }
    static const std::string line = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(m_stream, asio::buffer(line), [self = shared_from_this()](const error_code &error, std::size_t) {
        if (!self->m_entry.has_value()) {
            return;
        }
        if (self->m_isGivenUp) {
            self->refuseForRoom();
        } else if (error) {
            self->close();
        } else {
            self->parse();
        }
    });
}

bool Session::reserve(std::size_t bytes)
{
    m_entry->hold(bytes > minHeldBytes ? bytes : 0);
    if (m_server->makeRoomFor(*m_entry)) {
        return true;
    }
    refuseForRoom();
    return false;
}

void Session::onRequest()
{
    const std::size_t bodyBytes = m_parser->message().body.size();
    if (!m_server->table().mayServe()) {
        refuseForRoom();
        return;
    }
    if (!reserve(m_parser->heldBytes() + bodyBytes * m_server->limits().handlerBytesPerBodyByte)) {
        return;
    }
    m_timer.disarm();
    m_entry->enter(ConnectionPhase::Serving);
    m_keepAlive = m_parser->keep_alive();
    m_version = m_parser->version();
    Request request = m_parser->release();
    m_parser.reset();
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

void Session::send(Response response)
{
    if (!m_entry.has_value()) {
        return;
    }
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
        m_responseMemory = std::move(response.memory);
        m_entry->hold(m_responseMemory == nullptr && response.body.size() > minHeldBytes ? response.body.size() : 0);
        m_response->body() = std::move(response.body);
        m_response->prepare_payload();
    }
    m_serializer.emplace(*m_response);
    m_serializer->split(m_isHead);
    setTimeout(m_server->limits().bodyTimeout);
    beast::http::async_write(m_stream, *m_serializer, [self = shared_from_this(), closing](const error_code &error, std::size_t) {
        if (!self->m_entry.has_value()) {
            return;
        }
        if (self->m_isRefused && !error) {
            self->linger();
            return;
        }
        self->onSent(error || closing);
    });
}

void Session::onSent(bool closing)
{
    if (closing) {
        close();
        return;
    }
    waitForRequest();
}

void Session::linger()
{
    m_busy = false;
    error_code ignored;
    m_stream.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    setTimeout(maxLingerTime);
    onDropped({}, 0);
}

void Session::onDropped(const error_code &error, std::size_t bytes)
{
    m_droppedBytes += bytes;
    if (!m_entry.has_value()) {
        return;
    }
    if (error || m_droppedBytes > maxDroppedBytes) {
        close();
        return;
    }
    m_buffer.clear();
    m_stream.async_read_some(m_buffer.prepare(headerReadBytes), [self = shared_from_this()](const error_code &failed, std::size_t received) {
        self->onDropped(failed, received);
    });
}

Session::Refusal Session::noRoom()
{
    return Refusal{statusUnavailable, "overloaded", "no room for the request", true};
}

Response Session::toResponse(const Refusal &refusal)
{
    Response response;
    response.status = refusal.status;
    response.headers = {{"Content-Type", "application/problem+json"}};
    if (refusal.mayReturn) {
        response.headers.push_back({"Retry-After", absl::StrCat(std::chrono::duration_cast<std::chrono::seconds>(retryAfter).count())});
    }
    response.body =
        absl::StrCat(R"({"status":)", refusal.status, R"(,"outcome":"not-run","reason":")", refusal.reason, R"(","detail":")", refusal.detail, "\"}");
    return response;
}

void Session::refuse(const Refusal &refusal)
{
    m_isGivenUp = false;
    m_isRefused = true;
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_entry->hold(0);
    m_entry->enter(ConnectionPhase::Closing);
    m_keepAlive = false;
    m_isHead = false;
    m_version = 11;
    send(toResponse(refusal));
}

void Session::refuseMalformed(const error_code &error)
{
    const int status = error == beast::http::error::body_limit ? statusBodyTooLarge
        : error == beast::http::error::header_limit            ? statusHeadersTooLarge
                                                               : statusBadRequest;
    m_server->count(status == statusBadRequest ? &ServerFigures::malformed : &ServerFigures::tooLarge);
    refuse(Refusal{status, "bad_request", error.message(), false});
}

void Session::refuseForRoom()
{
    m_server->count(&ServerFigures::overloaded);
    refuse(noRoom());
}

} // namespace oleanderwick::http::internal

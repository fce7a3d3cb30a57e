#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "../message.hpp"

namespace oleanderwick::http::internal
{

namespace beast = boost::beast;
using boost::system::error_code;

/** @brief Limits on one message that is being received. */
struct MessageLimits {
    std::size_t maxHeaderBytes{}; /**< Applies to the start line with the headers, to the trailers, and to the header of each chunk. */
    std::size_t maxHeaders{}; /**< Number of headers, and of trailers. */
    std::uint64_t maxBodyBytes{};

    [[nodiscard]] bool operator==(const MessageLimits &) const = default;
};

/** @brief Progress of a message. */
enum class ParseStep : std::uint8_t {
    NeedsMore, /**< The buffer holds nothing more that can be parsed. */
    HeaderComplete, /**< Reported once, unless the message is complete at the same time. */
    Complete,
    Failed, /**< The message is malformed or over a limit. */
};

/**
 * @brief Parses a request or a response, and limits each part of it whose end has not arrived.
 *
 * Memory grows with what has arrived, not with the length that the message announces. Trailers are checked and dropped, because no
 * receiver may treat them as headers (RFC 9110, 6.5.1).
 */
template <bool isRequest>
class MessageParser final : public beast::http::basic_parser<isRequest>
{
public:
    /** @brief Type of the parsed message. */
    using Message = std::conditional_t<isRequest, Request, Response>;

    /**
     * @brief Constructs a parser of one message.
     * @param limits Limits on the message.
     */
    explicit MessageParser(const MessageLimits &limits)
        : m_limits{limits}
    {
        this->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
        this->body_limit(limits.maxBodyBytes);
        // Stops at the end of the headers, so that they can be examined before the body.
        this->eager(false);
    }

    /**
     * @brief Parses and consumes as much of a buffer as possible.
     * @param buffer Received bytes; bytes after the message stay in it.
     * @param error Set to the reason if the result is `Failed`: `header_limit`, `body_limit`, or another one for a malformed message.
     * @return How far the message has got.
     */
    [[nodiscard]] ParseStep feed(beast::flat_buffer &buffer, error_code &error)
    {
        error = {};
        while (!this->is_done()) {
            if (buffer.size() == 0) {
                return ParseStep::NeedsMore;
            }
            const bool inBody = this->is_header_done();
            const std::size_t used = this->put(buffer.cdata(), error);
            buffer.consume(used);
            (inBody ? m_encodedBodyBytes : m_headerBytes) += used;
            const bool needsMore = error == beast::http::error::need_more;
            if ((!error || needsMore) && isOverLimit(inBody, needsMore ? buffer.size() : 0)) {
                error = beast::http::error::header_limit;
            } else if (needsMore) {
                error = {};
                return ParseStep::NeedsMore;
            }
            if (error) {
                return ParseStep::Failed;
            }
            if (!inBody && this->is_header_done() && !this->is_done()) {
                this->eager(true);
                return ParseStep::HeaderComplete;
            }
        }
        return ParseStep::Complete;
    }

    /** @return Message as far as it has been parsed. */
    [[nodiscard]] const Message &message() const noexcept
    {
        return m_message;
    }

    /** @return The message, which the parser gives up. */
    [[nodiscard]] Message release() noexcept
    {
        return std::move(m_message);
    }

    /** @return Version of HTTP as 10 times the major version and the minor one. */
    [[nodiscard]] unsigned version() const noexcept
    {
        return m_version;
    }

    /** @return Memory in bytes that the message holds. */
    [[nodiscard]] std::size_t heldBytes() const noexcept
    {
        return m_headerBytes + m_message.headers.capacity() * sizeof(Header) + m_message.body.capacity();
    }

private:
    /** Framing bytes (chunk headers and trailers) that are allowed for each byte of the body, beyond the limit on headers. */
    static constexpr std::size_t framingPerBodyByte = 8;

    /** `pending` is the number of bytes that were received and cannot be parsed yet. */
    [[nodiscard]] bool isOverLimit(bool inBody, std::size_t pending) const noexcept
    {
        if (!inBody) {
            return m_headerBytes + pending > m_limits.maxHeaderBytes;
        }
        const std::size_t framing = m_encodedBodyBytes - std::min(m_encodedBodyBytes, m_message.body.size());
        return pending >= m_limits.maxHeaderBytes || framing > m_limits.maxHeaderBytes + framingPerBodyByte * m_message.body.size();
    }

    void append(beast::string_view part)
    {
        std::string &body = m_message.body;
        const std::size_t needed = body.size() + part.size();
        if (needed > body.capacity()) {
            // Grows by doubling, but not beyond the announced length.
            body.reserve(std::max(needed, std::min(2 * body.capacity(), m_expectedBodyBytes)));
        }
        body.append(part.data(), part.size());
    }

    void on_request_impl(beast::http::verb /*method*/, beast::string_view method, beast::string_view target, int version, error_code &error) override
    {
        m_version = static_cast<unsigned>(version);
        if constexpr (isRequest) {
            m_message.method.assign(method.data(), method.size());
            m_message.target.assign(target.data(), target.size());
        }
        error = {};
    }

    void on_response_impl(int status, beast::string_view /*reason*/, int version, error_code &error) override
    {
        m_version = static_cast<unsigned>(version);
        if constexpr (!isRequest) {
            m_message.status = status;
        }
        error = {};
    }

    void on_field_impl(beast::http::field /*field*/, beast::string_view name, beast::string_view value, error_code &error) override
    {
        error = {};
        if (++m_headers > m_limits.maxHeaders) {
            error = beast::http::error::header_limit;
        } else if (!m_hasAllHeaders) {
            m_message.headers.push_back(Header{std::string{name}, std::string{value}});
        }
    }

    void on_header_impl(error_code &error) override
    {
        m_hasAllHeaders = true;
        m_headers = 0;
        error = {};
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code &error) override
    {
        m_expectedBodyBytes = static_cast<std::size_t>(length.value_or(m_limits.maxBodyBytes));
        error = {};
    }

    std::size_t on_body_impl(beast::string_view body, error_code &error) override
    {
        append(body);
        error = {};
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/, error_code &error) override
    {
        error = {};
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, beast::string_view body, error_code &error) override
    {
        append(body);
        error = {};
        return body.size();
    }

    void on_finish_impl(error_code &error) override
    {
        error = {};
    }

    MessageLimits m_limits;
    Message m_message;
    std::size_t m_headers{0}; /**< Number of headers, then of trailers. */
    std::size_t m_headerBytes{0};
    std::size_t m_encodedBodyBytes{0}; /**< Body with its framing. */
    std::size_t m_expectedBodyBytes{0};
    bool m_hasAllHeaders{false};
    unsigned m_version{11};
};

} // namespace oleanderwick::http::internal

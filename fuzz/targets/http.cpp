#include "../target.hpp"

#include <algorithm>
#include <string>

#include <boost/asio/buffer.hpp>

#include "oleanderwick/http/internal/message_parser.hpp"

namespace http = oleanderwick::http;
using http::internal::MessageLimits;
using http::internal::MessageParser;
using http::internal::ParseStep;

namespace
{

constexpr MessageLimits limits{1000, 16, 2000};
/** Well above what a message within the limits holds, with its buffers and with the growth of its strings. */
constexpr std::size_t maxHeldBytes = 20'000;

template <bool isRequest>
struct Parsed {
    ParseStep step{ParseStep::NeedsMore};
    http::internal::error_code error;
    typename MessageParser<isRequest>::Message message;

    [[nodiscard]] bool operator==(const Parsed &) const = default;
};

/** Parses a message that arrives in parts. */
template <bool isRequest>
Parsed<isRequest> parse(const std::string &text, std::size_t partBytes)
{
    MessageParser<isRequest> parser{limits};
    boost::beast::flat_buffer buffer;
    Parsed<isRequest> parsed;
    for (std::size_t at = 0; at < text.size() && parsed.step == ParseStep::NeedsMore; at += partBytes) {
        const std::size_t bytes = std::min(partBytes, text.size() - at);
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(bytes), boost::asio::buffer(text.data() + at, bytes)));
        do {
            parsed.step = parser.feed(buffer, parsed.error);
        } while (parsed.step == ParseStep::HeaderComplete);
        if (parser.heldBytes() + buffer.capacity() > maxHeldBytes + 2 * partBytes) {
            __builtin_trap();
        }
    }
    if (parsed.step == ParseStep::Complete) {
        parsed.message = parser.release();
    }
    return parsed;
}

template <bool isRequest>
void check(const std::string &text, std::size_t partBytes)
{
    const Parsed<isRequest> whole = parse<isRequest>(text, std::max<std::size_t>(text.size(), 1));
    const Parsed<isRequest> parts = parse<isRequest>(text, partBytes);
    // A limit may be met at another byte, but a message is complete, or not, whatever its parts are.
    if ((whole.step == ParseStep::Complete) != (parts.step == ParseStep::Complete) || whole.message != parts.message) {
        __builtin_trap();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text{reinterpret_cast<const char *>(data), size};
    const std::size_t partBytes = 1 + (size > 0 ? data[size / 2] % 64 : 0);
    check<true>(text, partBytes);
    check<false>(text, partBytes);
    return 0;
}

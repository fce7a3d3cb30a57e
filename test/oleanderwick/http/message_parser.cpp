#include <catch2/catch.hpp>

#include <string>

#include <boost/asio/buffer.hpp>

#include "oleanderwick/http/http.hpp"
#include "oleanderwick/http/internal/message_parser.hpp"

namespace http = oleanderwick::http;
using http::internal::MessageLimits;
using http::internal::MessageParser;
using http::internal::ParseStep;

namespace
{

constexpr MessageLimits limits{1000, 10, 5000};
const std::string chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

/** Result of a message that arrives in parts of a given size. */
struct Parsed {
    ParseStep step{ParseStep::NeedsMore};
    http::internal::error_code error;
    http::Request request;
    std::size_t bytesTaken{};
    std::size_t mostHeldBytes{};
};

Parsed parse(const std::string &text, std::size_t partBytes)
{
    MessageParser<true> parser{limits};
    boost::beast::flat_buffer buffer;
    Parsed parsed;
    while (parsed.bytesTaken < text.size() && (parsed.step == ParseStep::NeedsMore || parsed.step == ParseStep::HeaderComplete)) {
        const std::string part = text.substr(parsed.bytesTaken, partBytes);
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(part.size()), boost::asio::buffer(part)));
        parsed.bytesTaken += part.size();
        do {
            parsed.step = parser.feed(buffer, parsed.error);
        } while (parsed.step == ParseStep::HeaderComplete);
        parsed.mostHeldBytes = std::max(parsed.mostHeldBytes, buffer.capacity() + parser.heldBytes());
    }
    parsed.request = parser.release();
    return parsed;
}

std::string repeat(const std::string &text, std::size_t count)
{
    std::string all;
    for (std::size_t index = 0; index < count; ++index) {
        all += text;
    }
    return all;
}

} // namespace

TEST_CASE("MessageParser reads a request the same way in parts of any size", "[http]")
{
    const std::size_t partBytes = GENERATE(1, 2, 7, 4096);
    const Parsed whole = parse("POST /a?b HTTP/1.1\r\nHost: h\r\nX: 1\r\nContent-Length: 5\r\n\r\nhello", partBytes);
    CHECK(whole.step == ParseStep::Complete);
    CHECK(whole.request == http::Request{"POST", "/a?b", {{"Host", "h"}, {"X", "1"}, {"Content-Length", "5"}}, "hello"});
    const Parsed chunks = parse(chunked + "3;a=b\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", partBytes);
    CHECK(chunks.step == ParseStep::Complete);
    CHECK(chunks.request.body == "hello");
}

TEST_CASE("MessageParser drops trailers, which must not count as headers", "[http]")
{
    const Parsed parsed = parse(chunked + "2\r\n{}\r\n0\r\nApi-Key: other\r\n\r\n", GENERATE(1, 4096));
    CHECK(parsed.step == ParseStep::Complete);
    CHECK(parsed.request.headers == std::vector<http::Header>{{"Transfer-Encoding", "chunked"}});
}

TEST_CASE("MessageParser fails early, and holds little, if a part of a message does not end", "[http]")
{
    struct Row {
        std::string start;
        std::string repeated;
    };
    const Row row = GENERATE(values<Row>({
        {"GET / HTTP/1.1\r\n", "X: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
        {"GET / HTTP/1.1\r\n", "X:\r\n"},
        {"GET / HTTP/1.1\r\nX: ", "a"},
        {"GET /", "a"},
        {chunked + "2;a=", "a"},
        {chunked + "2\r\n{}\r\n0\r\n", "X: aaaaaaaa\r\n"},
        {chunked + "2\r\n{}\r\n0\r\nX: ", "a"},
        {chunked + "2\r\n{}\r\n0;", "a"},
        {chunked, "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n.\r\n"},
    }));
    const Parsed parsed = parse(row.start + repeat(row.repeated, 20'000 / row.repeated.size()), GENERATE(1, 50, 1024));
    CHECK(parsed.step == ParseStep::Failed);
    CHECK(parsed.error == boost::beast::http::error::header_limit);
    CHECK(parsed.mostHeldBytes < 10'000);
}

TEST_CASE("MessageParser fails at a body over the limit, announced or not", "[http]")
{
    const std::string text = GENERATE(
        std::string{"POST / HTTP/1.1\r\nContent-Length: 5001\r\n\r\n"}, chunked + "1389\r\n", chunked + repeat("64\r\n" + std::string(100, 'a') + "\r\n", 60));
    const Parsed parsed = parse(text, GENERATE(1, 4096));
    CHECK(parsed.step == ParseStep::Failed);
    CHECK(parsed.error == boost::beast::http::error::body_limit);
}

TEST_CASE("MessageParser holds what has arrived, not what the message announces", "[http]")
{
    const Parsed parsed = parse("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + std::string(100, 'a'), 50);
    CHECK(parsed.step == ParseStep::NeedsMore);
    CHECK(parsed.mostHeldBytes < 2000);
}

TEST_CASE("MessageParser accepts a body of exactly the limit in the smallest chunks", "[http]")
{
    const Parsed parsed = parse(chunked + repeat("1\r\na\r\n", 5000) + "0\r\n\r\n", GENERATE(3, 4096));
    CHECK(parsed.step == ParseStep::Complete);
    CHECK(parsed.request.body.size() == 5000);
}

#include <catch2/catch.hpp>

#include <future>
#include <optional>

#include "oleanderwick/http/http.hpp"
#include "support/raw_upstream.hpp"

namespace http = oleanderwick::http;
namespace core = oleanderwick::core;
using oleanderwick::routing::ExchangeOutcome;
using oleanderwick::test::RawUpstream;
using Manner = RawUpstream::Manner;

namespace
{

/** Runs exchanges one after the other on a loop. */
class Sender
{
public:
    http::ExchangeResult send(const std::string &address, core::Duration timeout = std::chrono::seconds{20}, std::size_t idle = 8)
    {
        http::Exchange exchange;
        exchange.address = address;
        exchange.request = http::Request{"GET", "/work", {}, ""};
        exchange.requestId = "r" + std::to_string(++m_number);
        exchange.timeout = timeout;
        exchange.idleConnections = idle;
        exchange.maxAnswerBytes = 1000;
        std::optional<http::ExchangeResult> result;
        m_links.start(std::move(exchange), [&](http::ExchangeResult ended) {
            result = std::move(ended);
            m_loop.stop();
        });
        m_loop.run();
        m_loop.restart();
        REQUIRE(result.has_value());
        return *result;
    }

private:
    http::Loop m_loop;
    http::UpstreamLinks m_links{m_loop};
    int m_number{0};
};

} // namespace

TEST_CASE("UpstreamLinks tells how each exchange ended", "[http]")
{
    struct Row {
        Manner manner;
        ExchangeOutcome end;
    };
    const Row row = GENERATE(values<Row>({
        {Manner::Answer, ExchangeOutcome::Whole},
        {Manner::AnswerChunked, ExchangeOutcome::Whole},
        {Manner::CloseAfterRequest, ExchangeOutcome::NoAnswer},
        {Manner::CloseWithinHeader, ExchangeOutcome::PartAnswer},
        {Manner::CloseWithinBody, ExchangeOutcome::PartAnswer},
        {Manner::CloseWithinChunks, ExchangeOutcome::PartAnswer},
        {Manner::UntilClose, ExchangeOutcome::PartAnswer},
        {Manner::OtherRequest, ExchangeOutcome::WrongAnswer},
        {Manner::RefuseNotRun, ExchangeOutcome::RefusedNotRun},
        {Manner::TooLarge, ExchangeOutcome::TooLarge},
        {Manner::Malformed, ExchangeOutcome::PartAnswer},
    }));
    RawUpstream upstream;
    upstream.setManner(row.manner);
    Sender sender;
    const http::ExchangeResult result = sender.send(upstream.address());
    CHECK(oleanderwick::routing::toText(result.end) == oleanderwick::routing::toText(row.end));
    CHECK(result.response.body == (row.end == ExchangeOutcome::Whole ? "whole" : ""));
}

TEST_CASE("UpstreamLinks gives up a silent connection and never uses it again", "[http]")
{
    RawUpstream upstream;
    Sender sender;
    CHECK(sender.send(upstream.address()).end == ExchangeOutcome::Whole);
    upstream.setManner(Manner::Silent);
    CHECK(sender.send(upstream.address(), std::chrono::milliseconds{100}).end == ExchangeOutcome::TimedOut);
    upstream.setManner(Manner::Answer);
    CHECK(sender.send(upstream.address()).end == ExchangeOutcome::Whole);
    CHECK(upstream.connections() == 2);
}

TEST_CASE("UpstreamLinks says not connected when nobody listens", "[http]")
{
    std::string address;
    {
        const RawUpstream gone;
        address = gone.address();
    }
    Sender sender;
    CHECK(sender.send(address).end == ExchangeOutcome::NotConnected);
}

TEST_CASE("UpstreamLinks keeps a connection for the next exchange", "[http]")
{
    RawUpstream upstream;
    Sender sender;
    for (int count = 0; count < 5; ++count) {
        CHECK(sender.send(upstream.address()).end == ExchangeOutcome::Whole);
    }
    CHECK(upstream.connections() == 1);
    CHECK(upstream.mostRuns() == 1);
}

TEST_CASE("UpstreamLinks keeps no more connections than it may", "[http]")
{
    RawUpstream upstream;
    Sender sender;
    for (int count = 0; count < 3; ++count) {
        CHECK(sender.send(upstream.address(), std::chrono::seconds{20}, 0).end == ExchangeOutcome::Whole);
    }
    CHECK(upstream.connections() == 3);
}

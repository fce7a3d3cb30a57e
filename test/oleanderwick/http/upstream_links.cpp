#include <catch2/catch.hpp>

#include <future>
#include <optional>

#include "oleanderwick/http/http.hpp"
#include "support/raw_upstream.hpp"

namespace http = oleanderwick::http;
namespace core = oleanderwick::core;
using oleanderwick::routing::ExchangeOutcome;
using oleanderwick::test::RawUpstream;
using Behavior = RawUpstream::Behavior;

namespace
{

/** Runs one exchange at a time on a loop until its result arrives. */
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
        exchange.maxIdleConnections = idle;
        exchange.maxResponseBytes = 1000;
        std::optional<http::ExchangeResult> result;
        m_connections.start(std::move(exchange), [&](http::ExchangeResult ended) {
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
    http::UpstreamConnections m_connections{m_loop};
    int m_number{0};
};

} // namespace

TEST_CASE("UpstreamConnections reports the outcome of an exchange for each behavior of the upstream", "[http]")
{
    struct Row {
        Behavior behavior;
        ExchangeOutcome outcome;
    };
    const Row row = GENERATE(values<Row>({
        {Behavior::Answer, ExchangeOutcome::Complete},
        {Behavior::AnswerChunked, ExchangeOutcome::Complete},
        {Behavior::CloseAfterRequest, ExchangeOutcome::NoResponse},
        {Behavior::CloseWithinHeader, ExchangeOutcome::BrokenResponse},
        {Behavior::CloseWithinBody, ExchangeOutcome::BrokenResponse},
        {Behavior::CloseWithinChunks, ExchangeOutcome::BrokenResponse},
        {Behavior::UntilClose, ExchangeOutcome::BrokenResponse},
        {Behavior::OtherRequest, ExchangeOutcome::WrongResponse},
        {Behavior::RefuseNotRun, ExchangeOutcome::RefusedNotRun},
        {Behavior::TooLarge, ExchangeOutcome::TooLarge},
        {Behavior::Malformed, ExchangeOutcome::BrokenResponse},
    }));
    RawUpstream upstream;
    upstream.setBehavior(row.behavior);
    Sender sender;
    const http::ExchangeResult result = sender.send(upstream.address());
    CHECK(oleanderwick::routing::toText(result.outcome) == oleanderwick::routing::toText(row.outcome));
    CHECK(result.response.body == (row.outcome == ExchangeOutcome::Complete ? "whole" : ""));
}

TEST_CASE("UpstreamConnections does not reuse a connection whose exchange has timed out", "[http]")
{
    RawUpstream upstream;
    Sender sender;
    CHECK(sender.send(upstream.address()).outcome == ExchangeOutcome::Complete);
    upstream.setBehavior(Behavior::Silent);
    CHECK(sender.send(upstream.address(), std::chrono::milliseconds{100}).outcome == ExchangeOutcome::TimedOut);
    upstream.setBehavior(Behavior::Answer);
    CHECK(sender.send(upstream.address()).outcome == ExchangeOutcome::Complete);
    CHECK(upstream.connections() == 2);
}

TEST_CASE("UpstreamConnections reports NotConnected if the upstream does not listen", "[http]")
{
    std::string address;
    {
        const RawUpstream gone;
        address = gone.address();
    }
    Sender sender;
    CHECK(sender.send(address).outcome == ExchangeOutcome::NotConnected);
}

TEST_CASE("UpstreamConnections reuses a connection for the next exchange", "[http]")
{
    RawUpstream upstream;
    Sender sender;
    for (int count = 0; count < 5; ++count) {
        CHECK(sender.send(upstream.address()).outcome == ExchangeOutcome::Complete);
    }
    CHECK(upstream.connections() == 1);
    CHECK(upstream.maxRunsPerId() == 1);
}

TEST_CASE("UpstreamConnections keeps at most the given number of idle connections", "[http]")
{
    RawUpstream upstream;
    Sender sender;
    for (int count = 0; count < 3; ++count) {
        CHECK(sender.send(upstream.address(), std::chrono::seconds{20}, 0).outcome == ExchangeOutcome::Complete);
    }
    CHECK(upstream.connections() == 3);
}

#include <catch2/catch.hpp>

#include <future>
#include <memory>
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

    /** Runs exchanges at the same time and returns their results in the order in which they ended. */
    std::vector<http::ExchangeResult> sendTogether(const std::vector<http::Exchange> &exchanges)
    {
        std::vector<http::ExchangeResult> results;
        for (const http::Exchange &exchange : exchanges) {
            m_connections.start(exchange, [&](http::ExchangeResult ended) {
                results.push_back(std::move(ended));
                if (results.size() == exchanges.size()) {
                    m_loop.stop();
                }
            });
        }
        m_loop.run();
        m_loop.restart();
        return results;
    }

private:
    http::Loop m_loop;
    http::UpstreamConnections m_connections{m_loop};
    int m_number{0};
};

http::Exchange makeExchange(const std::string &address, const std::string &id, core::Duration timeout = std::chrono::seconds{20})
{
    http::Exchange exchange;
    exchange.address = address;
    exchange.request = http::Request{"GET", "/work", {}, ""};
    exchange.requestId = id;
    exchange.timeout = timeout;
    return exchange;
}

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

TEST_CASE("UpstreamConnections sends nothing after the permission to send has run out", "[http]")
{
    RawUpstream upstream;
    Sender sender;
    http::Exchange exchange = makeExchange(upstream.address(), "late");
    exchange.sendBefore = core::BootClock::now();
    // The second exchange finds the connection of the first one idle.
    for (int count = 0; count < 2; ++count) {
        CHECK(sender.sendTogether({exchange})[0].outcome == ExchangeOutcome::NothingSent);
    }
    CHECK(upstream.maxRunsPerId() == 0);
    exchange.sendBefore = core::TimePoint::max();
    CHECK(sender.sendTogether({exchange})[0].outcome == ExchangeOutcome::Complete);
}

TEST_CASE("UpstreamConnections runs exchanges beyond the limit of an upstream one after another", "[http]")
{
    RawUpstream upstream;
    Sender sender;
    http::Exchange exchange = makeExchange(upstream.address(), "");
    exchange.maxConcurrent = 2;
    for (const http::ExchangeResult &result : sender.sendTogether(std::vector<http::Exchange>(7, exchange))) {
        CHECK(result.outcome == ExchangeOutcome::Complete);
    }
    CHECK(upstream.connections() == 2);
}

TEST_CASE("UpstreamConnections reports an exchange that waited in vain behind another one as not sent", "[http]")
{
    RawUpstream upstream;
    upstream.setBehavior(Behavior::Silent);
    Sender sender;
    http::Exchange first = makeExchange(upstream.address(), "first", std::chrono::milliseconds{300});
    first.maxConcurrent = 1;
    http::Exchange second = makeExchange(upstream.address(), "second", std::chrono::milliseconds{100});
    second.maxConcurrent = 1;
    const std::vector<http::ExchangeResult> results = sender.sendTogether({first, second});
    CHECK(results[0].outcome == ExchangeOutcome::NothingSent);
    CHECK(results[1].outcome == ExchangeOutcome::TimedOut);
    upstream.setBehavior(Behavior::Answer);
    CHECK(sender.sendTogether({first})[0].outcome == ExchangeOutcome::Complete);
}

TEST_CASE("UpstreamConnections frees exchanges that still wait when it is destroyed", "[http]")
{
    const std::shared_ptr<int> owned = std::make_shared<int>(0);
    {
        RawUpstream upstream;
        upstream.setBehavior(Behavior::Silent);
        http::Loop loop;
        http::UpstreamConnections connections{loop};
        http::Exchange exchange = makeExchange(upstream.address(), "waits");
        exchange.maxConcurrent = 1;
        for (int count = 0; count < 2; ++count) {
            connections.start(exchange, [owned](const http::ExchangeResult &) {
            });
        }
    }
    CHECK(owned.use_count() == 1);
}

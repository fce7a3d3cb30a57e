#include <catch2/catch.hpp>

#include <set>

#include "support/virtual_fleet.hpp"

namespace allotment = oleanderwick::allotment;
namespace config = oleanderwick::config;
namespace core = oleanderwick::core;
namespace dispatch = oleanderwick::dispatch;
namespace routing = oleanderwick::routing;
using oleanderwick::test::DocumentBuilder;
using oleanderwick::test::MemoryLedgerStore;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/** Dispatcher with a permit holder that has claimed all permits. */
class SingleDispatcher
{
public:
    explicit SingleDispatcher(const config::Document &document)
    {
        configure(document);
        for (int round = 0; round < 8; ++round) {
            stepHolder();
        }
    }

    dispatch::Actions configure(const config::Document &document)
    {
        config::Record record;
        record.version = ++version;
        record.document = document;
        return dispatcher.configure(std::make_shared<const config::Snapshot>(record), now);
    }

    void stepHolder()
    {
        dispatcher.updateDemand(now);
        holder.plan();
        const allotment::LedgerCalls calls = holder.step();
        for (const allotment::LedgerRead &read : calls.reads) {
            holder.onRead(read.shard, store.read(read.shard));
        }
        for (const allotment::LedgerWrite &write : calls.writes) {
            store.apply(write);
            holder.onWritten(write.shard, allotment::WriteOutcome::Written, store.read(write.shard));
        }
    }

    dispatch::Actions arrive(const std::string &queue, const std::string &key, bool idempotent = false, core::Duration timeout = {})
    {
        dispatch::Arrival arrival;
        arrival.number = ++number;
        arrival.queue = core::QueueId{queue};
        arrival.idempotent = idempotent;
        arrival.timeout = timeout;
        if (!key.empty()) {
            arrival.key = config::PresentedKey{core::KeyId{key}, key};
        }
        return dispatcher.handleArrival(arrival, now);
    }

    dispatch::Actions finishAttempt(std::uint64_t request, routing::ExchangeOutcome outcome)
    {
        return dispatcher.handleAttemptResult(dispatch::AttemptResult{request, outcome, false}, now);
    }

    allotment::PermitHolder holder{core::NodeId{"n0"}, 1};
    dispatch::Dispatcher dispatcher{"a", 1, holder};
    MemoryLedgerStore store;
    core::TimePoint now{std::chrono::hours{1}};
    config::Version version{0};
    std::uint64_t number{0};
};

config::Document smallDocument()
{
    return DocumentBuilder{}.pool("p", 2, 1).team("t", 1, 2).team("other", 1, 0).queue("q", "p", {"t", "other"}, 1000).build();
}

const dispatch::StartAttempt *startOf(const dispatch::Actions &actions)
{
    REQUIRE(actions.size() == 1);
    return std::get_if<dispatch::StartAttempt>(&actions.front());
}

core::Refusal refusalOf(const dispatch::Actions &actions)
{
    REQUIRE(actions.size() == 1);
    const dispatch::Refuse *refuse = std::get_if<dispatch::Refuse>(&actions.front());
    REQUIRE(refuse != nullptr);
    return refuse->refusal;
}

} // namespace

TEST_CASE("Dispatcher starts a request at once if a slot is free", "[dispatch]")
{
    SingleDispatcher node{smallDocument()};
    CHECK(startOf(node.arrive("q", "t")) != nullptr);
}

TEST_CASE("Dispatcher refuses requests without a valid key, queue or upper limit", "[dispatch]")
{
    SingleDispatcher node{smallDocument()};
    CHECK(refusalOf(node.arrive("q", "")).status == 401);
    CHECK(refusalOf(node.arrive("q", "nobody")).status == 401);
    CHECK(refusalOf(node.arrive("nowhere", "t")).status == 404);
    CHECK(refusalOf(node.arrive("q", "other")).reason == "upper_limit_zero");
}

TEST_CASE("Dispatcher refuses a team that the queue does not allow", "[dispatch]")
{
    SingleDispatcher node{DocumentBuilder{}.pool("p", 1, 1).team("t", 1, 2).team("u", 1, 2).queue("q", "p", {"t"}).build()};
    CHECK(refusalOf(node.arrive("q", "u")).status == 403);
}

TEST_CASE("Dispatcher refuses requests to a queue with an empty pool", "[dispatch]")
{
    SingleDispatcher node{DocumentBuilder{}.pool("p", 0, 1).team("t", 1, 2).queue("q", "p", {"t"}).build()};
    CHECK(refusalOf(node.arrive("q", "t")).reason == "pool_empty");
}

TEST_CASE("Dispatcher refuses a waiting request as not run after its latest start", "[dispatch]")
{
    SingleDispatcher node{smallDocument()};
    (void)node.arrive("q", "t");
    (void)node.arrive("q", "t");
    CHECK(node.arrive("q", "t").empty());
    node.now += milliseconds{1001};
    const core::Refusal refusal = refusalOf(node.dispatcher.tick(node.now));
    CHECK(refusal.outcome == core::Outcome::NotRun);
    CHECK(refusal.retryAfter > core::Duration::zero());
}

TEST_CASE("Dispatcher refuses a request at once if it cannot start in time", "[dispatch]")
{
    SingleDispatcher node{smallDocument()};
    (void)node.arrive("q", "t");
    node.now += milliseconds{900};
    (void)node.finishAttempt(1, routing::ExchangeOutcome::Complete);
    (void)node.arrive("q", "t");
    (void)node.arrive("q", "t");
    CHECK(refusalOf(node.arrive("q", "t", false, milliseconds{500})).reason == "cannot_start_in_time");
}

TEST_CASE("Dispatcher refuses new requests when its configuration is not fresh", "[dispatch]")
{
    SingleDispatcher node{smallDocument()};
    node.dispatcher.setFreshUntil(node.now);
    const core::Refusal refusal = refusalOf(node.arrive("q", "t"));
    CHECK(refusal.reason == "configuration_not_fresh");
    CHECK(refusal.outcome == core::Outcome::NotRun);
}

TEST_CASE("Dispatcher refuses waiting requests whose key was removed", "[dispatch]")
{
    SingleDispatcher node{smallDocument()};
    (void)node.arrive("q", "t");
    (void)node.arrive("q", "t");
    (void)node.arrive("q", "t");
    config::Document without = smallDocument();
    without.teams[core::TeamId{"t"}].keys.clear();
    const core::Refusal refusal = refusalOf(node.configure(without));
    CHECK(refusal.status == 401);
    CHECK(refusal.outcome == core::Outcome::NotRun);
}

TEST_CASE("Dispatcher ignores a configuration of a lower version", "[dispatch]")
{
    SingleDispatcher node{smallDocument()};
    config::Record old;
    old.version = 1;
    CHECK(node.dispatcher.configure(std::make_shared<const config::Snapshot>(old), node.now).empty());
    CHECK(startOf(node.arrive("q", "t")) != nullptr);
}

TEST_CASE("Dispatcher retries and reports outcomes by exchange outcome and idempotence", "[dispatch]")
{
    using routing::ExchangeOutcome;
    struct Row {
        ExchangeOutcome exchange;
        bool idempotent;
        int attempts; /**< Attempts until the refusal if all of them end in this way. */
        core::Outcome outcome; /**< Outcome of the refusal after the last attempt. */
    };
    const Row row = GENERATE(values<Row>({
        {ExchangeOutcome::RefusedNotRun, false, 3, core::Outcome::NotRun},
        {ExchangeOutcome::RefusedNotRun, true, 3, core::Outcome::NotRun},
        {ExchangeOutcome::NotConnected, false, 3, core::Outcome::NotRun},
        {ExchangeOutcome::NotConnected, true, 3, core::Outcome::NotRun},
        {ExchangeOutcome::NothingSent, false, 3, core::Outcome::NotRun},
        {ExchangeOutcome::NothingSent, true, 3, core::Outcome::NotRun},
        {ExchangeOutcome::PartSent, false, 1, core::Outcome::Unknown},
        {ExchangeOutcome::PartSent, true, 2, core::Outcome::Unknown},
        {ExchangeOutcome::NoResponse, false, 1, core::Outcome::Unknown},
        {ExchangeOutcome::NoResponse, true, 2, core::Outcome::Unknown},
        {ExchangeOutcome::BrokenResponse, false, 1, core::Outcome::Unknown},
        {ExchangeOutcome::BrokenResponse, true, 2, core::Outcome::Unknown},
        {ExchangeOutcome::TimedOut, false, 1, core::Outcome::Unknown},
        {ExchangeOutcome::TimedOut, true, 3, core::Outcome::Unknown},
        {ExchangeOutcome::WrongResponse, false, 1, core::Outcome::Unknown},
        {ExchangeOutcome::WrongResponse, true, 3, core::Outcome::Unknown},
        {ExchangeOutcome::TooLarge, false, 1, core::Outcome::Failed},
        {ExchangeOutcome::TooLarge, true, 1, core::Outcome::Failed},
    }));
    SingleDispatcher node{DocumentBuilder{}.pool("p", 20, 8).team("t", 1, 20).queue("q", "p", {"t"}).build()};
    const dispatch::Actions first = node.arrive("q", "t", row.idempotent);
    REQUIRE(startOf(first) != nullptr);
    const core::InstanceId upstream = startOf(first)->upstream;
    dispatch::Actions next = node.finishAttempt(1, row.exchange);
    CAPTURE(routing::toText(row.exchange), row.idempotent);
    for (int attempt = 1; attempt < row.attempts; ++attempt) {
        const dispatch::StartAttempt *retry = startOf(next);
        REQUIRE(retry != nullptr);
        CHECK((attempt > 1 || retry->upstream != upstream));
        CHECK(retry->freshConnection);
        next = node.finishAttempt(1, row.exchange);
    }
    CHECK(refusalOf(next).outcome == row.outcome);
}

TEST_CASE("Dispatcher does not send a request to a third upstream after two have crashed under it", "[dispatch]")
{
    SingleDispatcher node{DocumentBuilder{}.pool("p", 20, 8).team("t", 1, 20).queue("q", "p", {"t"}).build()};
    (void)node.arrive("q", "t", true);
    REQUIRE(startOf(node.finishAttempt(1, routing::ExchangeOutcome::NoResponse)) != nullptr);
    CHECK(refusalOf(node.finishAttempt(1, routing::ExchangeOutcome::NoResponse)).outcome == core::Outcome::Unknown);
}

TEST_CASE("Dispatcher reports an unknown outcome if an earlier attempt may have run", "[dispatch]")
{
    SingleDispatcher node{DocumentBuilder{}.pool("p", 20, 8).team("t", 1, 20).queue("q", "p", {"t"}).build()};
    (void)node.arrive("q", "t", true);
    (void)node.finishAttempt(1, routing::ExchangeOutcome::NoResponse);
    (void)node.finishAttempt(1, routing::ExchangeOutcome::NotConnected);
    CHECK(refusalOf(node.finishAttempt(1, routing::ExchangeOutcome::NotConnected)).outcome == core::Outcome::Unknown);
}

TEST_CASE("Dispatcher keeps the permit of a run that may continue until the request's deadline", "[dispatch]")
{
    SingleDispatcher node{DocumentBuilder{}.pool("p", 4, 4).team("t", 1, 1).queue("q", "p", {"t"}, 1000).build()};
    (void)node.arrive("q", "t");
    (void)node.finishAttempt(1, routing::ExchangeOutcome::NoResponse);
    CHECK(node.arrive("q", "t").empty());
    node.now += milliseconds{999};
    CHECK(node.dispatcher.tick(node.now).empty());
    node.now += milliseconds{1};
    CHECK(node.dispatcher.size() == 1);
    const dispatch::Actions actions = node.dispatcher.tick(node.now);
    CHECK(actions.size() == 1);
}

TEST_CASE("Dispatcher starts no new request on a leaving upstream", "[dispatch]")
{
    SingleDispatcher node{DocumentBuilder{}.pool("p", 2, 8).team("t", 1, 16).queue("q", "p", {"t"}).build()};
    const core::InstanceId leaving = startOf(node.arrive("q", "t"))->upstream;
    (void)node.dispatcher.handleAttemptResult(dispatch::AttemptResult{1, routing::ExchangeOutcome::Complete, true}, node.now);
    for (int count = 0; count < 8; ++count) {
        CHECK(startOf(node.arrive("q", "t"))->upstream != leaving);
    }
    CHECK(node.arrive("q", "t").empty());
}

TEST_CASE("Dispatcher counts an upstream's failure when the exchange fails, not when its slot is released", "[dispatch]")
{
    SingleDispatcher node{DocumentBuilder{}.pool("p", 2, 8).team("t", 1, 16).queue("q", "p", {"t"}, 1000).build()};
    // Each upstream has a failure, a success and two more failures, so never three failures in a row.
    for (const routing::ExchangeOutcome outcome : {routing::ExchangeOutcome::NoResponse,
                                                   routing::ExchangeOutcome::Complete,
                                                   routing::ExchangeOutcome::NoResponse,
                                                   routing::ExchangeOutcome::NoResponse}) {
        const std::uint64_t first = node.number + 1;
        for (int count = 0; count < 2; ++count) {
            (void)node.arrive("q", "t");
        }
        (void)node.finishAttempt(first, outcome);
        (void)node.finishAttempt(first + 1, outcome);
    }
    node.now += milliseconds{1001};
    (void)node.dispatcher.tick(node.now);
    std::set<core::InstanceId> used;
    for (int count = 0; count < 16; ++count) {
        used.insert(startOf(node.arrive("q", "t"))->upstream);
    }
    CHECK(used.size() == 2);
}

TEST_CASE("Dispatcher subtracts the upstream's slots from the connections that may stay idle", "[dispatch]")
{
    config::Document document = DocumentBuilder{}.pool("p", 1, 8).team("t", 1, 16).queue("q", "p", {"t"}).build();
    document.instances.begin()->second.connections = GENERATE(64U, 8U, 4U);
    const std::uint32_t connections = document.instances.begin()->second.connections;
    SingleDispatcher node{document};
    CHECK(startOf(node.arrive("q", "t"))->idleConnections == (connections > 8 ? connections - 8 : 0));
}

// Guards against requests sent to a zone that an operator has closed, and against runs that are cut off by the closure.
TEST_CASE("Dispatcher starts nothing in a closed zone and lets running requests end", "[dispatch]")
{
    config::Document document = DocumentBuilder{}.pool("p", 2, 2).team("t", 1, 16).queue("q", "p", {"t"}).build();
    const core::InstanceId open{"p0"};
    const core::InstanceId closed{"p1"};
    document.instances.at(closed).zone = "b";
    SingleDispatcher node{document};
    std::set<std::uint64_t> onClosed;
    for (int count = 0; count < 4; ++count) {
        const core::InstanceId upstream = startOf(node.arrive("q", "t"))->upstream;
        if (upstream == closed) {
            onClosed.insert(node.number);
        }
    }
    REQUIRE(onClosed.size() == 2);
    document.closedZones = {"b"};
    CHECK(node.configure(document).empty());
    CHECK(node.arrive("q", "t").empty());
    for (const std::uint64_t request : onClosed) {
        const dispatch::Actions actions = node.finishAttempt(request, routing::ExchangeOutcome::Complete);
        REQUIRE(actions.size() == 1);
        CHECK(std::holds_alternative<dispatch::Deliver>(actions.front()));
    }
    node.stepHolder();
    CHECK(node.dispatcher.tick(node.now).empty());
    // A waiting request starts on the open instance as soon as it has room, and in the zone once it is open again.
    CHECK(node.dispatcher.size() == 3);
    document.closedZones.clear();
    const dispatch::Actions opened = node.configure(document);
    for (int round = 0; round < 8; ++round) {
        node.stepHolder();
    }
    dispatch::Actions started = opened;
    const dispatch::Actions later = node.dispatcher.tick(node.now);
    started.insert(started.end(), later.begin(), later.end());
    CHECK(startOf(started)->upstream == closed);
}

// Guards against a retry that goes back to an instance whose zone was closed during the first attempt.
TEST_CASE("Dispatcher retries outside of a zone that was closed meanwhile", "[dispatch]")
{
    config::Document document = DocumentBuilder{}.pool("p", 2, 8).team("t", 1, 16).queue("q", "p", {"t"}).build();
    SingleDispatcher node{document};
    const core::InstanceId first = startOf(node.arrive("q", "t", true))->upstream;
    const core::InstanceId other{first == core::InstanceId{"p0"} ? "p1" : "p0"};
    document.instances.at(other).zone = "b";
    document.closedZones = {"b"};
    (void)node.configure(document);
    CHECK(startOf(node.finishAttempt(1, routing::ExchangeOutcome::NotConnected))->upstream == first);
    document.instances.at(first).zone = "b";
    (void)node.configure(document);
    CHECK(node.finishAttempt(1, routing::ExchangeOutcome::NotConnected).empty());
}

#include <catch2/catch.hpp>

#include "oleanderwick/node/keyed_duty.hpp"
#include "support/lossy_store.hpp"

namespace core = oleanderwick::core;
namespace http = oleanderwick::http;
namespace node = oleanderwick::node;
namespace store = oleanderwick::store;
using oleanderwick::test::LossyStore;
using Kind = node::ClaimResult::Kind;

namespace
{

const node::StoreKeys keys{"/test"};
const core::MonotonicClock systemClock;
const http::Response response{200, {{"Content-Type", "text/plain"}}, std::string{"an\0swer", 7}};

node::IdempotencyClaim makeClaim(const std::string &owner, const std::string &fingerprint = "same")
{
    return node::IdempotencyClaim{"name", owner, fingerprint, nullptr};
}

node::IdempotencyFinish makeFinish(const std::string &owner, std::optional<http::Response> answer)
{
    return node::IdempotencyFinish{"name", owner, "same", std::move(answer), nullptr};
}

} // namespace

TEST_CASE("IdempotencyStore lets only one of two concurrent requests with the same key run", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::IdempotencyStore one{memory, keys};
    node::IdempotencyStore two{memory, keys};
    CHECK(one.claim(makeClaim("a")).kind == Kind::Claimed);
    CHECK(two.claim(makeClaim("b")).kind == Kind::Running);
}

TEST_CASE("IdempotencyStore returns the first response to a retry through another node", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::IdempotencyStore one{memory, keys};
    node::IdempotencyStore two{memory, keys};
    REQUIRE(one.claim(makeClaim("a")).kind == Kind::Claimed);
    one.finish(makeFinish("a", response));
    const node::ClaimResult repeat = two.claim(makeClaim("b"));
    CHECK(repeat.kind == Kind::Answered);
    CHECK(repeat.answer == response);
}

TEST_CASE("IdempotencyStore rejects a key that was used for another request", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::IdempotencyStore one{memory, keys};
    REQUIRE(one.claim(makeClaim("a")).kind == Kind::Claimed);
    CHECK(one.claim(makeClaim("b", "other")).kind == Kind::Different);
}

TEST_CASE("IdempotencyStore lets a key be claimed again if its request was not run", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::IdempotencyStore one{memory, keys};
    REQUIRE(one.claim(makeClaim("a")).kind == Kind::Claimed);
    one.finish(makeFinish("a", std::nullopt));
    CHECK(one.claim(makeClaim("b")).kind == Kind::Claimed);
}

TEST_CASE("IdempotencyStore does not let a retry run after the node that claimed the key was lost", "[node]")
{
    store::MemoryStore memory{systemClock};
    {
        node::IdempotencyStore lostNode{memory, keys};
        REQUIRE(lostNode.claim(makeClaim("a")).kind == Kind::Claimed);
    }
    node::IdempotencyStore other{memory, keys};
    for (int repeat = 0; repeat < 5; ++repeat) {
        CHECK(other.claim(makeClaim("b" + std::to_string(repeat))).kind == Kind::Running);
    }
}

TEST_CASE("IdempotencyStore lets at most one request per key run when replies of the store are lost", "[node]")
{
    int totalClaims = 0;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        store::MemoryStore memory{systemClock};
        LossyStore lossyStore{memory, seed};
        node::IdempotencyStore one{lossyStore.mock, keys};
        node::IdempotencyStore two{lossyStore.mock, keys};
        int claimed = 0;
        for (int repeat = 0; repeat < 6; ++repeat) {
            node::IdempotencyStore &target = repeat % 2 == 0 ? one : two;
            claimed += target.claim(makeClaim("r" + std::to_string(repeat))).kind == Kind::Claimed ? 1 : 0;
        }
        REQUIRE(claimed <= 1);
        totalClaims += claimed;
    }
    CHECK(totalClaims > 200);
}

TEST_CASE("idempotencyRecordFromText parses the output of toText and rejects malformed text", "[node]")
{
    const node::IdempotencyRecord record{"a", "f", response};
    CHECK(node::idempotencyRecordFromText(node::toText(record)).value() == record);
    const std::string text = GENERATE(std::string{}, std::string{"{}"}, std::string{R"({"owner":"a","fingerprint":"f","answer":{"status":"x"}})"});
    CHECK_FALSE(node::idempotencyRecordFromText(text).ok());
}

TEST_CASE("idempotencyRecordName differs for different teams, queues and keys", "[node]")
{
    CHECK(node::idempotencyRecordName(core::TeamId{"a"}, core::QueueId{"bc"}, "d") != node::idempotencyRecordName(core::TeamId{"ab"}, core::QueueId{"c"}, "d"));
    CHECK(node::idempotencyRecordName(core::TeamId{"a"}, core::QueueId{"b"}, "c") == node::idempotencyRecordName(core::TeamId{"a"}, core::QueueId{"b"}, "c"));
}

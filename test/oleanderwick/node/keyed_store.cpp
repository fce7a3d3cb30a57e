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

node::KeyedClaim makeClaim(const std::string &owner, const std::string &fingerprint = "same")
{
    return node::KeyedClaim{"name", owner, fingerprint, nullptr};
}

node::KeyedFinish makeFinish(const std::string &owner, std::optional<http::Response> answer)
{
    return node::KeyedFinish{"name", owner, "same", std::move(answer), nullptr};
}

} // namespace

TEST_CASE("KeyedStore lets only one of two concurrent requests with the same key run", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::KeyedStore one{memory, keys};
    node::KeyedStore two{memory, keys};
    CHECK(one.claim(makeClaim("a")).kind == Kind::Claimed);
    CHECK(two.claim(makeClaim("b")).kind == Kind::Running);
}

TEST_CASE("KeyedStore returns the first response to a retry through another node", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::KeyedStore one{memory, keys};
    node::KeyedStore two{memory, keys};
    REQUIRE(one.claim(makeClaim("a")).kind == Kind::Claimed);
    one.finish(makeFinish("a", response));
    const node::ClaimResult repeat = two.claim(makeClaim("b"));
    CHECK(repeat.kind == Kind::Answered);
    CHECK(repeat.answer == response);
}

TEST_CASE("KeyedStore rejects a key that was used for another request", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::KeyedStore one{memory, keys};
    REQUIRE(one.claim(makeClaim("a")).kind == Kind::Claimed);
    CHECK(one.claim(makeClaim("b", "other")).kind == Kind::Different);
}

TEST_CASE("KeyedStore lets a key be claimed again if its request was not run", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::KeyedStore one{memory, keys};
    REQUIRE(one.claim(makeClaim("a")).kind == Kind::Claimed);
    one.finish(makeFinish("a", std::nullopt));
    CHECK(one.claim(makeClaim("b")).kind == Kind::Claimed);
}

TEST_CASE("KeyedStore does not let a retry run after the node that claimed the key was lost", "[node]")
{
    store::MemoryStore memory{systemClock};
    {
        node::KeyedStore lostNode{memory, keys};
        REQUIRE(lostNode.claim(makeClaim("a")).kind == Kind::Claimed);
    }
    node::KeyedStore other{memory, keys};
    for (int repeat = 0; repeat < 5; ++repeat) {
        CHECK(other.claim(makeClaim("b" + std::to_string(repeat))).kind == Kind::Running);
    }
}

TEST_CASE("KeyedStore lets at most one request per key run when replies of the store are lost", "[node]")
{
    int totalClaims = 0;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        store::MemoryStore memory{systemClock};
        LossyStore lossyStore{memory, seed};
        node::KeyedStore one{lossyStore.mock, keys};
        node::KeyedStore two{lossyStore.mock, keys};
        int claimed = 0;
        for (int repeat = 0; repeat < 6; ++repeat) {
            node::KeyedStore &target = repeat % 2 == 0 ? one : two;
            claimed += target.claim(makeClaim("r" + std::to_string(repeat))).kind == Kind::Claimed ? 1 : 0;
        }
        REQUIRE(claimed <= 1);
        totalClaims += claimed;
    }
    CHECK(totalClaims > 200);
}

TEST_CASE("keyedFromText parses the output of toText and rejects malformed text", "[node]")
{
    const node::KeyedRecord record{"a", "f", response};
    CHECK(node::keyedFromText(node::toText(record)).value() == record);
    const std::string text = GENERATE(std::string{}, std::string{"{}"}, std::string{R"({"owner":"a","fingerprint":"f","answer":{"status":"x"}})"});
    CHECK_FALSE(node::keyedFromText(text).ok());
}

TEST_CASE("keyedName differs for different teams, queues and keys", "[node]")
{
    CHECK(node::keyedName(core::TeamId{"a"}, core::QueueId{"bc"}, "d") != node::keyedName(core::TeamId{"ab"}, core::QueueId{"c"}, "d"));
    CHECK(node::keyedName(core::TeamId{"a"}, core::QueueId{"b"}, "c") == node::keyedName(core::TeamId{"a"}, core::QueueId{"b"}, "c"));
}

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
const http::Response done{200, {{"Content-Type", "text/plain"}}, std::string{"an\0swer", 7}};

node::KeyedClaim claimOf(const std::string &owner, const std::string &fingerprint = "same")
{
    return node::KeyedClaim{"name", owner, fingerprint, nullptr};
}

node::KeyedFinish finishOf(const std::string &owner, std::optional<http::Response> answer)
{
    return node::KeyedFinish{"name", owner, "same", std::move(answer), nullptr};
}

} // namespace

TEST_CASE("KeyedStore lets one of two racing requests run", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::KeyedStore one{memory, keys};
    node::KeyedStore two{memory, keys};
    CHECK(one.claim(claimOf("a")).kind == Kind::Claimed);
    CHECK(two.claim(claimOf("b")).kind == Kind::Running);
}

TEST_CASE("KeyedStore gives a repeat the first answer through another node", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::KeyedStore one{memory, keys};
    node::KeyedStore two{memory, keys};
    REQUIRE(one.claim(claimOf("a")).kind == Kind::Claimed);
    one.finish(finishOf("a", done));
    const node::ClaimResult repeat = two.claim(claimOf("b"));
    CHECK(repeat.kind == Kind::Answered);
    CHECK(repeat.answer == done);
}

TEST_CASE("KeyedStore refuses a key that was used for another request", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::KeyedStore one{memory, keys};
    REQUIRE(one.claim(claimOf("a")).kind == Kind::Claimed);
    CHECK(one.claim(claimOf("b", "other")).kind == Kind::Different);
}

TEST_CASE("KeyedStore lets a key be claimed again when nothing was run", "[node]")
{
    store::MemoryStore memory{systemClock};
    node::KeyedStore one{memory, keys};
    REQUIRE(one.claim(claimOf("a")).kind == Kind::Claimed);
    one.finish(finishOf("a", std::nullopt));
    CHECK(one.claim(claimOf("b")).kind == Kind::Claimed);
}

TEST_CASE("KeyedStore never lets a key run again when its node was lost", "[node]")
{
    store::MemoryStore memory{systemClock};
    {
        node::KeyedStore lost{memory, keys};
        REQUIRE(lost.claim(claimOf("a")).kind == Kind::Claimed);
    }
    node::KeyedStore other{memory, keys};
    for (int repeat = 0; repeat < 5; ++repeat) {
        CHECK(other.claim(claimOf("b" + std::to_string(repeat))).kind == Kind::Running);
    }
}

TEST_CASE("KeyedStore lets a key run once whatever answers are lost", "[node]")
{
    int claimedAtAll = 0;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        store::MemoryStore memory{systemClock};
        LossyStore lossy{memory, seed};
        node::KeyedStore one{lossy.mock, keys};
        node::KeyedStore two{lossy.mock, keys};
        int claimed = 0;
        for (int repeat = 0; repeat < 6; ++repeat) {
            node::KeyedStore &through = repeat % 2 == 0 ? one : two;
            claimed += through.claim(claimOf("r" + std::to_string(repeat))).kind == Kind::Claimed ? 1 : 0;
        }
        REQUIRE(claimed <= 1);
        claimedAtAll += claimed;
    }
    CHECK(claimedAtAll > 200);
}

TEST_CASE("keyedFromText reads what toText wrote and refuses the rest", "[node]")
{
    const node::KeyedRecord record{"a", "f", done};
    CHECK(node::keyedFromText(node::toText(record)).value() == record);
    const std::string text = GENERATE(std::string{}, std::string{"{}"}, std::string{R"({"owner":"a","fingerprint":"f","answer":{"status":"x"}})"});
    CHECK_FALSE(node::keyedFromText(text).ok());
}

TEST_CASE("keyedName tells teams, queues and keys apart", "[node]")
{
    CHECK(node::keyedName(core::TeamId{"a"}, core::QueueId{"bc"}, "d") != node::keyedName(core::TeamId{"ab"}, core::QueueId{"c"}, "d"));
    CHECK(node::keyedName(core::TeamId{"a"}, core::QueueId{"b"}, "c") == node::keyedName(core::TeamId{"a"}, core::QueueId{"b"}, "c"));
}

#include <catch2/catch.hpp>

#include "oleanderwick/membership/membership.hpp"

namespace core = oleanderwick::core;
namespace membership = oleanderwick::membership;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t fleetSize = 5;
const core::NodeId self{"n0"};
const core::TimePoint start{std::chrono::hours{1}};

membership::Digest digestOf(const std::string &node, std::uint64_t sequence, std::vector<core::NodeId> alive = {})
{
    membership::Digest digest;
    digest.node = core::NodeId{node};
    digest.sequence = sequence;
    digest.alive = std::move(alive);
    return digest;
}

membership::Roster rosterWith(const std::vector<std::string> &peers, core::TimePoint now)
{
    membership::Roster roster{self, fleetSize, membership::Bounds{}};
    for (const std::string &peer : peers) {
        roster.hearReply(digestOf(peer, 1), now, now);
    }
    return roster;
}

} // namespace

TEST_CASE("Roster is fresh with the store alone", "[membership]")
{
    membership::Roster roster{self, fleetSize, membership::Bounds{}};
    CHECK(roster.freshUntil() < start);
    roster.hearStore(start);
    CHECK(roster.freshUntil() == start + seconds{4});
}

TEST_CASE("Roster is fresh with more than half of the fleet", "[membership]")
{
    CHECK(rosterWith({"n1"}, start).freshUntil() < start);
    CHECK(rosterWith({"n1", "n2"}, start).freshUntil() == start + seconds{4});
}

TEST_CASE("Roster is always fresh in a fleet of one", "[membership]")
{
    const membership::Roster roster{self, 1, membership::Bounds{}};
    CHECK(roster.freshUntil() == core::TimePoint::max());
}

TEST_CASE("Roster takes a peer's own call for no proof that the peer heard this node", "[membership]")
{
    membership::Roster roster{self, fleetSize, membership::Bounds{}};
    for (const std::string peer : {"n1", "n2", "n3", "n4"}) {
        roster.hear(digestOf(peer, 1), start);
    }
    CHECK(roster.alive(start).size() == fleetSize);
    CHECK(roster.freshUntil() < start);
}

TEST_CASE("Roster dates a proof by the call and not by its answer", "[membership]")
{
    membership::Roster roster{self, fleetSize, membership::Bounds{}};
    const core::TimePoint late = start + std::chrono::minutes{1};
    roster.hearReply(digestOf("n1", 1), start, late);
    roster.hearReply(digestOf("n2", 1), start, late);
    CHECK(roster.freshUntil() == start + seconds{4});
}

TEST_CASE("Roster ignores old and doubled digests and its own", "[membership]")
{
    membership::Roster roster{self, fleetSize, membership::Bounds{}};
    CHECK(roster.hear(digestOf("n1", 2), start));
    CHECK_FALSE(roster.hear(digestOf("n1", 2), start));
    CHECK_FALSE(roster.hear(digestOf("n1", 1), start));
    CHECK_FALSE(roster.hear(digestOf("n0", 9), start));
}

TEST_CASE("Roster gives up a node only after its longest request", "[membership]")
{
    const core::NodeId gone{"gone"};
    const membership::Bounds bounds;
    membership::Roster roster{self, fleetSize, bounds};
    core::TimePoint now = start;
    std::uint64_t sequence = 0;
    const auto hearAll = [&] {
        ++sequence;
        roster.hear(digestOf("n1", sequence), now);
        roster.hear(digestOf("n2", sequence), now);
        roster.observe({}, {gone}, now);
    };
    const core::TimePoint due = start + bounds.deadAfter + bounds.longestRequest;
    for (; now < due; now += seconds{1}) {
        hearAll();
        CHECK(roster.departed(now).empty());
    }
    hearAll();
    CHECK(roster.departed(now) == std::set<core::NodeId>{gone});
}

TEST_CASE("Roster starts the wait anew when anyone hears the node, or when it is registered", "[membership]")
{
    const core::NodeId gone{"gone"};
    const bool registered = GENERATE(false, true);
    membership::Roster roster{self, fleetSize, membership::Bounds{}};
    core::TimePoint now = start;
    for (std::uint64_t sequence = 1; sequence < 60; ++sequence) {
        const bool seen = sequence == 30;
        roster.hear(digestOf("n1", sequence, seen && !registered ? std::vector<core::NodeId>{gone} : std::vector<core::NodeId>{}), now);
        roster.hear(digestOf("n2", sequence), now);
        roster.observe(seen && registered ? std::set<core::NodeId>{gone} : std::set<core::NodeId>{}, {gone}, now);
        CHECK(roster.departed(now).empty());
        now += seconds{1};
    }
}

TEST_CASE("Roster gives up nobody without more than half of the fleet", "[membership]")
{
    const core::NodeId gone{"gone"};
    membership::Roster roster{self, fleetSize, membership::Bounds{}};
    core::TimePoint now = start;
    for (std::uint64_t sequence = 1; sequence < 100; ++sequence) {
        roster.hear(digestOf("n1", sequence), now);
        roster.observe({}, {gone}, now);
        CHECK(roster.departed(now).empty());
        now += seconds{1};
    }
}

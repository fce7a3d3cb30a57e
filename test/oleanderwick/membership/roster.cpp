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
    membership::Roster roster{self, fleetSize, membership::Timeouts{}};
    for (const std::string &peer : peers) {
        roster.handleDigestReply(digestOf(peer, 1), now, now);
    }
    return roster;
}

} // namespace

TEST_CASE("Roster is fresh after contact with the store alone", "[membership]")
{
    membership::Roster roster{self, fleetSize, membership::Timeouts{}};
    CHECK(roster.freshUntil() < start);
    roster.recordStoreContact(start);
    CHECK(roster.freshUntil() == start + seconds{4});
}

TEST_CASE("Roster is fresh after replies from peers that make a majority with it", "[membership]")
{
    CHECK(rosterWith({"n1"}, start).freshUntil() < start);
    CHECK(rosterWith({"n1", "n2"}, start).freshUntil() == start + seconds{4});
}

TEST_CASE("Roster is always fresh in a fleet of one", "[membership]")
{
    const membership::Roster roster{self, 1, membership::Timeouts{}};
    CHECK(roster.freshUntil() == core::TimePoint::max());
}

TEST_CASE("Roster does not count an unsolicited digest of a peer as proof that the peer has heard this node", "[membership]")
{
    membership::Roster roster{self, fleetSize, membership::Timeouts{}};
    for (const std::string peer : {"n1", "n2", "n3", "n4"}) {
        roster.handleDigest(digestOf(peer, 1), start);
    }
    CHECK(roster.alive(start).size() == fleetSize);
    CHECK(roster.freshUntil() < start);
}

TEST_CASE("Roster dates a proof by the start of the call and not by its reply", "[membership]")
{
    membership::Roster roster{self, fleetSize, membership::Timeouts{}};
    const core::TimePoint replyAt = start + std::chrono::minutes{1};
    roster.handleDigestReply(digestOf("n1", 1), start, replyAt);
    roster.handleDigestReply(digestOf("n2", 1), start, replyAt);
    CHECK(roster.freshUntil() == start + seconds{4});
}

TEST_CASE("Roster ignores outdated and duplicate digests and its own", "[membership]")
{
    membership::Roster roster{self, fleetSize, membership::Timeouts{}};
    CHECK(roster.handleDigest(digestOf("n1", 2), start));
    CHECK_FALSE(roster.handleDigest(digestOf("n1", 2), start));
    CHECK_FALSE(roster.handleDigest(digestOf("n1", 1), start));
    CHECK_FALSE(roster.handleDigest(digestOf("n0", 9), start));
}

TEST_CASE("Roster declares a node departed only after its requests must have ended", "[membership]")
{
    const core::NodeId missing{"gone"};
    const membership::Timeouts timeouts;
    membership::Roster roster{self, fleetSize, timeouts};
    core::TimePoint now = start;
    std::uint64_t sequence = 0;
    const auto advance = [&] {
        ++sequence;
        roster.handleDigest(digestOf("n1", sequence), now);
        roster.handleDigest(digestOf("n2", sequence), now);
        roster.handleRegistrations({}, {missing}, now);
    };
    const core::TimePoint departsAt = start + timeouts.deadAfter + timeouts.maxRequestTime;
    for (; now < departsAt; now += seconds{1}) {
        advance();
        CHECK(roster.departed(now).empty());
    }
    advance();
    CHECK(roster.departed(now) == std::set<core::NodeId>{missing});
}

TEST_CASE("Roster restarts the wait for a missing node when a peer reports it alive or the store lists it", "[membership]")
{
    const core::NodeId missing{"gone"};
    const bool registered = GENERATE(false, true);
    membership::Roster roster{self, fleetSize, membership::Timeouts{}};
    core::TimePoint now = start;
    for (std::uint64_t sequence = 1; sequence < 60; ++sequence) {
        const bool isSeen = sequence == 30;
        roster.handleDigest(digestOf("n1", sequence, isSeen && !registered ? std::vector<core::NodeId>{missing} : std::vector<core::NodeId>{}), now);
        roster.handleDigest(digestOf("n2", sequence), now);
        roster.handleRegistrations(isSeen && registered ? std::set<core::NodeId>{missing} : std::set<core::NodeId>{}, {missing}, now);
        CHECK(roster.departed(now).empty());
        now += seconds{1};
    }
}

TEST_CASE("Roster declares no node departed without a majority of the fleet", "[membership]")
{
    const core::NodeId missing{"gone"};
    membership::Roster roster{self, fleetSize, membership::Timeouts{}};
    core::TimePoint now = start;
    for (std::uint64_t sequence = 1; sequence < 100; ++sequence) {
        roster.handleDigest(digestOf("n1", sequence), now);
        roster.handleRegistrations({}, {missing}, now);
        CHECK(roster.departed(now).empty());
        now += seconds{1};
    }
}

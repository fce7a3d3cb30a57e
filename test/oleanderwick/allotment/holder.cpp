#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "support/fleet_model.hpp"

namespace allotment = oleanderwick::allotment;
namespace core = oleanderwick::core;
using oleanderwick::test::FleetModel;

namespace
{

constexpr std::size_t fleetSize = 7;

/** One round without faults: all nodes exchange their demands and permit requests, then make their store calls. */
void faultFreeRound(FleetModel &fleet)
{
    for (std::size_t from = 0; from < fleet.size(); ++from) {
        for (std::size_t to = 0; to < fleet.size(); ++to) {
            fleet.sendState(from, to);
        }
    }
    // Nodes step every 50 ms and exchange their state every 250 ms: five steps for each exchange.
    for (int step = 0; step < 5; ++step) {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            fleet.step(index, false, false);
        }
    }
}

void randomRound(FleetModel &fleet, bool storeUnavailable)
{
    const std::size_t index = fleet.randomBelow(static_cast<std::uint32_t>(fleet.size()));
    fleet.setDemand(index, fleet.randomBelow(12));
    switch (fleet.randomBelow(7)) {
    case 4:
        fleet.crash(index);
        break;
    case 0:
        fleet.start(index, fleet.randomBelow(12));
        break;
    case 1:
        fleet.finish(index, fleet.randomBelow(12));
        break;
    case 2:
        fleet.sendState(fleet.randomBelow(static_cast<std::uint32_t>(fleet.size())), index);
        break;
    case 3:
        fleet.settleLateWrites();
        break;
    default:
        fleet.setDemand(index, fleet.randomBelow(12));
        fleet.step(index, storeUnavailable, true);
        break;
    }
}

void offerLoad(FleetModel &fleet, std::size_t index, std::uint32_t waiting)
{
    const std::uint32_t started = fleet.start(index, waiting);
    fleet.setDemand(index, waiting - started);
}

} // namespace

TEST_CASE("PermitHolder keeps the permits in use within the limit over the fleet", "[allotment]")
{
    const bool holds = rc::check("permits in use stay within the limit with lost and late writes and store outages", [] {
        const std::uint32_t limit = *rc::gen::inRange<std::uint32_t>(0, 20);
        FleetModel fleet{fleetSize, limit, *rc::gen::arbitrary<std::uint64_t>()};
        for (int round = 0; round < 600; ++round) {
            randomRound(fleet, round % 200 > 150);
            RC_ASSERT(fleet.totalHeld() <= limit);
            RC_ASSERT(fleet.totalRunning() <= limit);
        }
    });
    CHECK(holds);
}

TEST_CASE("PermitHolder starts no request above a lowered limit", "[allotment]")
{
    const bool holds = rc::check("no request starts while running requests exhaust the lowered limit", [] {
        const std::uint32_t before = *rc::gen::inRange<std::uint32_t>(8, 30);
        const std::uint32_t after = *rc::gen::inRange<std::uint32_t>(0, 8);
        FleetModel fleet{fleetSize, before, *rc::gen::arbitrary<std::uint64_t>()};
        for (int round = 0; round < 10; ++round) {
            for (std::size_t index = 0; index < fleetSize; ++index) {
                offerLoad(fleet, index, before);
            }
            faultFreeRound(fleet);
        }
        fleet.setLimit(after);
        faultFreeRound(fleet);
        faultFreeRound(fleet);
        for (int round = 0; round < 100; ++round) {
            const std::size_t index = fleet.randomBelow(fleetSize);
            const std::uint32_t running = fleet.totalRunning();
            const std::uint32_t started = fleet.start(index, 3);
            RC_ASSERT(started == 0 || running + started <= after);
            fleet.finish(fleet.randomBelow(fleetSize), 1);
            fleet.setDemand(index, 3);
            fleet.step(index, false, true);
        }
    });
    CHECK(holds);
}

TEST_CASE("PermitHolder moves almost all permits to the only loaded node within 8 exchanges", "[allotment]")
{
    // The target is 2 s, which is eight exchanges of 250 ms.
    constexpr std::uint32_t limit = 100;
    FleetModel fleet{fleetSize, limit, 1};
    for (int round = 0; round < 10; ++round) {
        faultFreeRound(fleet);
    }
    for (int round = 0; round < 8; ++round) {
        offerLoad(fleet, 0, limit);
        faultFreeRound(fleet);
    }
    offerLoad(fleet, 0, limit);
    CHECK(fleet.node(0).running[FleetModel::limitId()] >= 97);
}

TEST_CASE("PermitHolder spreads the permits evenly when there is no demand", "[allotment]")
{
    FleetModel fleet{fleetSize, 70, 1};
    for (int round = 0; round < 12; ++round) {
        faultFreeRound(fleet);
    }
    for (std::size_t index = 0; index < fleetSize; ++index) {
        CHECK(fleet.node(index).holder->usable(FleetModel::limitId()) == 10);
    }
}

TEST_CASE("PermitHolder keeps its permits while the store is unavailable", "[allotment]")
{
    FleetModel fleet{fleetSize, 70, 1};
    for (int round = 0; round < 12; ++round) {
        faultFreeRound(fleet);
    }
    for (int round = 0; round < 50; ++round) {
        fleet.step(3, true, false);
    }
    CHECK(fleet.node(3).holder->usable(FleetModel::limitId()) == 10);
}

TEST_CASE("PermitHolder claims the permits of a departed node", "[allotment]")
{
    FleetModel fleet{fleetSize, 70, 1};
    for (int round = 0; round < 12; ++round) {
        faultFreeRound(fleet);
    }
    fleet.node(6).stopped = true;
    for (std::size_t index = 0; index < 6; ++index) {
        fleet.node(index).holder->removePeer(fleet.node(6).id);
        fleet.node(index).holder->setDeparted({fleet.node(6).id});
    }
    for (int round = 0; round < 8; ++round) {
        offerLoad(fleet, 0, 70);
        faultFreeRound(fleet);
    }
    offerLoad(fleet, 0, 70);
    CHECK(fleet.node(0).running[FleetModel::limitId()] >= 68);
}

TEST_CASE("PermitHolder without running requests releases all permits on shutdown", "[allotment]")
{
    FleetModel fleet{fleetSize, 70, 1};
    for (int round = 0; round < 12; ++round) {
        faultFreeRound(fleet);
    }
    fleet.node(2).holder->releaseUnused();
    faultFreeRound(fleet);
    faultFreeRound(fleet);
    CHECK_FALSE(fleet.node(2).holder->holders().contains(fleet.node(2).id));
}

TEST_CASE("PermitHolder does not use transferred permits after a write with unknown outcome until a later write succeeds", "[allotment]")
{
    allotment::PermitHolder holder{core::NodeId{"n0"}, 2};
    oleanderwick::config::Record record;
    record.version = 1;
    oleanderwick::config::Team team;
    team.upperLimit = 4;
    record.document.teams.emplace(core::TeamId{"t"}, team);
    holder.configure(oleanderwick::config::Snapshot{record});
    const allotment::LimitId limitId = FleetModel::limitId();
    const std::size_t shard = allotment::PermitHolder::shardOf(limitId);
    allotment::Ledger ledger;
    ledger.claim(core::NodeId{"n0"}, limitId, 4, 4);
    const allotment::StoredLedger stored{5, ledger};
    for (const allotment::LedgerRead &read : holder.step().reads) {
        holder.onRead(read.shard, read.shard == shard ? stored : allotment::StoredLedger{});
    }
    REQUIRE(holder.usable(limitId) == 4);
    holder.setPeer(core::NodeId{"n1"},
                   {allotment::TeamDemand{oleanderwick::core::PoolId{"p"}, core::TeamId{"t"}, 0, 2}},
                   {allotment::PermitRequest{FleetModel::group(), 2}},
                   {});
    holder.plan();
    REQUIRE(holder.step().writes.size() == 1);
    CHECK(holder.usable(limitId) == 2);
    holder.onWritten(shard, allotment::WriteOutcome::Unknown, std::nullopt);
    CHECK(holder.usable(limitId) == 2);
    for (const allotment::LedgerRead &read : holder.step().reads) {
        holder.onRead(read.shard, stored);
    }
    // The stored value is unchanged, but the first write may still take effect until another write has succeeded.
    CHECK(holder.usable(limitId) == 2);
    const allotment::LedgerCalls next = holder.step();
    REQUIRE(next.writes.size() == 1);
    holder.onWritten(shard, allotment::WriteOutcome::Written, allotment::StoredLedger{6, next.writes.front().value});
    CHECK(holder.usable(limitId) == next.writes.front().value.held(core::NodeId{"n0"}, limitId));
}

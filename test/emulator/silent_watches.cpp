#include <algorithm>

#include <catch2/catch.hpp>

#include "emulator/world.hpp"

using namespace oleanderwick;
using emulator::Deployment;
using emulator::Fault;
using emulator::FaultKind;

namespace
{

/** Small fleet with room for all jobs, whose watches are silent for most of 13 s; without a standby pool, so that no job waits for the move of an instance. */
Deployment makeSilentFleet()
{
    Deployment fleet = emulator::makeSmallFleet();
    fleet.pools.pop_back();
    fleet.notifyOwner = true;
    fleet.peakFactor = 1.0;
    fleet.faults = {Fault{FaultKind::StoreWatchesSilent, 4.0, 13.0, 1.0}};
    return fleet;
}

emulator::SimulationReport runSimulation(const Deployment &fleet, std::uint64_t seed)
{
    emulator::Simulation simulation{fleet, seed};
    const emulator::SimulationReport report = simulation.simulate();
    for (const emulator::Violation &violation : report.violations) {
        UNSCOPED_INFO(violation.invariant << ' ' << violation.detail);
    }
    CHECK(report.violations.empty());
    return report;
}

double highest(const std::vector<double> &delaysS)
{
    return delaysS.empty() ? 0.0 : *std::max_element(delaysS.begin(), delaysS.end());
}

} // namespace

TEST_CASE("jobs acknowledged while watches are silent start within 0.3 s", "[silence]")
{
    // Without notices they start after the next compaction, up to 3.4 s later.
    const emulator::SimulationReport report = runSimulation(makeSilentFleet(), 21);
    CHECK(report.silentJobDelaysS.size() >= 25);
    CHECK(highest(report.silentJobDelaysS) <= 0.3);
}

namespace
{

/** Fleet in which all instances but one of a pool are on standby, and the pool needs most of them from the start of the silence on. */
Deployment makeGrowingFleet(double jobsPerSecond)
{
    Deployment fleet = makeSilentFleet();
    fleet.pools[0].instances = 1;
    fleet.pools.push_back(emulator::PoolPlan{"spare", 24, 16'000, true});
    fleet.queues[0].jobsPerSecond = jobsPerSecond;
    fleet.queues[0].steps = 1;
    fleet.faults.front().startS = 0.4;
    return fleet;
}

} // namespace

TEST_CASE("workers that appear while watches are silent are called within 0.6 s", "[silence]")
{
    // The first start is no measure at any load: a worker may be idle because its pool has no task that waits.
    const double jobsPerSecond = GENERATE(40.0, 60.0, 80.0);
    const emulator::SimulationReport report = runSimulation(makeGrowingFleet(jobsPerSecond), 22);
    CHECK(report.silentContactDelaysS.size() >= 10);
    CHECK(highest(report.silentContactDelaysS) <= 0.6);
}

TEST_CASE("workers that appear while watches are silent are used within 0.6 s", "[silence]")
{
    // At this load each new worker finds tasks of its pool that wait.
    const emulator::SimulationReport report = runSimulation(makeGrowingFleet(60.0), 22);
    CHECK(report.silentWorkerDelaysS.size() >= 10);
    CHECK(highest(report.silentWorkerDelaysS) <= 0.6);
}

TEST_CASE("with watches that deliver, notices cause no call of the store and change no start", "[silence]")
{
    Deployment fleet = emulator::makeSmallFleet();
    const emulator::SimulationReport without = runSimulation(fleet, 23);
    fleet.notifyOwner = true;
    const emulator::SimulationReport with = runSimulation(fleet, 23);
    CHECK(with.noticeMessages > 0);
    CHECK(with.storeCalls == without.storeCalls);
    CHECK(with.starts == without.starts);
    CHECK(with.backlog == without.backlog);
}

TEST_CASE("lost notices only delay jobs until the next compaction", "[silence]")
{
    for (const double share : {0.5, 1.0}) {
        Deployment fleet = makeSilentFleet();
        fleet.lostNoticeShare = share;
        const emulator::SimulationReport report = runSimulation(fleet, 24);
        CHECK(report.accepted == report.jobs);
        CHECK(highest(report.silentJobDelaysS) <= 3.8);
    }
}

TEST_CASE("owners that are killed, frozen or restarted while watches are silent violate no invariant", "[silence]")
{
    for (const FaultKind kind :
         {FaultKind::NodeKill, FaultKind::NodeFreeze, FaultKind::RollingRestart, FaultKind::StoreRefusing, FaultKind::StoreLosesReplies}) {
        Deployment fleet = makeSilentFleet();
        fleet.faults.push_back(Fault{kind, 5.0, 2.0, 0.1});
        fleet.faults.push_back(Fault{kind, 10.0, 3.0, 0.4});
        fleet.faults.push_back(Fault{FaultKind::Cancellations, 4.0, 13.0, 1.0});
        INFO(emulator::toText(kind));
        (void)runSimulation(fleet, 25);
    }
}

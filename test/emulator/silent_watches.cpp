#include <algorithm>

#include <catch2/catch.hpp>

#include "emulator/world.hpp"

using namespace oleanderwick;
using emulator::Deployment;
using emulator::Fault;
using emulator::FaultKind;

namespace
{

/** Small fleet with room for all jobs, whose watches are silent for most of 13 s. */
Deployment makeSilentFleet()
{
    Deployment fleet = emulator::makeSmallFleet();
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
    Deployment fleet = makeSilentFleet();
    // Without a standby pool no job waits for the move of an instance.
    fleet.pools.pop_back();
    const emulator::SimulationReport report = runSimulation(fleet, 21);
    CHECK(report.silentJobDelaysS.size() >= 25);
    CHECK(highest(report.silentJobDelaysS) <= 0.3);
}

TEST_CASE("workers that appear while watches are silent are used within 0.6 s", "[silence]")
{
    // All instances but one of a pool are on standby, and the pool needs most of them from the start of the silence on.
    Deployment fleet = makeSilentFleet();
    fleet.pools[0].instances = 1;
    fleet.pools.back().instances = 24;
    fleet.queues[0].jobsPerSecond = 40.0;
    fleet.queues[0].steps = 1;
    fleet.faults.front().startS = 0.4;
    const emulator::SimulationReport report = runSimulation(fleet, 22);
    CHECK(report.silentWorkerDelaysS.size() >= 10);
    CHECK(highest(report.silentWorkerDelaysS) <= 0.6);
}

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>

#include <cxxopts.hpp>

#include "emulator/world.hpp"
#include "report.hpp"

namespace oleanderwick::lab
{

namespace internal
{

/** @brief Options of the command line. */
struct Options {
    std::uint64_t seed{1};
    std::uint64_t simulations{1};
    int nodes{6};
    double scale{1.0}; /**< Factor on instances and load. */
    double storeLatencyMs{4.0}; /**< Time that the store takes for a call. */
    bool withoutFaults{false};
    bool notifyOwner{false};
    bool teamShares{false};
    bool attributeFailures{false};
    bool yieldLateWork{false};
    bool savesProgress{false};
    bool teamLimits{false}; /**< Brings the teams to their limits, with speculative tasks. */
    bool silentWatches{false}; /**< Adds 13 s in which the store's watches are silent most of the time, also without other faults. */
    bool zoneClosures{false}; /**< Adds random closures of zones, also without other faults. */
    bool maintenanceFaults{false}; /**< Adds waves with faults of the instance service and ends of owners, also without other faults. */
    std::vector<std::string> kinds; /**< Names of the kinds of faults that are played; empty for all. */
    bool logs{false};
    std::string svgPath; /**< File for a plot of the last simulation; empty for none. */
};

emulator::Deployment makeFleet(const Options &options, std::uint64_t seed)
{
    emulator::Deployment fleet = emulator::makeSmallFleet();
    fleet.nodes = options.nodes;
    fleet.storeLatencyMs = options.storeLatencyMs;
    for (emulator::PoolPlan &pool : fleet.pools) {
        pool.instances = std::max(1, static_cast<int>(pool.instances * options.scale));
    }
    for (emulator::QueuePlan &queue : fleet.queues) {
        queue.jobsPerSecond *= options.scale;
    }
    if (options.teamLimits) {
        emulator::limitTeams(fleet);
    }
    if (!options.withoutFaults) {
        fleet.faults = emulator::drawFaults(fleet, seed);
    }
    fleet.notifyOwner = options.notifyOwner;
    fleet.teamShares = options.teamShares;
    fleet.attributeFailures = options.attributeFailures;
    fleet.yieldLateWork = options.yieldLateWork;
    fleet.savesProgress = options.savesProgress;
    if (options.silentWatches) {
        fleet.faults.push_back(emulator::Fault{emulator::FaultKind::StoreWatchesSilent, 4.0, 13.0, 1.0});
    }
    if (options.zoneClosures) {
        const std::vector<emulator::Fault> closures = emulator::drawZoneClosures(fleet, seed);
        fleet.faults.insert(fleet.faults.end(), closures.begin(), closures.end());
    }
    if (options.maintenanceFaults) {
        // The completion time contains the waves and the time in which each worker is probed.
        constexpr double maintenanceTimeS = 60.0;
        const std::vector<emulator::Fault> faults = emulator::drawMaintenanceFaults(fleet, seed);
        fleet.faults.insert(fleet.faults.end(), faults.begin(), faults.end());
        fleet.completionTimeS = maintenanceTimeS;
        fleet.probesWorkers = true;
        // A command whose reply was lost is sent again while the maintenance lasts, or after it.
        fleet.maintenanceTime = std::chrono::seconds{2 + static_cast<std::int64_t>(seed % 3)};
    }
    if (!options.kinds.empty()) {
        std::erase_if(fleet.faults, [&options](const emulator::Fault &fault) {
            return std::find(options.kinds.begin(), options.kinds.end(), emulator::toText(fault.kind)) == options.kinds.end();
        });
    }
    return fleet;
}

int runSimulations(const Options &options)
{
    std::uint64_t broken = 0;
    for (std::uint64_t seed = options.seed; seed < options.seed + options.simulations; ++seed) {
        const emulator::Deployment fleet = makeFleet(options, seed);
        emulator::Simulation simulation{fleet, seed};
        if (options.logs) {
            simulation.onLog = [](const std::string &lines) {
                std::cout << lines;
            };
        }
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        const emulator::SimulationReport report = simulation.simulate();
        const double tookS = std::chrono::duration<double>{std::chrono::steady_clock::now() - start}.count();
        std::cout << toLine(seed, report) << " took_s=" << tookS << '\n';
        for (const emulator::Fault &fault : report.violations.empty() ? std::vector<emulator::Fault>{} : fleet.faults) {
            std::cout << "  fault " << emulator::toText(fault.kind) << " at_s=" << fault.startS << " for_s=" << fault.durationS << " share=" << fault.share
                      << " limit=" << fault.maxInstancesDown << '\n';
        }
        for (const emulator::Violation &violation : report.violations) {
            std::cout << "  broken " << violation.invariant << ' ' << violation.detail << '\n';
        }
        broken += report.violations.empty() ? 0 : 1;
        if (!options.svgPath.empty()) {
            std::ofstream{options.svgPath} << toSvg(fleet, report);
        }
    }
    std::cout << options.simulations << " simulations, " << broken << " with violations\n";
    return broken == 0 ? 0 : 1;
}

} // namespace internal

} // namespace oleanderwick::lab

int main(int argc, char **argv)
{
    oleanderwick::lab::internal::Options options;
    cxxopts::Options parser{"oleanderwick-lab", "Simulates an emulated fleet in virtual time and checks all invariants."};
    parser.add_options()("seed", "seed of the first simulation", cxxopts::value(options.seed)->default_value("1"));
    parser.add_options()("days", "number of simulations, with consecutive seeds", cxxopts::value(options.simulations)->default_value("1"));
    parser.add_options()("nodes", "number of nodes", cxxopts::value(options.nodes)->default_value("6"));
    parser.add_options()("scale", "factor on instances and load", cxxopts::value(options.scale)->default_value("1"));
    parser.add_options()("store-ms", "time that the store takes for a call, in milliseconds", cxxopts::value(options.storeLatencyMs)->default_value("4"));
    parser.add_options()("calm", "without faults", cxxopts::value(options.withoutFaults));
    parser.add_options()("notify-owner", "nodes notify the owner of stored jobs", cxxopts::value(options.notifyOwner));
    parser.add_options()("team-shares", "full pools are shared by the weights of teams", cxxopts::value(options.teamShares));
    parser.add_options()("attribute-failures", "failures are attributed to tasks or to workers", cxxopts::value(options.attributeFailures));
    parser.add_options()("yield-late-work", "late work is stopped while timely work waits", cxxopts::value(options.yieldLateWork));
    parser.add_options()("saved-progress", "tasks write checkpoints", cxxopts::value(options.savesProgress));
    parser.add_options()("team-limits", "teams at their limits, with long speculative tasks", cxxopts::value(options.teamLimits));
    parser.add_options()("silent-watches", "with silent watches from 4 to 17 s", cxxopts::value(options.silentWatches));
    parser.add_options()("zone-closures", "operators close and open zones at random", cxxopts::value(options.zoneClosures));
    parser.add_options()(
        "maintenance-faults", "waves with faults of the instance service, and owners that end after a command", cxxopts::value(options.maintenanceFaults));
    parser.add_options()("kinds", "names of the kinds of faults that are played, with commas; all if not given", cxxopts::value(options.kinds));
    parser.add_options()("logs", "print the logs of the nodes", cxxopts::value(options.logs));
    parser.add_options()("picture", "file for an SVG plot of the last simulation", cxxopts::value(options.svgPath));
    parser.add_options()("help", "show this text");
    try {
        if (parser.parse(argc, argv).count("help") > 0) {
            std::cout << parser.help();
            return 0;
        }
        return oleanderwick::lab::internal::runSimulations(options);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}

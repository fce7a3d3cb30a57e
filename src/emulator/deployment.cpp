#include "deployment.hpp"

#include <algorithm>
#include <array>
#include <random>

namespace oleanderwick::emulator
{

namespace internal
{

constexpr std::array<std::string_view, 34> faultKindNames{
    "node_kill",
    "node_freeze",
    "rolling_restart",
    "all_nodes_killed",
    "store_silent",
    "store_busy",
    "store_turns_away",
    "store_slow",
    "store_loses_answers",
    "store_forgets",
    "worker_crash",
    "worker_cut",
    "worker_slow",
    "worker_fails",
    "worker_hangs",
    "orders_late",
    "worker_leaves",
    "wave",
    "cancellations",
    "burst",
    "watches_silent",
    "zone_closed",
    "instance_replies_lost",
    "instance_commands_late",
    "instance_service_busy",
    "instance_service_silent",
    "instance_service_slow",
    "instance_lists_paged",
    "wave_changed",
    "waves_overlap",
    "owner_killed_after_command",
    "owner_stopped_after_command",
    "owner_frozen_after_command",
    "owner_cut_off_after_command",
};
/** Kinds that are drawn; a kind that is added doesn't change what a seed draws. */
constexpr std::size_t drawnKinds = static_cast<std::size_t>(FaultKind::Burst) + 1;
constexpr int maxFaults = 8;
constexpr int maxZoneClosures = 3;
/** Distinguishes the generator of the closures from that of the other faults. */
constexpr std::uint64_t zoneClosureSeed = 0x7a6f6e65;
/** Distinguishes the generator of the faults around maintenance from that of the other faults. */
constexpr std::uint64_t maintenanceSeed = 0x77617665;
constexpr std::array<FaultKind, 10> maintenanceFaults{
    FaultKind::InstanceRepliesLost,
    FaultKind::InstanceCommandsLate,
    FaultKind::InstanceServiceBusy,
    FaultKind::InstanceServiceSilent,
    FaultKind::InstanceServiceSlow,
    FaultKind::InstanceListsPaged,
    FaultKind::OwnerKilledAfterCommand,
    FaultKind::OwnerStoppedAfterCommand,
    FaultKind::OwnerFrozenAfterCommand,
    FaultKind::OwnerCutOffAfterCommand,
};
constexpr int maxMaintenanceFaults = 6;
/** A wave of more instances than this doesn't end within a simulation if only one of them may be down. */
constexpr double maxWaveSize = 10.0;

} // namespace internal

std::string_view toText(FaultKind kind) noexcept
{
    return internal::faultKindNames.at(static_cast<std::size_t>(kind));
}

Deployment makeSmallFleet()
{
    Deployment fleet;
    for (const char *name : {"orders", "routes", "intake", "loading"}) {
        fleet.pools.push_back(PoolPlan{name, 8, 16'000, false});
        QueuePlan queue;
        queue.name = std::string{name} + "-queue";
        queue.pool = name;
        fleet.queues.push_back(queue);
    }
    fleet.queues[1].tasks = 8;
    fleet.queues[1].cpu = 1900;
    fleet.queues[1].jobsPerSecond = 1.5;
    fleet.queues[3].steps = 1;
    fleet.pools.push_back(PoolPlan{"spare", 8, 16'000, true});
    return fleet;
}

void limitTeams(Deployment &deployment)
{
    constexpr double longWorkMs = 5000.0;
    constexpr double rateFactor = 0.2;
    for (QueuePlan &queue : deployment.queues) {
        queue.workMs = longWorkMs;
        queue.jobsPerSecond *= rateFactor;
    }
    deployment.speculative = true;
    deployment.teamCpuLimit = 40'000;
    deployment.completionTimeS = 60.0;
}

std::vector<Fault> drawFaults(const Deployment &deployment, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::uniform_int_distribution<int> count{2, internal::maxFaults};
    std::uniform_int_distribution<std::size_t> kind{0, internal::drawnKinds - 1};
    std::uniform_real_distribution<double> at{0.5, deployment.loadDurationS * 0.8};
    std::uniform_real_distribution<double> duration{0.5, 7.0};
    std::uniform_real_distribution<double> share{0.05, 0.4};
    std::vector<Fault> faults;
    for (int index = count(random); index > 0; --index) {
        faults.push_back(Fault{static_cast<FaultKind>(kind(random)), at(random), duration(random), share(random)});
    }
    return faults;
}

std::vector<Fault> drawZoneClosures(const Deployment &deployment, std::uint64_t seed)
{
    std::mt19937_64 random{seed ^ internal::zoneClosureSeed};
    std::uniform_int_distribution<int> count{1, internal::maxZoneClosures};
    std::uniform_real_distribution<double> at{0.5, deployment.loadDurationS * 0.7};
    // Some closures last longer than the 5 s after which the invariant holds, some end before.
    std::uniform_real_distribution<double> duration{2.0, 14.0};
    std::uniform_real_distribution<double> zone{0.0, 1.0};
    std::vector<Fault> closures;
    for (int index = count(random); index > 0; --index) {
        closures.push_back(Fault{FaultKind::ZoneClosed, at(random), duration(random), zone(random)});
    }
    return closures;
}

std::vector<Fault> drawMaintenanceFaults(const Deployment &deployment, std::uint64_t seed)
{
    std::mt19937_64 random{seed ^ internal::maintenanceSeed};
    int instances = 0;
    for (const PoolPlan &pool : deployment.pools) {
        instances += pool.instances;
    }
    const double maxShare = std::min(internal::maxWaveSize / std::max(instances, 1), 0.4);
    std::uniform_int_distribution<int> waves{1, 2};
    std::uniform_int_distribution<int> changes{0, 2};
    std::uniform_int_distribution<int> faultCount{1, internal::maxMaintenanceFaults};
    std::uniform_int_distribution<std::size_t> kind{0, internal::maintenanceFaults.size() - 1};
    std::uniform_int_distribution<std::int64_t> limit{1, 3};
    std::uniform_real_distribution<double> waveAt{0.5, deployment.loadDurationS * 0.4};
    std::uniform_real_distribution<double> at{0.5, deployment.loadDurationS * 0.8};
    std::uniform_real_distribution<double> duration{0.5, 7.0};
    std::uniform_real_distribution<double> waveShare{0.4 * maxShare, maxShare};
    std::uniform_real_distribution<double> share{0.1, 1.0};
    std::bernoulli_distribution overlaps{0.3};
    std::vector<Fault> faults;
    for (int index = waves(random); index > 0; --index) {
        const FaultKind request = overlaps(random) ? FaultKind::WavesOverlap : FaultKind::Wave;
        faults.push_back(Fault{request, waveAt(random), duration(random), waveShare(random), limit(random)});
    }
    for (int index = changes(random); index > 0; --index) {
        faults.push_back(Fault{FaultKind::WaveChanged, at(random), duration(random), waveShare(random), limit(random)});
    }
    for (int index = faultCount(random); index > 0; --index) {
        faults.push_back(Fault{internal::maintenanceFaults.at(kind(random)), at(random), duration(random), share(random)});
    }
    return faults;
}

} // namespace oleanderwick::emulator

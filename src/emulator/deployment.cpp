#include "deployment.hpp"

#include <array>
#include <random>

namespace oleanderwick::emulator
{

namespace internal
{

constexpr std::array<std::string_view, 22> faultKindNames{
    "node_kill",        "node_freeze",  "rolling_restart",     "all_nodes_killed", "store_silent",  "store_busy",
    "store_turns_away", "store_slow",   "store_loses_answers", "store_forgets",    "worker_crash",  "worker_cut",
    "worker_slow",      "worker_fails", "worker_hangs",        "orders_late",      "worker_leaves", "wave",
    "cancellations",    "burst",        "watches_silent",      "zone_closed",
};
/** Kinds that are drawn; a kind that is added doesn't change what a seed draws. */
constexpr std::size_t drawnKinds = static_cast<std::size_t>(FaultKind::Burst) + 1;
constexpr int maxFaults = 8;
constexpr int maxZoneClosures = 3;
/** Distinguishes the generator of the closures from that of the other faults. */
constexpr std::uint64_t zoneClosureSeed = 0x7a6f6e65;

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

} // namespace oleanderwick::emulator

#include "maintenance_controller.hpp"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Instances drained in addition to those that may be down, so that the next one is already empty when a place becomes free. */
constexpr std::size_t instancesDrainedAhead = 1;
/** Upper limit of the share of a pool that is out of service at once; the first instance may always be drained. */
constexpr double maxUnavailableShare = 0.35;
/** Time from the stop of a continuous task until it is at work elsewhere and the next one of its step may leave. */
constexpr core::Duration evacuationTurnTime = std::chrono::milliseconds{2500};
/** Part of the remaining time beyond which an instance's own maintenance may not wait for cheaper ones. */
constexpr double urgentPart = 0.5;
/** Share of the remaining time that the plan uses; the rest is a margin for failures and changes of the owner. */
constexpr double plannedShareOfTime = 0.7;
/** Interval of the search for drains that have to wait. */
constexpr core::Duration postponeInterval = std::chrono::milliseconds{100};

} // namespace internal

bool MaintenanceController::isAvailable(const InstanceEntry &instance, const Scheduler &scheduler)
{
    const auto worker = scheduler.workers().find(instance.worker);
    return worker != scheduler.workers().end() && worker->second.registered && !worker->second.cordoned && !worker->second.entry.draining;
}

bool MaintenanceController::takesWork(const InstanceEntry &instance, const Scheduler &scheduler)
{
    const auto worker = scheduler.workers().find(instance.worker);
    return worker != scheduler.workers().end() && worker->second.isSchedulable() && worker->second.reported;
}

bool MaintenanceController::serves(const InstanceEntry &instance, const Scheduler &scheduler)
{
    const auto worker = scheduler.workers().find(instance.worker);
    return worker != scheduler.workers().end() && !worker->second.zoneClosed && !worker->second.entry.draining && !scheduler.isStandby(instance.pool);
}

bool MaintenanceController::servesAlone(const InstanceEntry &instance, const Scheduler &scheduler) const
{
    if (!serves(instance, scheduler)) {
        return false;
    }
    const std::vector<const InstanceEntry *> &pool = m_instancesByPool.at(instance.pool);
    return std::none_of(pool.begin(), pool.end(), [&](const InstanceEntry *other) {
        return other->id != instance.id && takesWork(*other, scheduler);
    });
}

bool MaintenanceController::isIrreplaceable(const InstanceEntry &instance, const Scheduler &scheduler) const
{
    const auto worker = scheduler.workers().find(instance.worker);
    return worker != scheduler.workers().end() && scheduler.runsBudgeted(worker->second) && servesAlone(instance, scheduler);
}

bool MaintenanceController::isCommandPossible(const WaveState &state, const std::string &instance, core::TimePoint now) const
{
    const std::size_t down = countOthersDown(state, instance, now);
    return m_commandDelay.isOver(instance, now) && static_cast<std::int64_t>(down) < state.wave.maxInstancesDown;
}

bool MaintenanceController::mayGoDown(const InstanceEntry &instance, core::TimePoint now) const
{
    return std::any_of(m_waves.begin(), m_waves.end(), [&](const std::pair<const std::int64_t, WaveState> &item) {
        const auto found = item.second.members.find(instance.id);
        if (found == item.second.members.end()) {
            return false;
        }
        const Member &member = found->second;
        // The command was for a worker that has been replaced since, so that it has had its effect or has lost it.
        const bool isReplaced = member.drainedWorker.has_value() && *member.drainedWorker != instance.worker && m_commandDelay.isOver(instance.id, now);
        return member.commandInFlight || member.phase == Phase::Down || (member.phase == Phase::CommandSent && !isReplaced);
    });
}

void MaintenanceController::postponeDrains(const Scheduler &scheduler, core::TimePoint now)
{
    if (now - m_postponedAt < internal::postponeInterval) {
        return;
    }
    m_postponedAt = now;
    std::set<std::string> postponed;
    for (std::pair<const std::int64_t, WaveState> &wave : m_waves) {
        for (std::pair<const std::string, Member> &item : wave.second.members) {
            Member &member = item.second;
            const InstanceEntry *entry = findInstance(item.first);
            const bool isUp = entry != nullptr && entry->state == InstanceState::Up;
            if (!isUp || wave.second.progress.completed || member.phase == Phase::Finished || mayGoDown(*entry, now)) {
                continue;
            }
            const bool closed = member.phase != Phase::Pending;
            const bool tasksStay = isIrreplaceable(*entry, scheduler);
            const bool waits = tasksStay || (closed && servesAlone(*entry, scheduler) && !isCommandPossible(wave.second, item.first, now));
            if (!waits) {
                continue;
            }
            postponed.insert(item.first);
            if (!m_postponed.contains(item.first)) {
                logPostponement(wave.first, *entry, tasksStay);
            }
            if (member.phase == Phase::Draining) {
                member.phase = Phase::Pending;
            }
        }
    }
    m_postponed = std::move(postponed);
    updatePoolsToDrain(scheduler);
}

void MaintenanceController::logPostponement(std::int64_t wave, const InstanceEntry &instance, bool tasksStay)
{
    m_decisions.push_back(Decision{
        "maintenance_postponed",
        "",
        instance.worker,
        absl::StrCat("instance=", instance.id, " wave=", wave, " pool=", instance.pool, " reason=", tasksStay ? "continuous_tasks" : "limit_of_wave")});
}

void MaintenanceController::updatePoolsToDrain(const Scheduler &scheduler)
{
    std::set<std::string> inMaintenance;
    m_poolsToDrain.clear();
    for (const std::pair<const std::int64_t, WaveState> &wave : m_waves) {
        for (const std::pair<const std::string, Member> &item : wave.second.members) {
            const InstanceEntry *entry = findInstance(item.first);
            if (entry == nullptr || item.second.phase == Phase::Finished || wave.second.progress.completed) {
                continue;
            }
            const auto worker = scheduler.workers().find(entry->worker);
            if (item.second.phase != Phase::Pending && !m_postponed.contains(item.first)) {
                inMaintenance.insert(entry->pool);
            } else if (worker != scheduler.workers().end() && scheduler.runsBudgeted(worker->second)) {
                m_poolsToDrain.insert(entry->pool);
            }
        }
    }
    std::erase_if(m_poolsToDrain, [&inMaintenance](const std::string &pool) {
        return inMaintenance.contains(pool);
    });
}

bool MaintenanceController::isSecondInstanceNeeded(const std::string &pool) const
{
    return m_poolsToDrain.contains(pool);
}

std::map<std::string, MaintenanceController::PoolAvailability> MaintenanceController::measurePools(const Scheduler &scheduler) const
{
    std::map<std::string, PoolAvailability> pools;
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        PoolAvailability &pool = pools[item.second.pool];
        const auto worker = scheduler.workers().find(item.second.worker);
        if (worker != scheduler.workers().end() && worker->second.zoneClosed) {
            // If they counted as unavailable, a closed zone would stop all waves of the pool.
            continue;
        }
        pool.size += 1.0;
        pool.unavailable += isAvailable(item.second, scheduler) ? 0.0 : 1.0;
        pool.open += takesWork(item.second, scheduler) ? 1U : 0U;
    }
    for (std::pair<const std::string, PoolAvailability> &pool : pools) {
        pool.second.utilization = scheduler.cpuUtilization(pool.first);
    }
    return pools;
}

double MaintenanceController::drainCost(const InstanceEntry &instance, const PoolAvailability &pool, const Scheduler &scheduler)
{
    constexpr double unavailableWeight = 10.0;
    constexpr double utilizationWeight = 5.0;
    if (scheduler.isStandby(instance.pool)) {
        // An instance on standby is off, so draining it takes no capacity away.
        return 0.0;
    }
    const auto worker = scheduler.workers().find(instance.worker);
    const double runs = worker == scheduler.workers().end() ? 0.0 : static_cast<double>(worker->second.runs.size());
    if (worker != scheduler.workers().end() && worker->second.zoneClosed) {
        // It gets no new work anyway, so draining it takes no capacity away either.
        return runs;
    }
    const double unavailableShare = pool.size > 0.0 ? pool.unavailable / pool.size : 0.0;
    // Draining an instance whose worker is unregistered or cordoned costs no further capacity, so the limit applies only to the others.
    const bool uncordoned = worker != scheduler.workers().end() && worker->second.registered && !worker->second.cordoned;
    if (uncordoned && pool.unavailable > 0.0 && (pool.unavailable + 1.0) / pool.size > internal::maxUnavailableShare) {
        return -1.0;
    }
    return unavailableWeight * unavailableShare + utilizationWeight * pool.utilization + runs;
}

std::size_t MaintenanceController::maxOutOfService(const WaveState &state, std::int64_t wallMs) const
{
    // Limits the instances out of service to as many as finishing in time requires, since each one reduces the capacity for callers.
    const double remaining =
        static_cast<double>(countPhase(state, Phase::Pending) + countPhase(state, Phase::Draining) + countPhase(state, Phase::CommandSent));
    const double leftMs = static_cast<double>(state.progress.deadlineMs - wallMs) * internal::plannedShareOfTime;
    const double neededMs = remaining * static_cast<double>(core::milliseconds(expectedMaintenanceTime));
    const double allowed = static_cast<double>(std::max<std::int64_t>(state.wave.maxInstancesDown, 1));
    const double needed = leftMs <= 0.0 ? allowed : std::ceil(neededMs / leftMs);
    return static_cast<std::size_t>(std::clamp(needed, 1.0, allowed)) + internal::instancesDrainedAhead;
}

bool MaintenanceController::isUrgent(const WaveState &state, const InstanceEntry &instance, const Scheduler &scheduler, std::int64_t wallMs)
{
    const std::int64_t turns = scheduler.evacuationTurns(instance.worker);
    const core::Duration needed = expectedMaintenanceTime + turns * internal::evacuationTurnTime;
    const double leftMs = static_cast<double>(state.progress.deadlineMs - wallMs);
    return turns > 0 && static_cast<double>(core::milliseconds(needed)) > internal::urgentPart * leftMs;
}

void MaintenanceController::startDrains(WaveState &state, Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs)
{
    const std::size_t limit = maxOutOfService(state, wallMs);
    while (countOutOfService(state) < limit) {
        std::string best;
        std::pair<bool, double> bestRank;
        const std::map<std::string, PoolAvailability> pools = measurePools(scheduler);
        // Instances that serve their pool alone aren't drained ahead.
        const bool full = static_cast<std::int64_t>(std::max(countOutOfService(state), countOthersDown(state, {}, now))) >= state.wave.maxInstancesDown;
        for (const std::pair<const std::string, Member> &member : state.members) {
            const InstanceEntry *entry = findInstance(member.first);
            if (member.second.phase != Phase::Pending || entry == nullptr || entry->state != InstanceState::Up || isInMaintenance(member.first)) {
                continue;
            }
            const std::size_t own = takesWork(*entry, scheduler) ? 1 : 0;
            const bool alone = pools.at(entry->pool).open == own && serves(*entry, scheduler);
            if (alone && (full || !m_commandDelay.isOver(member.first, now) || isIrreplaceable(*entry, scheduler))) {
                continue;
            }
            const double cost = drainCost(*entry, pools.at(entry->pool), scheduler);
            // Instances with many continuous tasks take long to empty, so that the wave is late if they come last.
            const std::pair rank{!isUrgent(state, *entry, scheduler, wallMs), cost};
            if (cost >= 0.0 && (best.empty() || rank < bestRank)) {
                best = member.first;
                bestRank = rank;
            }
        }
        if (best.empty()) {
            return;
        }
        Member &member = state.members[best];
        member.phase = Phase::Draining;
        member.since = now;
        member.drainedWorker = findInstance(best)->worker;
        scheduler.setCordoned(*member.drainedWorker, true);
    }
}

} // namespace oleanderwick::jobs

#include "pool_balancer.hpp"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

#include "../fairness/water_filling.hpp"

namespace oleanderwick::jobs
{

PoolNeed PoolBalancer::computeNeed(const BalancingPolicy &policy, const PoolLoad &load, std::int64_t cpuPerInstance)
{
    const double usableCpu = static_cast<double>(std::max<std::int64_t>(cpuPerInstance, 1)) * policy.usableShare;
    const double batchCpu = std::max(static_cast<double>(load.runningCpu) + static_cast<double>(load.waitingCpu) / policy.clearWithin,
                                     policy.arrivingWeight * static_cast<double>(load.arrivingCpu));
    const double lateCpu = static_cast<double>(load.runningLateCpu + load.waitingLateCpu) / policy.clearLateWithin;
    const double timelyCpu = static_cast<double>(load.continuousCpu) + batchCpu;
    // Continuous tasks that wait may fit on none of the workers, for lack of memory or because of a limit per worker, so one more is needed.
    const std::int64_t minInstances = load.unplacedTasks > 0 ? std::max(load.minWorkers, load.workers + 1) : load.minWorkers;
    PoolNeed need;
    need.timely = std::max(minInstances, static_cast<std::int64_t>(std::ceil(timelyCpu / usableCpu)));
    need.total = std::max(need.timely, static_cast<std::int64_t>(std::ceil((timelyCpu + lateCpu) / usableCpu)));
    return need;
}

void PoolBalancer::recordNeed(const std::string &name, const PoolState &pool, const PoolNeed &need, const PoolLoad &load)
{
    m_decisions.push_back(Decision{"pool_need",
                                   "",
                                   "",
                                   absl::StrCat("pool=",
                                                name,
                                                " timely=",
                                                need.timely,
                                                " all=",
                                                need.total,
                                                " have=",
                                                pool.instanceCount,
                                                " open=",
                                                load.workers,
                                                " running_cpu=",
                                                load.runningCpu,
                                                " waiting_cpu=",
                                                load.waitingCpu,
                                                " running_late_cpu=",
                                                load.runningLateCpu,
                                                " waiting_late_cpu=",
                                                load.waitingLateCpu,
                                                " arriving_cpu=",
                                                load.arrivingCpu,
                                                " continuous_cpu=",
                                                load.continuousCpu,
                                                " unplaced=",
                                                load.unplacedTasks)});
}

void PoolBalancer::updateInstanceCpu(const std::map<std::string, PoolLoad> &loads)
{
    std::int64_t capacity = 0;
    std::int64_t workers = 0;
    for (const std::pair<const std::string, PoolLoad> &load : loads) {
        capacity += load.second.capacity;
        workers += load.second.workers;
    }
    // Without a schedulable worker, the capacity is taken from the platform's list; failing that, the last known value stays.
    for (auto item = m_instances.begin(); item != m_instances.end() && workers == 0; ++item) {
        capacity = item->second.capacity.cpu;
        workers = capacity > 0 ? 1 : 0;
    }
    if (workers > 0) {
        m_instanceCpu = capacity / workers;
    }
}

void PoolBalancer::updateNeeds(const Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now)
{
    const std::map<std::string, PoolLoad> &loads = scheduler.poolLoads();
    updateInstanceCpu(loads);
    for (const std::pair<const std::string, PoolLoad> &load : loads) {
        PoolState &pool = m_pools[load.first];
        const std::int64_t cpuPerInstance = load.second.workers > 0 ? load.second.capacity / load.second.workers : m_instanceCpu;
        PoolNeed need = computeNeed(m_policy, load.second, cpuPerInstance);
        if (maintenance.isSecondInstanceNeeded(load.first)) {
            need.timely = std::max<std::int64_t>(need.timely, 2);
            need.total = std::max(need.total, need.timely);
        }
        const PoolNeed previousPeak = pool.peakNeed;
        pool.need = need;
        if (need.timely >= pool.peakNeed.timely || now - pool.timelyPeakAt >= m_policy.needLasts) {
            pool.peakNeed.timely = need.timely;
            pool.timelyPeakAt = now;
        }
        if (need.total >= pool.peakNeed.total || now - pool.totalPeakAt >= m_policy.needLasts) {
            pool.peakNeed.total = need.total;
            pool.totalPeakAt = now;
        }
        if (previousPeak != pool.peakNeed) {
            recordNeed(load.first, pool, pool.peakNeed, load.second);
        }
        if (pool.instanceCount <= pool.peakNeed.total + m_policy.reserve) {
            pool.surplusSince = now;
        }
    }
}

void PoolBalancer::updateTargets(const Scheduler &scheduler)
{
    std::int64_t fleet = 0;
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        const bool counts = m_moves.contains(item.first) || item.second.state == InstanceState::Moving
            || (scheduler.isStandby(item.second.pool) ? item.second.state == InstanceState::Up : isInService(item.second, scheduler));
        fleet += counts && !isInClosedZone(item.second, scheduler) ? 1 : 0;
    }
    std::map<std::string, std::int64_t> needs;
    std::int64_t sum = 0;
    for (std::pair<const std::string, PoolState> &pool : m_pools) {
        pool.second.timelyTarget = pool.second.peakNeed.timely;
        needs[pool.first] = pool.second.peakNeed.timely;
        sum += pool.second.peakNeed.timely;
    }
    m_scarce = m_policy.divideScarceInstances && sum > fleet;
    if (m_scarce) {
        for (const std::pair<const std::string, std::int64_t> &portion : fairness::divideItems(fleet, needs)) {
            m_pools[portion.first].timelyTarget = portion.second;
        }
    }
}

} // namespace oleanderwick::jobs

#include "pool_balancer.hpp"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** A move that the list of instances does not confirm within this time counts as failed. */
constexpr core::Duration moveTimeout = std::chrono::seconds{6};
/** A worker that is not empty within this time stays in its pool. */
constexpr core::Duration drainTimeout = std::chrono::seconds{4};

bool isEmpty(const Worker &worker)
{
    return worker.runs.empty() && worker.pendingEnds.empty() && worker.ackedEnd == worker.sentAck;
}

} // namespace internal

PoolBalancer::PoolBalancer(const BalancingPolicy &policy, const OrderPause &pause)
    : m_policy{policy}
    , m_pause{pause}
{
}

void PoolBalancer::takeInstances(const std::map<std::string, InstanceEntry> &instances, core::TimePoint askedAt)
{
    m_instances = instances;
    m_listedAt = askedAt;
    std::erase_if(m_moving, [this](const std::pair<const std::string, Moving> &item) {
        const auto entry = m_instances.find(item.first);
        const bool gone = entry == m_instances.end();
        const bool arrived = !gone && entry->second.pool == item.second.to && entry->second.state == InstanceState::Up;
        return !item.second.orderOut && m_listedAt > item.second.since && (gone || arrived);
    });
}

void PoolBalancer::takeAnswer(const MoveOrder &order, InstanceAnswer answer, Scheduler &scheduler, core::TimePoint now)
{
    const auto moving = m_moving.find(order.instance);
    if (moving == m_moving.end()) {
        return;
    }
    moving->second.orderOut = false;
    moving->second.since = now;
    if (answer == InstanceAnswer::Done || answer == InstanceAnswer::Unknown) {
        return;
    }
    if (answer == InstanceAnswer::NoSuchInstance) {
        m_impossible.emplace(order.instance, order.pool);
    }
    m_moving.erase(moving);
    scheduler.closeWorker(order.worker, false);
}

std::vector<MoveOrder> PoolBalancer::takeOrders()
{
    std::vector<MoveOrder> orders;
    std::swap(orders, m_orders);
    return orders;
}

std::vector<Decision> PoolBalancer::takeDecisions()
{
    std::vector<Decision> decisions;
    std::swap(decisions, m_decisions);
    return decisions;
}

PoolNeed PoolBalancer::needOf(const BalancingPolicy &policy, const PoolLoad &load, std::int64_t perInstance)
{
    const double usable = static_cast<double>(std::max<std::int64_t>(perInstance, 1)) * policy.usableShare;
    const double soon = std::max(static_cast<double>(load.running) + static_cast<double>(load.waiting) / policy.clearWithin,
                                 policy.arrivingWeight * static_cast<double>(load.arriving));
    const double late = static_cast<double>(load.runningLate + load.waitingLate) / policy.clearLateWithin;
    const double timely = static_cast<double>(load.continuous) + soon;
    // Tasks that fit on none of the workers, for lack of memory or because they must be spread, need one more worker.
    const std::int64_t least = load.unplaced > 0 ? std::max(load.leastWorkers, load.workers + 1) : load.leastWorkers;
    PoolNeed need;
    need.timely = std::max(least, static_cast<std::int64_t>(std::ceil(timely / usable)));
    need.all = std::max(need.timely, static_cast<std::int64_t>(std::ceil((timely + late) / usable)));
    return need;
}

bool PoolBalancer::inService(const InstanceEntry &instance, const Scheduler &scheduler)
{
    if (instance.state != InstanceState::Up) {
        return instance.state == InstanceState::Moving;
    }
    const auto worker = scheduler.workers().find(instance.worker);
    // A worker that is not in the registry yet has just started.
    return worker == scheduler.workers().end() || worker->second.isOpen();
}

void PoolBalancer::countInstances(Scheduler &scheduler, core::TimePoint now)
{
    for (auto item = m_moving.begin(); item != m_moving.end();) {
        if (item->second.drains || item->second.orderOut || now - item->second.since <= internal::moveTimeout) {
            ++item;
            continue;
        }
        // The command was lost: the worker is still in its former pool.
        scheduler.closeWorker(item->second.worker, false);
        item = m_moving.erase(item);
    }
    for (std::pair<const std::string, PoolState> &pool : m_pools) {
        pool.second.have = 0;
    }
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        const auto moving = m_moving.find(item.first);
        const std::string &pool = moving != m_moving.end() ? moving->second.to : item.second.pool;
        if (!scheduler.isStandby(pool) && (moving != m_moving.end() || inService(item.second, scheduler))) {
            ++m_pools[pool].have;
        }
    }
}

void PoolBalancer::noteNeed(const std::string &name, const PoolState &pool, const PoolNeed &need, const PoolLoad &load)
{
    m_decisions.push_back(Decision{"pool_need",
                                   "",
                                   "",
                                   absl::StrCat("pool=",
                                                name,
                                                " timely=",
                                                need.timely,
                                                " all=",
                                                need.all,
                                                " have=",
                                                pool.have,
                                                " open=",
                                                load.workers,
                                                " running_cpu=",
                                                load.running,
                                                " waiting_cpu=",
                                                load.waiting,
                                                " running_late_cpu=",
                                                load.runningLate,
                                                " waiting_late_cpu=",
                                                load.waitingLate,
                                                " arriving_cpu=",
                                                load.arriving,
                                                " continuous_cpu=",
                                                load.continuous,
                                                " unplaced=",
                                                load.unplaced)});
}

void PoolBalancer::learnInstanceCpu(const std::map<std::string, PoolLoad> &loads)
{
    std::int64_t capacity = 0;
    std::int64_t workers = 0;
    for (const std::pair<const std::string, PoolLoad> &load : loads) {
        capacity += load.second.capacity;
        workers += load.second.workers;
    }
    // Without an open worker, the capacity is taken from the platform's list; failing that, the last known value stays.
    for (auto item = m_instances.begin(); item != m_instances.end() && workers == 0; ++item) {
        capacity = item->second.capacity.cpu;
        workers = capacity > 0 ? 1 : 0;
    }
    if (workers > 0) {
        m_instanceCpu = capacity / workers;
    }
}

void PoolBalancer::updateNeeds(const Scheduler &scheduler, core::TimePoint now)
{
    const std::map<std::string, PoolLoad> &loads = scheduler.poolLoads();
    learnInstanceCpu(loads);
    for (const std::pair<const std::string, PoolLoad> &load : loads) {
        PoolState &pool = m_pools[load.first];
        const std::int64_t own = load.second.workers > 0 ? load.second.capacity / load.second.workers : m_instanceCpu;
        const PoolNeed need = needOf(m_policy, load.second, own);
        const PoolNeed before = pool.held;
        pool.need = need;
        if (need.timely >= pool.held.timely || now - pool.timelyAt >= m_policy.needLasts) {
            pool.held.timely = need.timely;
            pool.timelyAt = now;
        }
        if (need.all >= pool.held.all || now - pool.allAt >= m_policy.needLasts) {
            pool.held.all = need.all;
            pool.allAt = now;
        }
        if (before != pool.held) {
            noteNeed(load.first, pool, pool.held, load.second);
        }
        if (pool.have <= pool.held.all + m_policy.reserve) {
            pool.surplusSince = now;
        }
    }
}

bool PoolBalancer::mayMove(const InstanceEntry &instance, const std::string &to, const Upkeep &upkeep, core::TimePoint now) const
{
    return instance.state == InstanceState::Up && !m_moving.contains(instance.id) && m_pause.isOver(instance.id, now) && !upkeep.isMaintaining(instance.id)
        && !m_impossible.contains({instance.id, to});
}

const InstanceEntry *PoolBalancer::findIdle(const std::string &pool,
                                            const std::string &to,
                                            const Scheduler &scheduler,
                                            const Upkeep &upkeep,
                                            core::TimePoint now) const
{
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        const InstanceEntry &instance = item.second;
        if (instance.pool != pool || !mayMove(instance, to, upkeep, now)) {
            continue;
        }
        if (scheduler.isStandby(pool)) {
            return &instance;
        }
        const auto worker = scheduler.workers().find(instance.worker);
        const bool idle = worker != scheduler.workers().end() && internal::isEmpty(worker->second) && !worker->second.closed && worker->second.reported;
        if (idle) {
            return &instance;
        }
    }
    return nullptr;
}

const InstanceEntry *PoolBalancer::findDrainable(const std::string &pool,
                                                 const std::string &to,
                                                 const Scheduler &scheduler,
                                                 const Upkeep &upkeep,
                                                 core::TimePoint now) const
{
    const InstanceEntry *best = nullptr;
    std::size_t bestRuns = 0;
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        const auto worker = scheduler.workers().find(item.second.worker);
        if (item.second.pool != pool || worker == scheduler.workers().end() || !mayMove(item.second, to, upkeep, now)) {
            continue;
        }
        const bool usable = worker->second.isOpen() && worker->second.reported && !scheduler.runsContinuous(worker->second);
        if (usable && (best == nullptr || worker->second.runs.size() < bestRuns)) {
            best = &item.second;
            bestRuns = worker->second.runs.size();
        }
    }
    return best;
}

void PoolBalancer::countMove(const std::string &from, const std::string &to, const Scheduler &scheduler)
{
    if (!scheduler.isStandby(from)) {
        --m_pools[from].have;
    }
    if (!scheduler.isStandby(to)) {
        ++m_pools[to].have;
    }
}

void PoolBalancer::order(const InstanceEntry &instance, const std::string &to, Scheduler &scheduler, core::TimePoint now)
{
    m_orders.push_back(MoveOrder{instance.id, to, instance.worker, instance.pool});
    m_moving[instance.id] = Moving{to, instance.worker, now, false, true};
    scheduler.closeWorker(instance.worker, true);
}

void PoolBalancer::drain(const InstanceEntry &instance, const std::string &to, Scheduler &scheduler, core::TimePoint now)
{
    m_decisions.push_back(Decision{"instance_drained", "", instance.worker, absl::StrCat("instance=", instance.id, " from=", instance.pool, " to=", to)});
    m_moving[instance.id] = Moving{to, instance.worker, now, true, false};
    scheduler.closeWorker(instance.worker, true);
    countMove(instance.pool, to, scheduler);
}

void PoolBalancer::cancelDrain(const std::string &instance, Scheduler &scheduler)
{
    const auto moving = m_moving.find(instance);
    const auto entry = m_instances.find(instance);
    scheduler.closeWorker(moving->second.worker, false);
    if (entry != m_instances.end()) {
        countMove(moving->second.to, entry->second.pool, scheduler);
    }
    m_moving.erase(moving);
}

void PoolBalancer::advanceDrains(Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now)
{
    std::vector<std::string> drained;
    for (const std::pair<const std::string, Moving> &item : m_moving) {
        if (item.second.drains) {
            drained.push_back(item.first);
        }
    }
    for (const std::string &id : drained) {
        const Moving moving = m_moving.at(id);
        const auto entry = m_instances.find(id);
        const auto worker = scheduler.workers().find(moving.worker);
        if (entry == m_instances.end() || entry->second.worker != moving.worker || upkeep.isMaintaining(id)) {
            m_moving.erase(id);
        } else if (worker == scheduler.workers().end() || internal::isEmpty(worker->second)) {
            order(entry->second, moving.to, scheduler, now);
        } else if (now - moving.since >= internal::drainTimeout) {
            cancelDrain(id, scheduler);
        }
    }
}

bool PoolBalancer::keepOne(const std::string &pool, Scheduler &scheduler)
{
    for (const std::pair<const std::string, Moving> &item : m_moving) {
        const auto entry = m_instances.find(item.first);
        const bool leaving = item.second.drains && entry != m_instances.end() && entry->second.pool == pool && item.second.to != pool;
        if (leaving && scheduler.isStandby(item.second.to)) {
            cancelDrain(item.first, scheduler);
            return true;
        }
    }
    return false;
}

bool PoolBalancer::lendOne(const std::string &to, Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now)
{
    if (keepOne(to, scheduler)) {
        return true;
    }
    std::vector<std::pair<std::int64_t, std::string>> lenders;
    for (const std::pair<const std::string, PoolState> &pool : m_pools) {
        const std::int64_t surplus = pool.second.have - pool.second.need.all - m_policy.reserve;
        if (pool.first != to && surplus > 0) {
            lenders.emplace_back(surplus, pool.first);
        }
    }
    // Instances in service come before those on standby, since they already cost. The pool with the largest surplus comes first.
    std::sort(lenders.rbegin(), lenders.rend());
    for (const std::string &pool : scheduler.standbyPools()) {
        lenders.emplace_back(0, pool);
    }
    for (const std::pair<std::int64_t, std::string> &lender : lenders) {
        const InstanceEntry *instance = findIdle(lender.second, to, scheduler, upkeep, now);
        if (instance != nullptr) {
            countMove(lender.second, to, scheduler);
            order(*instance, to, scheduler, now);
            return true;
        }
    }
    return false;
}

bool PoolBalancer::drainOne(const std::string &to, Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now)
{
    std::vector<std::pair<std::int64_t, std::string>> lenders;
    for (const std::pair<const std::string, PoolState> &pool : m_pools) {
        const std::int64_t surplus = pool.second.have - pool.second.need.timely;
        if (pool.first != to && surplus > 0) {
            lenders.emplace_back(surplus, pool.first);
        }
    }
    std::sort(lenders.rbegin(), lenders.rend());
    for (const std::pair<std::int64_t, std::string> &lender : lenders) {
        const InstanceEntry *instance = findDrainable(lender.second, to, scheduler, upkeep, now);
        if (instance != nullptr) {
            drain(*instance, to, scheduler, now);
            return true;
        }
    }
    return false;
}

void PoolBalancer::parkIdle(Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now)
{
    const std::vector<std::string> standby = scheduler.standbyPools();
    if (standby.empty()) {
        return;
    }
    const std::string &to = standby.front();
    for (std::pair<const std::string, PoolState> &pool : m_pools) {
        const std::int64_t surplus = pool.second.have - pool.second.held.all - m_policy.reserve;
        if (surplus <= 0 || now - pool.second.surplusSince < m_policy.parkAfter) {
            continue;
        }
        const InstanceEntry *idle = findIdle(pool.first, to, scheduler, upkeep, now);
        if (idle != nullptr) {
            countMove(pool.first, to, scheduler);
            order(*idle, to, scheduler, now);
            continue;
        }
        const InstanceEntry *drainable = findDrainable(pool.first, to, scheduler, upkeep, now);
        if (drainable != nullptr) {
            drain(*drainable, to, scheduler, now);
        }
    }
}

void PoolBalancer::advance(Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now)
{
    constexpr core::Duration balanceEvery = std::chrono::milliseconds{40};
    if (now - m_balancedAt < balanceEvery) {
        return;
    }
    m_balancedAt = now;
    if (m_instances.empty()) {
        return;
    }
    countInstances(scheduler, now);
    updateNeeds(scheduler, now);
    advanceDrains(scheduler, upkeep, now);
    const std::map<std::string, PoolState> pools = m_pools;
    for (const std::pair<const std::string, PoolState> &pool : pools) {
        std::int64_t missing = pool.second.held.timely - m_pools[pool.first].have;
        while (missing > 0 && (lendOne(pool.first, scheduler, upkeep, now) || drainOne(pool.first, scheduler, upkeep, now))) {
            --missing;
        }
    }
    for (const std::pair<const std::string, PoolState> &pool : pools) {
        std::int64_t missing = pool.second.held.all - m_pools[pool.first].have;
        while (missing > 0 && lendOne(pool.first, scheduler, upkeep, now)) {
            --missing;
        }
    }
    parkIdle(scheduler, upkeep, now);
}

} // namespace oleanderwick::jobs

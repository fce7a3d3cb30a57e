#include "pool_balancer.hpp"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Work that waits is to be under way within this time; tasks take about as long. */
constexpr double clearWithin = 1.3;
/** What misses its objective anyway is worth little room. */
constexpr double clearLateWithin = 5.0;
/** Share of an instance that can be filled before tasks no longer fit. */
constexpr double usableShare = 0.92;
/** A need counts for this long after it has passed: moving back and forth costs more than waiting. */
constexpr core::Duration needLasts = std::chrono::milliseconds{1200};
/** An instance is parked when its pool had no use for it for this long: a way there and back costs as much as some seconds in service. */
constexpr core::Duration parkAfter = std::chrono::milliseconds{2500};
/** Instances kept in each pool beyond its need, for failures and for the first second of a rise. */
constexpr std::int64_t reserve = 1;
/** A move whose end is not seen by then is taken as failed. */
constexpr core::Duration moveTimeout = std::chrono::seconds{6};

} // namespace internal

PoolBalancer::PoolBalancer(const OrderPause &pause)
    : m_pause{pause}
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

std::int64_t PoolBalancer::needOf(const PoolLoad &load, std::int64_t perInstance)
{
    const double soon = std::max(static_cast<double>(load.running + load.waiting) / internal::clearWithin, static_cast<double>(load.arriving));
    const double late = static_cast<double>(load.waitingLate) / internal::clearLateWithin;
    const double work = static_cast<double>(load.continuous) + soon + late;
    const double usable = static_cast<double>(std::max<std::int64_t>(perInstance, 1)) * internal::usableShare;
    const std::int64_t byWork = static_cast<std::int64_t>(std::ceil(work / usable));
    const std::int64_t least = std::max(byWork, load.leastWorkers);
    // What cannot be placed on all these workers, for memory or for tasks that must be apart, needs another one.
    return load.unplaced > 0 ? std::max(least, load.workers + 1) : least;
}

bool PoolBalancer::inService(const InstanceEntry &instance, const Scheduler &scheduler)
{
    if (instance.state != InstanceState::Up) {
        return instance.state == InstanceState::Moving;
    }
    const auto worker = scheduler.workers().find(instance.worker);
    // One that the registry does not name yet has just come.
    return worker == scheduler.workers().end() || worker->second.isOpen();
}

void PoolBalancer::countInstances(Scheduler &scheduler, core::TimePoint now)
{
    for (auto item = m_moving.begin(); item != m_moving.end();) {
        if (item->second.orderOut || now - item->second.since <= internal::moveTimeout) {
            ++item;
            continue;
        }
        // The order was lost: the worker is still where it was.
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

void PoolBalancer::updateNeeds(const Scheduler &scheduler, core::TimePoint now)
{
    std::int64_t capacity = 0;
    std::int64_t workers = 0;
    const std::map<std::string, PoolLoad> &loads = scheduler.poolLoads();
    for (const std::pair<const std::string, PoolLoad> &load : loads) {
        capacity += load.second.capacity;
        workers += load.second.workers;
    }
    if (workers == 0) {
        return;
    }
    for (const std::pair<const std::string, PoolLoad> &load : loads) {
        PoolState &pool = m_pools[load.first];
        const std::int64_t own = load.second.workers > 0 ? load.second.capacity / load.second.workers : capacity / workers;
        const std::int64_t need = needOf(load.second, own);
        if (need >= pool.need || now - pool.needAt >= internal::needLasts) {
            if (need != pool.need) {
                noteNeed(load.first, pool, need, load.second);
            }
            pool.need = need;
            pool.needAt = now;
        }
        if (pool.have <= pool.need + internal::reserve) {
            pool.surplusSince = now;
        }
    }
}

void PoolBalancer::noteNeed(const std::string &name, const PoolState &pool, std::int64_t need, const PoolLoad &load)
{
    m_decisions.push_back(Decision{"pool_need",
                                   "",
                                   "",
                                   absl::StrCat("pool=",
                                                name,
                                                " need=",
                                                need,
                                                " before=",
                                                pool.need,
                                                " have=",
                                                pool.have,
                                                " open=",
                                                load.workers,
                                                " running_cpu=",
                                                load.running,
                                                " waiting_cpu=",
                                                load.waiting,
                                                " waiting_late_cpu=",
                                                load.waitingLate,
                                                " arriving_cpu=",
                                                load.arriving,
                                                " continuous_cpu=",
                                                load.continuous,
                                                " unplaced=",
                                                load.unplaced)});
}

const InstanceEntry *PoolBalancer::findIdle(const std::string &pool,
                                            const std::string &to,
                                            const Scheduler &scheduler,
                                            const Upkeep &upkeep,
                                            core::TimePoint now) const
{
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        const InstanceEntry &instance = item.second;
        const bool here = instance.pool == pool && instance.state == InstanceState::Up && !m_moving.contains(item.first);
        if (!here || !m_pause.isOver(item.first, now) || upkeep.isMaintaining(item.first) || m_impossible.contains({item.first, to})) {
            continue;
        }
        if (scheduler.isStandby(pool)) {
            return &instance;
        }
        const auto worker = scheduler.workers().find(instance.worker);
        const bool empty = worker != scheduler.workers().end() && worker->second.runs.empty() && worker->second.pendingEnds.empty()
            && worker->second.ackedEnd == worker->second.sentAck && !worker->second.closed && worker->second.reported;
        if (empty) {
            return &instance;
        }
    }
    return nullptr;
}

void PoolBalancer::order(const InstanceEntry &instance, const std::string &to, Scheduler &scheduler, core::TimePoint now)
{
    m_orders.push_back(MoveOrder{instance.id, to, instance.worker, instance.pool});
    m_moving[instance.id] = Moving{to, instance.worker, now, true};
    scheduler.closeWorker(instance.worker, true);
}

bool PoolBalancer::lendOne(const std::string &to, Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now)
{
    std::vector<std::pair<std::int64_t, std::string>> lenders;
    std::set<std::string> standby;
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        if (scheduler.isStandby(item.second.pool)) {
            standby.insert(item.second.pool);
        }
    }
    for (const std::pair<const std::string, PoolState> &pool : m_pools) {
        const std::int64_t surplus = pool.second.have - pool.second.need - internal::reserve;
        if (pool.first != to && surplus > 0) {
            lenders.emplace_back(surplus, pool.first);
        }
    }
    // Those in service first: they cost already. The largest surplus lends first.
    std::sort(lenders.rbegin(), lenders.rend());
    for (const std::string &pool : standby) {
        lenders.emplace_back(0, pool);
    }
    for (const std::pair<std::int64_t, std::string> &lender : lenders) {
        const InstanceEntry *instance = findIdle(lender.second, to, scheduler, upkeep, now);
        if (instance != nullptr) {
            if (!scheduler.isStandby(lender.second)) {
                --m_pools[lender.second].have;
            }
            ++m_pools[to].have;
            order(*instance, to, scheduler, now);
            return true;
        }
    }
    return false;
}

void PoolBalancer::parkIdle(Scheduler &scheduler, const Upkeep &upkeep, core::TimePoint now)
{
    const auto standby = std::find_if(m_instances.begin(), m_instances.end(), [&scheduler](const std::pair<const std::string, InstanceEntry> &item) {
        return scheduler.isStandby(item.second.pool);
    });
    if (standby == m_instances.end()) {
        return;
    }
    const std::string to = standby->second.pool;
    for (std::pair<const std::string, PoolState> &pool : m_pools) {
        const std::int64_t surplus = pool.second.have - pool.second.need - internal::reserve;
        if (surplus <= 0 || now - pool.second.surplusSince < internal::parkAfter) {
            continue;
        }
        const InstanceEntry *instance = findIdle(pool.first, to, scheduler, upkeep, now);
        if (instance != nullptr) {
            --pool.second.have;
            order(*instance, to, scheduler, now);
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
    for (const std::pair<const std::string, PoolState> &pool : std::map<std::string, PoolState>{m_pools}) {
        std::int64_t missing = pool.second.need - pool.second.have;
        while (missing > 0 && lendOne(pool.first, scheduler, upkeep, now)) {
            --missing;
        }
    }
    parkIdle(scheduler, upkeep, now);
}

} // namespace oleanderwick::jobs

#include "pool_balancer.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** A move that the list of instances does not confirm within this time counts as failed. */
constexpr core::Duration moveTimeout = std::chrono::seconds{6};
/** An instance that all lists have left out for this long no longer exists; a single list may have missed it between two pages. */
constexpr core::Duration absenceConfirmation = std::chrono::seconds{2};
/** A worker that is not empty within this time stays in its pool. */
constexpr core::Duration drainTimeout = std::chrono::seconds{4};

bool isEmpty(const Worker &worker)
{
    return worker.runs.empty() && worker.pendingEnds.empty() && worker.storedEnd == worker.ackedEnd && !worker.endsTruncated;
}

} // namespace internal

PoolBalancer::PoolBalancer(const BalancingPolicy &policy, const CommandDelay &commandDelay)
    : m_policy{policy}
    , m_commandDelay{commandDelay}
{
}

void PoolBalancer::handleInstances(const std::map<std::string, InstanceEntry> &instances, core::TimePoint requestedAt)
{
    const std::map<std::string, InstanceEntry> known = std::exchange(m_instances, instances);
    m_listRequestedAt = requestedAt;
    std::erase_if(m_missingSince, [&instances](const std::pair<const std::string, core::TimePoint> &item) {
        return instances.contains(item.first);
    });
    for (const std::pair<const std::string, InstanceEntry> &item : known) {
        if (instances.contains(item.first)) {
            continue;
        }
        const core::TimePoint missingSince = m_missingSince.emplace(item.first, requestedAt).first->second;
        if (requestedAt - missingSince < internal::absenceConfirmation) {
            m_instances.insert(item);
        } else {
            m_missingSince.erase(item.first);
        }
    }
    m_instancesByPool.clear();
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        m_instancesByPool[item.second.pool].push_back(&item.second);
    }
    std::erase_if(m_moves, [this](const std::pair<const std::string, InstanceMove> &item) {
        const auto entry = m_instances.find(item.first);
        const bool gone = entry == m_instances.end();
        const bool arrived = !gone && !m_missingSince.contains(item.first) && entry->second.pool == item.second.to && entry->second.state == InstanceState::Up;
        return !item.second.commandInFlight && m_listRequestedAt > item.second.since && (gone || arrived);
    });
}

void PoolBalancer::handleReply(const MoveCommand &command, InstanceOutcome outcome, Scheduler &scheduler, core::TimePoint now)
{
    const auto moving = m_moves.find(command.instance);
    if (moving == m_moves.end()) {
        return;
    }
    moving->second.commandInFlight = false;
    moving->second.since = now;
    if (outcome == InstanceOutcome::Done || outcome == InstanceOutcome::Unknown) {
        return;
    }
    if (outcome == InstanceOutcome::NoSuchInstance) {
        m_rejectedMoves.emplace(command.instance, command.pool);
    }
    m_moves.erase(moving);
    updateCordons(scheduler);
}

void PoolBalancer::updateCordons(Scheduler &scheduler)
{
    std::map<std::string, std::string> workers;
    for (const std::pair<const std::string, InstanceMove> &item : m_moves) {
        workers[item.second.worker] = item.first;
    }
    workers.erase(std::string{});
    for (const std::pair<const std::string, std::string> &cordoned : m_cordonedWorkers) {
        if (workers.contains(cordoned.first)) {
            continue;
        }
        if (!isReplaced(m_instances, cordoned.second, cordoned.first)) {
            scheduler.setCordoned(cordoned.first, false, CordonReason::Move);
        } else if (scheduler.workers().contains(cordoned.first)) {
            workers.insert(cordoned);
        }
    }
    for (const std::pair<const std::string, std::string> &worker : workers) {
        scheduler.setCordoned(worker.first, true, CordonReason::Move);
    }
    m_cordonedWorkers = std::move(workers);
}

std::vector<MoveCommand> PoolBalancer::takeCommands()
{
    std::vector<MoveCommand> commands;
    std::swap(commands, m_commands);
    return commands;
}

std::vector<Decision> PoolBalancer::takeDecisions()
{
    std::vector<Decision> decisions;
    std::swap(decisions, m_decisions);
    return decisions;
}

bool PoolBalancer::isInClosedZone(const InstanceEntry &instance, const Scheduler &scheduler)
{
    const auto worker = scheduler.workers().find(instance.worker);
    return scheduler.isZoneClosed(instance.zone) || (worker != scheduler.workers().end() && worker->second.zoneClosed);
}

bool PoolBalancer::isAllowed(const MoveCommand &command, const Scheduler &scheduler) const
{
    const auto instance = m_instances.find(command.instance);
    return instance == m_instances.end() || scheduler.isStandby(command.pool) || !isInClosedZone(instance->second, scheduler);
}

void PoolBalancer::cancelClosedDrains(Scheduler &scheduler)
{
    std::erase_if(m_moves, [this, &scheduler](const std::pair<const std::string, InstanceMove> &item) {
        const auto entry = m_instances.find(item.first);
        return item.second.draining && entry != m_instances.end() && isInClosedZone(entry->second, scheduler);
    });
    updateCordons(scheduler);
}

bool PoolBalancer::isInService(const InstanceEntry &instance, const Scheduler &scheduler)
{
    if (isInClosedZone(instance, scheduler)) {
        return false;
    }
    if (instance.state != InstanceState::Up) {
        return instance.state == InstanceState::Moving;
    }
    const auto worker = scheduler.workers().find(instance.worker);
    // A worker that is not in the registry yet has just started.
    return worker == scheduler.workers().end() || worker->second.isSchedulable();
}

void PoolBalancer::countInstances(Scheduler &scheduler)
{
    for (auto item = m_moves.begin(); item != m_moves.end();) {
        if (item->second.draining || item->second.commandInFlight || m_listRequestedAt - item->second.since <= internal::moveTimeout) {
            ++item;
            continue;
        }
        // The command was lost: a list of this time still shows the instance elsewhere.
        item = m_moves.erase(item);
    }
    updateCordons(scheduler);
    for (std::pair<const std::string, PoolState> &pool : m_pools) {
        pool.second.instanceCount = 0;
        pool.second.unsettledCount = 0;
    }
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        const auto moving = m_moves.find(item.first);
        const std::string &pool = moving != m_moves.end() ? moving->second.to : item.second.pool;
        const bool arrives = moving != m_moves.end() && !isInClosedZone(item.second, scheduler);
        if (!scheduler.isStandby(pool) && (arrives || isInService(item.second, scheduler))) {
            PoolState &state = m_pools[pool];
            ++state.instanceCount;
            state.unsettledCount += m_commandDelay.isOver(item.first, m_listRequestedAt) ? 0 : 1;
        }
    }
}

bool PoolBalancer::canMove(const InstanceEntry &instance, const std::string &to, const MaintenanceController &maintenance) const
{
    return instance.state == InstanceState::Up && !m_moves.contains(instance.id) && !m_missingSince.contains(instance.id)
        && m_commandDelay.isOver(instance.id, m_listRequestedAt) && !maintenance.isInMaintenance(instance.id) && !m_rejectedMoves.contains({instance.id, to});
}

const InstanceEntry *PoolBalancer::findIdle(const std::string &pool,
                                            const std::string &to,
                                            const Scheduler &scheduler,
                                            const MaintenanceController &maintenance)
{
    if (m_noneIdle.contains({pool, to})) {
        return nullptr;
    }
    for (const InstanceEntry *candidate : m_instancesByPool[pool]) {
        const InstanceEntry &instance = *candidate;
        if (!canMove(instance, to, maintenance) || isInClosedZone(instance, scheduler)) {
            continue;
        }
        if (scheduler.isStandby(pool)) {
            return &instance;
        }
        const auto worker = scheduler.workers().find(instance.worker);
        const bool idle = worker != scheduler.workers().end() && internal::isEmpty(worker->second) && !worker->second.cordoned && worker->second.reported;
        if (idle) {
            return &instance;
        }
    }
    m_noneIdle.emplace(pool, to);
    return nullptr;
}

const InstanceEntry *PoolBalancer::findDrainable(const std::string &pool,
                                                 const std::string &to,
                                                 const Scheduler &scheduler,
                                                 const MaintenanceController &maintenance)
{
    if (m_noneDrainable.contains({pool, to})) {
        return nullptr;
    }
    const InstanceEntry *best = nullptr;
    std::size_t bestRuns = 0;
    for (const InstanceEntry *instance : m_instancesByPool[pool]) {
        const auto worker = scheduler.workers().find(instance->worker);
        if (worker == scheduler.workers().end() || !canMove(*instance, to, maintenance)) {
            continue;
        }
        const bool fewer = best == nullptr || worker->second.runs.size() < bestRuns;
        if (fewer && worker->second.isSchedulable() && worker->second.reported && !scheduler.runsContinuous(worker->second)) {
            best = instance;
            bestRuns = worker->second.runs.size();
        }
    }
    if (best == nullptr) {
        m_noneDrainable.emplace(pool, to);
    }
    return best;
}

void PoolBalancer::shiftCounts(const std::string &from, const std::string &to, const Scheduler &scheduler)
{
    if (!scheduler.isStandby(from)) {
        --m_pools[from].instanceCount;
    }
    if (!scheduler.isStandby(to)) {
        ++m_pools[to].instanceCount;
    }
}

void PoolBalancer::commandMove(const InstanceEntry &instance, const std::string &to, Scheduler &scheduler, core::TimePoint now)
{
    m_commands.push_back(MoveCommand{instance.id, to, instance.worker, instance.pool});
    m_moves[instance.id] = InstanceMove{to, instance.worker, now, false, true};
    updateCordons(scheduler);
}

void PoolBalancer::startDrain(const InstanceEntry &instance, const std::string &to, Scheduler &scheduler, core::TimePoint now)
{
    m_decisions.push_back(Decision{"instance_drained", "", instance.worker, absl::StrCat("instance=", instance.id, " from=", instance.pool, " to=", to)});
    m_moves[instance.id] = InstanceMove{to, instance.worker, now, true, false};
    updateCordons(scheduler);
    shiftCounts(instance.pool, to, scheduler);
}

void PoolBalancer::cancelDrain(const std::string &instance, Scheduler &scheduler)
{
    const auto moving = m_moves.find(instance);
    const auto entry = m_instances.find(instance);
    if (entry != m_instances.end()) {
        shiftCounts(moving->second.to, entry->second.pool, scheduler);
    }
    m_moves.erase(moving);
    updateCordons(scheduler);
}

void PoolBalancer::advanceDrains(Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now)
{
    std::vector<std::string> drainingInstances;
    for (const std::pair<const std::string, InstanceMove> &item : m_moves) {
        if (item.second.draining) {
            drainingInstances.push_back(item.first);
        }
    }
    for (const std::string &id : drainingInstances) {
        const InstanceMove moving = m_moves.at(id);
        const auto entry = m_instances.find(id);
        const auto worker = scheduler.workers().find(moving.worker);
        if (entry == m_instances.end() || entry->second.worker != moving.worker || maintenance.isInMaintenance(id)) {
            m_moves.erase(id);
        } else if (!m_missingSince.contains(id) && (worker == scheduler.workers().end() || internal::isEmpty(worker->second))) {
            commandMove(entry->second, moving.to, scheduler, now);
        } else if (now - moving.since >= internal::drainTimeout) {
            cancelDrain(id, scheduler);
        } else if (!scheduler.isStandby(moving.to)) {
            scheduler.yieldWorker(moving.worker, now);
        }
    }
    updateCordons(scheduler);
}

bool PoolBalancer::reclaimDraining(const std::string &pool, Scheduler &scheduler)
{
    for (const std::pair<const std::string, InstanceMove> &item : m_moves) {
        const auto entry = m_instances.find(item.first);
        const bool leaving = item.second.draining && entry != m_instances.end() && entry->second.pool == pool && item.second.to != pool;
        if (leaving && scheduler.isStandby(item.second.to)) {
            cancelDrain(item.first, scheduler);
            return true;
        }
    }
    return false;
}

bool PoolBalancer::moveIdleInstance(const std::string &to, Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now)
{
    if (reclaimDraining(to, scheduler)) {
        return true;
    }
    std::vector<std::pair<std::int64_t, std::string>> donors;
    for (const std::pair<const std::string, PoolState> &pool : m_pools) {
        const std::int64_t surplus = pool.second.stayingCount() - pool.second.need.total - m_policy.reserve;
        if (pool.first != to && surplus > 0) {
            donors.emplace_back(surplus, pool.first);
        }
    }
    // Instances in service come before those on standby, since they already cost. The pool with the largest surplus comes first.
    std::sort(donors.rbegin(), donors.rend());
    for (const std::string &pool : scheduler.standbyPools()) {
        donors.emplace_back(0, pool);
    }
    for (const std::pair<std::int64_t, std::string> &donor : donors) {
        const InstanceEntry *instance = findIdle(donor.second, to, scheduler, maintenance);
        if (instance != nullptr) {
            shiftCounts(donor.second, to, scheduler);
            commandMove(*instance, to, scheduler, now);
            return true;
        }
    }
    return false;
}

bool PoolBalancer::drainInstance(const std::string &to, Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now)
{
    std::vector<std::pair<std::int64_t, std::string>> donors;
    for (const std::pair<const std::string, PoolState> &pool : m_pools) {
        // In scarcity one instance of tolerance, since the portions change by one all the time.
        const std::int64_t kept = m_scarce ? std::min(pool.second.need.timely, pool.second.timelyTarget + 1) : pool.second.need.timely;
        const std::int64_t surplus = pool.second.stayingCount() - kept;
        if (pool.first != to && surplus > 0) {
            donors.emplace_back(surplus, pool.first);
        }
    }
    std::sort(donors.rbegin(), donors.rend());
    for (const std::pair<std::int64_t, std::string> &donor : donors) {
        const InstanceEntry *instance = findDrainable(donor.second, to, scheduler, maintenance);
        if (instance != nullptr) {
            startDrain(*instance, to, scheduler, now);
            return true;
        }
    }
    return false;
}

void PoolBalancer::releaseSurplus(Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now)
{
    const std::vector<std::string> standby = scheduler.standbyPools();
    if (standby.empty()) {
        return;
    }
    const std::string &to = standby.front();
    for (std::pair<const std::string, PoolState> &pool : m_pools) {
        const std::int64_t surplus = pool.second.stayingCount() - pool.second.peakNeed.total - m_policy.reserve;
        if (surplus <= 0 || now - pool.second.surplusSince < m_policy.parkAfter) {
            continue;
        }
        const InstanceEntry *idle = findIdle(pool.first, to, scheduler, maintenance);
        if (idle != nullptr) {
            shiftCounts(pool.first, to, scheduler);
            commandMove(*idle, to, scheduler, now);
            continue;
        }
        const InstanceEntry *drainable = findDrainable(pool.first, to, scheduler, maintenance);
        if (drainable != nullptr) {
            startDrain(*drainable, to, scheduler, now);
        }
    }
}

void PoolBalancer::advance(Scheduler &scheduler, const MaintenanceController &maintenance, core::TimePoint now)
{
    constexpr core::Duration balanceInterval = std::chrono::milliseconds{40};
    if (now - m_balancedAt < balanceInterval) {
        return;
    }
    m_balancedAt = now;
    if (m_instances.empty()) {
        return;
    }
    m_noneIdle.clear();
    m_noneDrainable.clear();
    cancelClosedDrains(scheduler);
    countInstances(scheduler);
    updateNeeds(scheduler, maintenance, now);
    updateTargets(scheduler);
    advanceDrains(scheduler, maintenance, now);
    const std::map<std::string, PoolState> pools = m_pools;
    for (const std::pair<const std::string, PoolState> &pool : pools) {
        std::int64_t missing = pool.second.timelyTarget - m_pools[pool.first].instanceCount;
        while (missing > 0 && (moveIdleInstance(pool.first, scheduler, maintenance, now) || drainInstance(pool.first, scheduler, maintenance, now))) {
            --missing;
        }
    }
    for (const std::pair<const std::string, PoolState> &pool : pools) {
        std::int64_t missing = pool.second.peakNeed.total - m_pools[pool.first].instanceCount;
        while (missing > 0 && moveIdleInstance(pool.first, scheduler, maintenance, now)) {
            --missing;
        }
    }
    releaseSurplus(scheduler, maintenance, now);
}

} // namespace oleanderwick::jobs

#include "zone_evacuation.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Each search examines all runs in closed zones. */
constexpr core::Duration evacuationSearchInterval = std::chrono::milliseconds{100};
/** Time for the balancer to bring in an instance of an open zone: a list of instances, a move of 1.5 s and the first report of the worker. */
constexpr core::Duration roomWait = std::chrono::seconds{3};
/** A worker with this many consecutive failures gets only single tasks, as probes. */
constexpr std::int64_t failuresOfUnsoundHost = 3;

} // namespace internal

ZoneEvacuation::ZoneEvacuation(const Collaborators &collaborators)
    : m_with{collaborators}
{
}

bool ZoneEvacuation::reserveHost(Hosts &hosts, const TaskName &name) const
{
    const Step &step = *m_with.state.findStep(name);
    const Resources demand = StateTable::demandOf(step);
    const auto host = std::find_if(hosts.begin(), hosts.end(), [&step, &demand, &name](const Host &candidate) {
        const std::vector<std::string> &labels = candidate.worker->entry.labels;
        const bool labelled = step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
        if (!labelled || !fits(demand, candidate.available)) {
            return false;
        }
        const std::int64_t reserved = std::count_if(candidate.reservedFor.begin(), candidate.reservedFor.end(), [&name](const TaskName &other) {
            return other.job == name.job && other.occurrence == name.occurrence && other.step == name.step;
        });
        return step.maxPerWorker == 0 || StateTable::countOnWorker(*candidate.worker, name) + reserved < step.maxPerWorker;
    });
    if (host == hosts.end()) {
        return false;
    }
    host->available = host->available - demand;
    host->reservedFor.push_back(name);
    return true;
}

void ZoneEvacuation::setClosedZones(std::set<std::string> zones)
{
    zones.erase("");
    if (zones == m_with.state.closedZones()) {
        return;
    }
    if (zones.empty()) {
        m_leaving.clear();
        m_waitingSince.clear();
        m_poolsWithoutRoom.clear();
        m_with.loads.setStuckTasks({});
    }
    const std::string names = zones.empty() ? "none" : absl::StrJoin(zones, ",");
    m_with.state.setClosedZones(std::move(zones));
    std::size_t closedWorkers = 0;
    std::size_t runs = 0;
    for (const std::pair<const std::string, Worker> &item : m_with.state.workers()) {
        closedWorkers += item.second.zoneClosed ? 1 : 0;
        runs += item.second.zoneClosed ? item.second.runs.size() : 0;
    }
    m_with.output.logDecision("closed_zones", "", "", absl::StrCat("zones=", names, " workers=", closedWorkers, " runs=", runs));
}

void ZoneEvacuation::advance(core::TimePoint now)
{
    const std::set<std::string> &closedZones = m_with.state.closedZones();
    if (closedZones.empty() || now - m_searchedAt < internal::evacuationSearchInterval) {
        return;
    }
    m_searchedAt = now;
    std::map<std::string, std::vector<Worker *>> closedWorkers;
    std::set<std::string> openPools;
    for (std::pair<const std::string, Worker> &item : m_with.state.workers()) {
        if (item.second.zoneClosed) {
            closedWorkers[item.second.entry.pool].push_back(&item.second);
        } else if (item.second.registered) {
            openPools.insert(item.second.entry.pool);
        }
    }
    m_stuckTasks.clear();
    std::set<std::string> poolsWithoutRoom;
    for (const std::pair<const std::string, std::vector<Worker *>> &pool : closedWorkers) {
        if (!openPools.contains(pool.first) && !m_with.state.isStandby(pool.first)) {
            poolsWithoutRoom.insert(pool.first);
            if (!m_poolsWithoutRoom.contains(pool.first)) {
                const std::string zones = absl::StrJoin(closedZones, ",");
                const std::string detail = absl::StrCat("pool=", pool.first, " closed=", zones, " workers=", pool.second.size());
                m_with.output.logDecision("evacuation_leaves_no_room", "", "", detail);
            }
        }
        evacuatePool(pool.first, pool.second, now);
    }
    m_poolsWithoutRoom = std::move(poolsWithoutRoom);
    m_with.loads.setStuckTasks(m_stuckTasks);
}

std::vector<ZoneEvacuation::Leaver> ZoneEvacuation::findLeavers(const std::vector<Worker *> &closed)
{
    std::vector<Leaver> leavers;
    for (const Worker *worker : closed) {
        for (const std::pair<const TaskName, std::int64_t> &run : worker->runs) {
            const TaskReference reference = m_with.state.findTask(run.first);
            // The continuous tasks of a draining worker leave in any case.
            const bool running = reference.task != nullptr && reference.step->continuous && reference.task->phase == TaskPhase::Running;
            if (running && !worker->entry.draining) {
                leavers.push_back(Leaver{worker->entry.id, run.first});
            }
        }
    }
    return leavers;
}

void ZoneEvacuation::forgetArrived(const std::string &pool)
{
    std::erase_if(m_leaving, [this, &pool](const TaskName &name) {
        const TaskReference reference = m_with.state.findTask(name);
        if (reference.task == nullptr) {
            return true;
        }
        const Worker *worker = m_with.state.findWorker(reference.task->worker);
        return reference.entry->job.pool == pool && worker != nullptr && !worker->zoneClosed;
    });
}

void ZoneEvacuation::evacuatePool(const std::string &pool, const std::vector<Worker *> &closed, core::TimePoint now)
{
    forgetArrived(pool);
    const std::vector<Leaver> leavers = findLeavers(closed);
    if (leavers.empty()) {
        m_waitingSince.erase(pool);
        return;
    }
    Hosts free = findHosts(pool, false, now);
    Hosts besideContinuous = findHosts(pool, true, now);
    for (const TaskName &name : m_leaving) {
        if (m_with.state.findJob(name.job)->job.pool == pool) {
            (void)reserveHost(free, name);
            (void)reserveHost(besideContinuous, name);
        }
    }
    const auto waiting = m_waitingSince.find(pool);
    const bool waitedLongEnough = waiting != m_waitingSince.end() && now - waiting->second >= internal::roomWait;
    bool waits = false;
    for (const Leaver &leaver : leavers) {
        // Tasks without a budget leave one at a time, too, as each is away until it has started elsewhere.
        const std::int64_t unavailable = m_with.tasks.countOthersUnavailable(*m_with.state.findJob(leaver.name.job), leaver.name, now);
        if (unavailable >= std::max<std::int64_t>(m_with.state.findStep(leaver.name)->maxUnavailable, 1)) {
            continue;
        }
        const bool fitsNow = reserveHost(free, leaver.name);
        const bool fitsLater = reserveHost(besideContinuous, leaver.name);
        if (fitsNow || (fitsLater && waitedLongEnough)) {
            m_with.tasks.evacuateTask(leaver.worker, leaver.name, unavailable, now);
            m_leaving.insert(leaver.name);
        }
        waits = waits || !fitsNow;
        m_stuckTasks[pool] += fitsNow || fitsLater ? 0 : 1;
    }
    if (waits) {
        m_waitingSince.emplace(pool, now);
    } else {
        m_waitingSince.erase(pool);
    }
}

ZoneEvacuation::Hosts ZoneEvacuation::findHosts(const std::string &pool, bool besideContinuous, core::TimePoint now) const
{
    Hosts hosts;
    for (const std::pair<const std::string, Worker> &item : m_with.state.workers()) {
        const Worker &worker = item.second;
        const bool sound = worker.quarantinedUntil <= now && worker.consecutiveFailures < internal::failuresOfUnsoundHost;
        if (worker.entry.pool != pool || !worker.isSchedulable() || !worker.reported || worker.clockMs == 0 || !sound) {
            continue;
        }
        Resources available = worker.freeRoom();
        for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
            const Step *step = m_with.state.findStep(run.first);
            if (besideContinuous && step != nullptr && !step->continuous) {
                available = available + StateTable::demandOf(*step);
            }
        }
        hosts.push_back(Host{&worker, available, {}});
    }
    return hosts;
}

} // namespace oleanderwick::jobs

#include "zone_evacuation.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "scheduler.hpp"

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

bool Scheduler::reserveHost(ZoneEvacuation::Hosts &hosts, const TaskName &name) const
{
    const Step &step = *findStep(name);
    const Resources demand = demandOf(step);
    const auto host = std::find_if(hosts.begin(), hosts.end(), [this, &step, &demand, &name](const ZoneEvacuation::Host &candidate) {
        const std::vector<std::string> &labels = candidate.worker->entry.labels;
        const bool labelled = step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
        if (!labelled || !fits(demand, candidate.available)) {
            return false;
        }
        const std::int64_t reserved = std::count_if(candidate.reservedFor.begin(), candidate.reservedFor.end(), [&name](const TaskName &other) {
            return other.job == name.job && other.occurrence == name.occurrence && other.step == name.step;
        });
        return step.maxPerWorker == 0 || countOnWorker(*candidate.worker, name) + reserved < step.maxPerWorker;
    });
    if (host == hosts.end()) {
        return false;
    }
    host->available = host->available - demand;
    host->reservedFor.push_back(name);
    return true;
}

bool Scheduler::isZoneClosed(const std::string &zone) const
{
    return m_evacuation.closedZones.contains(zone);
}

void Scheduler::setClosedZones(std::set<std::string> zones)
{
    zones.erase("");
    if (zones == m_evacuation.closedZones) {
        return;
    }
    if (zones.empty()) {
        m_evacuation = ZoneEvacuation{};
    }
    m_evacuation.closedZones = std::move(zones);
    std::size_t closedWorkers = 0;
    std::size_t runs = 0;
    for (std::pair<const std::string, Worker> &item : m_workers) {
        item.second.zoneClosed = isZoneClosed(item.second.entry.zone);
        closedWorkers += item.second.zoneClosed ? 1 : 0;
        runs += item.second.zoneClosed ? item.second.runs.size() : 0;
    }
    m_placementDue = true;
    logDecision(
        "closed_zones",
        "",
        "",
        absl::StrCat(
            "zones=", m_evacuation.closedZones.empty() ? "none" : absl::StrJoin(m_evacuation.closedZones, ","), " workers=", closedWorkers, " runs=", runs));
}

void Scheduler::evacuateClosedZones(core::TimePoint now)
{
    if (m_evacuation.closedZones.empty() || now - m_evacuation.checkedAt < internal::evacuationSearchInterval) {
        return;
    }
    m_evacuation.checkedAt = now;
    std::map<std::string, std::vector<Worker *>> closedWorkers;
    std::set<std::string> openPools;
    for (std::pair<const std::string, Worker> &item : m_workers) {
        if (item.second.zoneClosed) {
            closedWorkers[item.second.entry.pool].push_back(&item.second);
        } else if (item.second.registered) {
            openPools.insert(item.second.entry.pool);
        }
    }
    m_evacuation.stuckTasks.clear();
    std::set<std::string> poolsWithoutRoom;
    for (const std::pair<const std::string, std::vector<Worker *>> &pool : closedWorkers) {
        if (!openPools.contains(pool.first) && !isStandby(pool.first)) {
            poolsWithoutRoom.insert(pool.first);
            if (!m_evacuation.poolsWithoutRoom.contains(pool.first)) {
                const std::string zones = absl::StrJoin(m_evacuation.closedZones, ",");
                logDecision("evacuation_leaves_no_room", "", "", absl::StrCat("pool=", pool.first, " closed=", zones, " workers=", pool.second.size()));
            }
        }
        evacuatePool(pool.first, pool.second, now);
    }
    m_evacuation.poolsWithoutRoom = std::move(poolsWithoutRoom);
}

void Scheduler::evacuatePool(const std::string &pool, const std::vector<Worker *> &closed, core::TimePoint now)
{
    std::vector<std::pair<std::string, TaskName>> candidates;
    for (const Worker *worker : closed) {
        for (const std::pair<const TaskName, std::int64_t> &run : worker->runs) {
            const Step *step = findStep(run.first);
            const Task *task = findTask(run.first);
            // The continuous tasks of a draining worker leave in any case.
            if (step != nullptr && step->continuous && task != nullptr && task->phase == TaskPhase::Running && !worker->entry.draining) {
                candidates.emplace_back(worker->entry.id, run.first);
            }
        }
    }
    std::erase_if(m_evacuation.leaving, [this, &pool](const TaskName &name) {
        const JobEntry *entry = findJob(name.job);
        const Task *task = findTask(name);
        const auto worker = task == nullptr ? m_workers.end() : m_workers.find(task->worker);
        const bool placed = worker != m_workers.end() && !worker->second.zoneClosed;
        return entry == nullptr || (entry->job.pool == pool && (task == nullptr || placed));
    });
    if (candidates.empty()) {
        m_evacuation.waitingSince.erase(pool);
        return;
    }
    ZoneEvacuation::Hosts free = findHosts(pool, false, now);
    ZoneEvacuation::Hosts besideContinuous = findHosts(pool, true, now);
    for (const TaskName &name : m_evacuation.leaving) {
        if (findJob(name.job)->job.pool == pool) {
            (void)reserveHost(free, name);
            (void)reserveHost(besideContinuous, name);
        }
    }
    const auto waiting = m_evacuation.waitingSince.find(pool);
    const bool waitedLongEnough = waiting != m_evacuation.waitingSince.end() && now - waiting->second >= internal::roomWait;
    bool waits = false;
    for (const std::pair<std::string, TaskName> &candidate : candidates) {
        // Tasks without a budget leave one at a time, too, as each is away until it has started elsewhere.
        const std::int64_t unavailable = countOthersUnavailable(candidate.second, now);
        if (unavailable >= std::max<std::int64_t>(findStep(candidate.second)->maxUnavailable, 1)) {
            continue;
        }
        const bool fitsNow = reserveHost(free, candidate.second);
        const bool fitsLater = reserveHost(besideContinuous, candidate.second);
        if (fitsNow || (fitsLater && waitedLongEnough)) {
            evacuateTask(candidate.first, candidate.second, unavailable, now);
            m_evacuation.leaving.insert(candidate.second);
        }
        waits = waits || !fitsNow;
        m_evacuation.stuckTasks[pool] += fitsNow || fitsLater ? 0 : 1;
    }
    if (waits) {
        m_evacuation.waitingSince.emplace(pool, now);
    } else {
        m_evacuation.waitingSince.erase(pool);
    }
}

ZoneEvacuation::Hosts Scheduler::findHosts(const std::string &pool, bool besideContinuous, core::TimePoint now) const
{
    ZoneEvacuation::Hosts hosts;
    for (const std::pair<const std::string, Worker> &item : m_workers) {
        const Worker &worker = item.second;
        const bool sound = worker.quarantinedUntil <= now && worker.consecutiveFailures < internal::failuresOfUnsoundHost;
        if (worker.entry.pool != pool || !worker.isSchedulable() || !worker.reported || worker.clockMs == 0 || !sound) {
            continue;
        }
        Resources available = worker.entry.capacity - worker.used;
        for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
            const Step *step = findStep(run.first);
            if (besideContinuous && step != nullptr && !step->continuous) {
                available = available + demandOf(*step);
            }
        }
        hosts.push_back(ZoneEvacuation::Host{&worker, available, {}});
    }
    return hosts;
}

} // namespace oleanderwick::jobs

#include "scheduler.hpp"

#include <algorithm>
#include <iterator>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Lowest rate of a worker's clock relative to the local one, according to the platform's documentation. */
constexpr double minClockRate = 0.98;
/** Requested leases are this much shorter than the limit, so that neither rounding nor a slow clock of the worker makes it shorten them. */
constexpr core::Duration leaseMargin = std::chrono::milliseconds{50};
/** Added to the computed end of a lease before its runs count as ended. */
constexpr core::Duration expiryMargin = std::chrono::milliseconds{100};
/** Longest wait of a poll; the platform allows up to 2 s. */
constexpr std::int64_t maxPollWaitMs = 2000;
/** Wait of a poll where best-effort tasks disturb serving ones, so that a rise of the response times is noticed in time. */
constexpr std::int64_t servingPollWaitMs = 500;
/** Minimum delay of a poll after the last reply while run ends are not stored: as they are unacknowledged, it would return at once. */
constexpr core::Duration unstoredPollDelay = std::chrono::milliseconds{1000};
/** Delay of acknowledging run ends to an idle worker, so that one poll acknowledges several. */
constexpr core::Duration idleAckDelay = std::chrono::milliseconds{500};

bool isServing(const Step &step)
{
    return step.targetMs > 0;
}

} // namespace internal

void Scheduler::recordClock(Worker &worker, std::int64_t clockMs, core::TimePoint now) const
{
    if (clockMs > 0) {
        worker.clockMs = clockMs;
        worker.clockAt = now;
    }
}

core::Duration Scheduler::maxLeaseDuration() const noexcept
{
    const double longestMs = static_cast<double>(core::milliseconds(m_limits.maxLease)) / internal::minClockRate;
    return std::chrono::milliseconds{static_cast<std::int64_t>(longestMs)} + internal::expiryMargin;
}

core::TimePoint Scheduler::previousLeasesEnd() const noexcept
{
    return m_termStart + maxLeaseDuration();
}

std::int64_t Scheduler::extendLease(Worker &worker, core::TimePoint now)
{
    if (worker.clockMs == 0) {
        return 0;
    }
    const std::int64_t clockNow = worker.clockMs + core::milliseconds(now - worker.clockAt);
    const std::int64_t deadlineMs = clockNow + core::milliseconds(m_limits.maxLease - internal::leaseMargin);
    const double longestMs = static_cast<double>(deadlineMs - worker.clockMs) / internal::minClockRate;
    const core::Duration longest = std::chrono::milliseconds{static_cast<std::int64_t>(longestMs)};
    worker.leaseExpiresBy = std::max(worker.leaseExpiresBy, worker.clockAt + longest + internal::expiryMargin);
    return deadlineMs;
}

std::vector<PollCommand> Scheduler::takePolls(core::TimePoint now)
{
    std::vector<PollCommand> polls;
    for (std::pair<const std::string, Worker> &item : m_workers) {
        Worker &worker = item.second;
        if (worker.pollInFlight || worker.nextPollAt > now || worker.entry.address.empty()) {
            continue;
        }
        const bool unstored = !worker.pendingEnds.empty() && worker.reported && now - worker.lastReplyAt < internal::unstoredPollDelay;
        const bool unacknowledged = worker.storedEnd > worker.ackedEnd && now - worker.lastReplyAt >= internal::idleAckDelay;
        const bool needed = !worker.reported || worker.unresponsive || !worker.runs.empty() || unacknowledged || !worker.pendingEnds.empty();
        if (unstored || !needed || (!worker.registered && worker.runs.empty() && worker.unresponsive)) {
            continue;
        }
        PollCommand poll;
        poll.worker = item.first;
        poll.address = worker.entry.address;
        // The lease of an unresponsive worker is not extended, so that its tasks can be started elsewhere once it expires.
        poll.deadlineMs = worker.unresponsive || worker.runs.empty() ? 0 : extendLease(worker, now);
        poll.ackedEnd = worker.storedEnd;
        bool serving = false;
        bool bestEffort = false;
        bool uncertain = false;
        for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
            const Step *step = findStep(run.first);
            const Task *task = findTask(run.first);
            serving = serving || (step != nullptr && internal::isServing(*step));
            bestEffort = bestEffort || (step != nullptr && step->bestEffort);
            uncertain = uncertain || (task != nullptr && task->phase == TaskPhase::Uncertain);
        }
        const bool atOnce = !worker.reported || worker.unresponsive || worker.runs.empty() || uncertain || !worker.pendingEnds.empty();
        poll.waitMs = atOnce ? 0 : serving && bestEffort ? internal::servingPollWaitMs : internal::maxPollWaitMs;
        worker.ackedEnd = worker.storedEnd;
        worker.pollInFlight = true;
        polls.push_back(std::move(poll));
    }
    return polls;
}

void Scheduler::advanceAcks(Worker &worker)
{
    while (!worker.pendingEnds.empty()) {
        const PendingEnd &first = worker.pendingEnds.front();
        const JobEntry *entry = first.job.empty() ? nullptr : findJob(first.job);
        // A job is removed only after its final state is stored, so the run end of an unknown job needs no save.
        if (entry != nullptr && entry->savedVersion < first.version) {
            return;
        }
        worker.storedEnd = first.number;
        worker.pendingEnds.pop_front();
    }
}

void Scheduler::advanceAllAcks()
{
    for (auto worker = m_unstoredEnds.begin(); worker != m_unstoredEnds.end();) {
        const auto found = m_workers.find(*worker);
        if (found != m_workers.end()) {
            advanceAcks(found->second);
        }
        worker = found == m_workers.end() || found->second.pendingEnds.empty() ? m_unstoredEnds.erase(worker) : std::next(worker);
    }
}

void Scheduler::sweepWorkers(core::TimePoint now)
{
    constexpr core::Duration removalDelay = std::chrono::seconds{20};
    for (auto item = m_workers.begin(); item != m_workers.end();) {
        Worker &worker = item->second;
        const core::TimePoint bound = worker.reported ? worker.leaseExpiresBy : std::max(worker.leaseExpiresBy, previousLeasesEnd());
        if (!worker.runs.empty() && now > bound) {
            dropRuns(worker, "lease_over", now);
        }
        const bool unused = !worker.registered && worker.runs.empty() && !worker.pollInFlight && now > bound;
        if (unused) {
            m_usedWorkersVersion += m_usedWorkers.erase(item->first);
        }
        const bool removable = unused && now - std::max(worker.lastReplyAt, m_termStart) > removalDelay;
        item = removable ? m_workers.erase(item) : std::next(item);
    }
}

bool Scheduler::mayHaveEnded(const Worker &worker, core::TimePoint requestedAt) const
{
    if ((worker.registered && !worker.unresponsive) || worker.lastReplyAt >= requestedAt || (worker.reported && worker.runs.empty())) {
        return false;
    }
    const bool startedSince = std::any_of(worker.runs.begin(), worker.runs.end(), [this, requestedAt](const std::pair<const TaskName, std::int64_t> &run) {
        const JobEntry *entry = findJob(run.first.job);
        return entry != nullptr && entry->occurrences.at(run.first.occurrence).steps[run.first.step].tasks[run.first.index].since >= requestedAt;
    });
    return !startedSince;
}

void Scheduler::handleRunningWorkers(const std::set<std::string> &running, core::TimePoint requestedAt, core::TimePoint now)
{
    for (std::pair<const std::string, Worker> &item : m_workers) {
        Worker &worker = item.second;
        if (running.contains(item.first) || !mayHaveEnded(worker, requestedAt)) {
            continue;
        }
        logDecision("worker_ended",
                    "",
                    item.first,
                    absl::StrCat("listed=",
                                 worker.registered ? 1 : 0,
                                 " silent=",
                                 worker.unresponsive ? 1 : 0,
                                 " runs=",
                                 worker.runs.size(),
                                 " list_age_ms=",
                                 core::milliseconds(now - requestedAt)));
        dropRuns(worker, "worker_ended", now);
        worker.reported = true;
        worker.leaseExpiresBy = now;
        m_placementDue = true;
    }
}

bool Scheduler::isIdle(const std::string &id, core::TimePoint now) const
{
    const auto worker = m_workers.find(id);
    if (worker == m_workers.end()) {
        return true;
    }
    const bool known = worker->second.reported || now > previousLeasesEnd();
    return known && worker->second.runs.empty() && worker->second.pendingEnds.empty();
}

bool Scheduler::arePreviousRunsKnown(const std::string &pool, core::TimePoint now) const
{
    if (now > previousLeasesEnd()) {
        return true;
    }
    return std::all_of(m_workers.begin(), m_workers.end(), [&pool](const std::pair<const std::string, Worker> &item) {
        const bool relevant = item.second.entry.pool.empty() || item.second.entry.pool == pool;
        return item.second.reported || !relevant;
    });
}

void Scheduler::openOccurrences(std::int64_t wallMs)
{
    for (auto id = m_unopened.begin(); id != m_unopened.end();) {
        JobEntry *entry = findEntry(*id);
        if (entry == nullptr || isFinal(entry->state)) {
            id = m_unopened.erase(id);
            continue;
        }
        const std::int64_t before = entry->nextOccurrence;
        openDueOccurrences(*entry, wallMs);
        if (before != entry->nextOccurrence) {
            m_placementDue = true;
            if (entry->job.repeatCount > 0) {
                markChanged(*entry);
            }
        }
        const bool opened = entry->nextOccurrence >= std::max<std::int64_t>(entry->job.repeatCount, 1);
        id = opened ? m_unopened.erase(id) : std::next(id);
    }
}

void Scheduler::advance(core::TimePoint now, std::int64_t wallMs)
{
    constexpr core::Duration sweepInterval = std::chrono::milliseconds{50};
    /** Well below the timeouts of stops and of stalled runs. */
    constexpr core::Duration taskSweepInterval = std::chrono::milliseconds{200};
    constexpr core::Duration measureInterval = std::chrono::milliseconds{40};
    if (now - m_sweptAt >= sweepInterval) {
        m_sweptAt = now;
        sweepWorkers(now);
    }
    if (now - m_tasksSweptAt >= taskSweepInterval) {
        m_tasksSweptAt = now;
        sweepTasks(now);
    }
    for (const std::string &id : m_restored) {
        JobEntry *entry = findEntry(id);
        if (entry != nullptr && !isFinal(entry->state)) {
            completeIfDone(*entry, wallMs, now);
        }
    }
    m_restored.clear();
    openOccurrences(wallMs);
    removeEndedJobs();
    if (now - m_loadsAt >= measureInterval) {
        m_loadsAt = now;
        m_loads = measureLoads(now, wallMs);
    }
    constexpr core::Duration maxPlacementInterval = std::chrono::milliseconds{100};
    // A placement examines each job, so that with many jobs it would take up all of the time if every event caused one.
    constexpr core::Duration placementIntervalPerJob = std::chrono::microseconds{5};
    const core::Duration interval = std::min(maxPlacementInterval, placementIntervalPerJob * static_cast<std::int64_t>(m_jobs.size()));
    if (now - m_lastPlacement >= (m_placementDue ? interval : maxPlacementInterval)) {
        m_placementDue = false;
        m_lastPlacement = now;
        place(now, wallMs);
    }
}

std::int64_t Scheduler::countOthersUnavailable(const TaskName &name, core::TimePoint now) const
{
    // A worker that has not replied for longer than a poll takes may have been lost together with its tasks.
    constexpr core::Duration maxReplyAge = std::chrono::milliseconds{internal::maxPollWaitMs + 700};
    const JobEntry *entry = findJob(name.job);
    const auto occurrence = entry->occurrences.find(name.occurrence);
    const std::vector<Task> &tasks = occurrence->second.steps[name.step].tasks;
    std::int64_t unavailable = 0;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const auto worker = m_workers.find(tasks[index].worker);
        const bool reachable = worker != m_workers.end() && !worker->second.unresponsive && now - worker->second.lastReplyAt <= maxReplyAge;
        unavailable += index != name.index && !(tasks[index].isAvailable() && reachable) ? 1 : 0;
    }
    return unavailable;
}

void Scheduler::evacuate(const std::string &id, core::TimePoint now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return;
    }
    const std::map<TaskName, std::int64_t> runs = found->second.runs;
    for (const std::pair<const TaskName, std::int64_t> &run : runs) {
        const Step *step = findStep(run.first);
        Task *task = findTask(run.first);
        if (step == nullptr || task == nullptr || !step->continuous || task->phase != TaskPhase::Running) {
            continue;
        }
        const bool budgeted = step->maxUnavailable > 0 && !found->second.entry.draining;
        const std::int64_t unavailable = budgeted ? countOthersUnavailable(run.first, now) : 0;
        if (budgeted && unavailable >= step->maxUnavailable) {
            continue;
        }
        evacuateTask(id, run.first, unavailable, now);
    }
}

void Scheduler::evacuateTask(const std::string &worker, const TaskName &name, std::int64_t unavailable, core::TimePoint now)
{
    Task &task = *findTask(name);
    const std::int64_t allowed = findStep(name)->maxUnavailable;
    logDecision("run_evacuated", toText(name), worker, absl::StrCat("run=", task.run, " away=", unavailable, " allowed=", allowed));
    stopTask(name, task, now);
}

void Scheduler::setCordoned(const std::string &id, bool cordoned)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return;
    }
    m_placementDue = m_placementDue || (found->second.cordoned && !cordoned);
    found->second.cordoned = cordoned;
    found->second.maintenancePending = false;
}

void Scheduler::setMaintenancePending(const std::string &id)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end()) {
        found->second.maintenancePending = true;
    }
}

void Scheduler::paceBestEffort(Worker &worker, core::TimePoint now)
{
    // Bounds of the highest response time as a share of its target: the pace is lowered above one and raised below the other.
    constexpr double lowerAbove = 0.9;
    constexpr double raiseBelow = 0.6;
    constexpr core::Duration raiseInterval = std::chrono::milliseconds{1500};
    constexpr core::Duration lowerInterval = std::chrono::milliseconds{450};
    constexpr std::int64_t raiseStepPercent = 15;
    constexpr std::int64_t minPercent = 10;
    double maxResponseShare = 0.0;
    std::vector<TaskName> bestEffortTasks;
    for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
        const Step *step = findStep(run.first);
        const Task *task = findTask(run.first);
        if (step == nullptr || task == nullptr || task->phase != TaskPhase::Running) {
            continue;
        }
        if (internal::isServing(*step)) {
            maxResponseShare = std::max(maxResponseShare, static_cast<double>(task->measurement) / static_cast<double>(step->targetMs));
        }
        if (step->bestEffort) {
            bestEffortTasks.push_back(run.first);
        }
    }
    for (const TaskName &name : bestEffortTasks) {
        Task &task = *findTask(name);
        std::int64_t pace = task.pace;
        if (maxResponseShare > lowerAbove && now - task.paceChangedAt >= lowerInterval) {
            pace = pace / 2 < minPercent ? 0 : pace / 2;
        } else if (maxResponseShare < raiseBelow && pace < 100 && now - task.paceChangedAt >= raiseInterval) {
            pace = std::min<std::int64_t>(100, pace + raiseStepPercent);
        }
        if (pace != task.pace) {
            logDecision("run_paced",
                        toText(name),
                        worker.entry.id,
                        absl::StrCat("run=", task.run, " percent=", pace, " before=", task.pace, " load_of_target=", maxResponseShare));
            task.pace = pace;
            task.paceChangedAt = now;
            m_commands.paces.push_back(PaceCommand{worker.entry.id, worker.entry.address, name, task.run, pace});
        }
    }
}

} // namespace oleanderwick::jobs

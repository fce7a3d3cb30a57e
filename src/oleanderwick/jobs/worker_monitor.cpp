#include "worker_monitor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Delay of the poll after a report without the time of the worker's clock. */
constexpr core::Duration unknownClockDelay = std::chrono::milliseconds{100};

} // namespace internal

WorkerMonitor::WorkerMonitor(const Collaborators &collaborators)
    : m_with{collaborators}
{
}

Worker *WorkerMonitor::handleReport(const std::string &id, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now, std::int64_t wallMs)
{
    Worker *found = m_with.state.findWorker(id);
    if (found == nullptr) {
        return nullptr;
    }
    Worker &worker = *found;
    worker.pollInFlight = false;
    const std::int64_t before = worker.incarnation;
    if (report.incarnation != 0 && worker.incarnation != 0 && report.incarnation < worker.incarnation) {
        return nullptr;
    }
    if (report.incarnation != 0 && report.incarnation != worker.incarnation) {
        m_with.registry.resetIncarnation(worker, report.incarnation, now);
    }
    if (!worker.reported) {
        m_with.output.logDecision(
            "worker_held", "", id, absl::StrCat("running=", report.running.size(), " ended=", report.ended.size(), " clock_ms=", report.clockMs));
    }
    WorkerLeases::recordClock(worker, report.clockMs, now);
    if (!worker.reported || report.incarnation != before) {
        // Its runs may have a lease of unknown length: from a previous owner, or given to an incarnation that this owner did not know.
        worker.leaseExpiresBy = std::max(worker.leaseExpiresBy, now + m_with.leases.maxDuration());
    }
    worker.unresponsive = false;
    worker.crashNoted = false;
    worker.lastReplyAt = now;
    handleRestart(worker, report, now);
    m_with.runs.handleReport(worker, report, sentAt, now, wallMs);
    worker.reported = worker.reported || !report.endsTruncated;
    if (report.endsTruncated != worker.endsTruncated) {
        worker.endsTruncated = report.endsTruncated;
        m_with.output.logDecision(
            "run_ends_truncated", "", id, absl::StrCat("truncated=", report.endsTruncated ? 1 : 0, " ended=", report.ended.size(), " last=", worker.lastEnd));
    }
    m_with.acks.advance(worker);
    worker.nextPollAt = worker.clockMs > 0 ? now : now + internal::unknownClockDelay;
    m_with.state.requestPlacement();
    return found;
}

void WorkerMonitor::handleRestart(Worker &worker, const WorkerReport &report, core::TimePoint now)
{
    const core::TimePoint restartedAt = std::exchange(worker.restartedAt, core::TimePoint{});
    if (restartedAt == core::TimePoint{} || worker.restartPlanned) {
        m_with.crashes.clearDoubts(worker.entry.id);
        return;
    }
    std::vector<CrashAttribution::Suspect> suspects = m_with.crashes.suspectsOn(worker, restartedAt);
    // A command that was sent before the restart was known may have reached the new incarnation.
    std::erase_if(suspects, [&report](const CrashAttribution::Suspect &suspect) {
        return std::any_of(report.running.begin(), report.running.end(), [&suspect](const ReportedRun &run) {
            return run.task == suspect.task && run.run == suspect.run;
        });
    });
    m_with.crashes.recordCrash(worker.entry.id, std::move(suspects), "restart", now);
}

void WorkerMonitor::handlePollFailure(const std::string &id, bool gone, core::TimePoint now)
{
    constexpr core::Duration retryDelay = std::chrono::milliseconds{400};
    Worker *worker = m_with.state.findWorker(id);
    if (worker == nullptr) {
        return;
    }
    worker->pollInFlight = false;
    worker->nextPollAt = now + retryDelay;
    if (!worker->unresponsive) {
        m_with.output.logDecision(
            "worker_silent",
            "",
            id,
            absl::StrCat("gone=", gone ? 1 : 0, " runs=", worker->runs.size(), " seen_ms_ago=", core::milliseconds(now - worker->lastReplyAt)));
    }
    if (!worker->unresponsive) {
        worker->silentSince = now;
        m_silentAt = worker->runs.empty() ? m_silentAt : now;
        worker->vacatedWhenSilent = worker->isVacated();
    }
    worker->unresponsive = true;
    if (gone) {
        // The worker process has ended: its address refuses connections or belongs to another worker.
        handleEnd(*worker, "worker_gone", now);
    } else {
        m_with.runs.dropSpeculative(*worker, now);
    }
}

void WorkerMonitor::handleEnd(Worker &worker, std::string_view reason, core::TimePoint now)
{
    std::vector<CrashAttribution::Suspect> suspects = m_with.crashes.suspectsOn(worker, now);
    m_with.runs.dropRuns(worker, reason, now);
    if (worker.mayEndAsPlanned()) {
        m_with.crashes.clearDoubts(worker.entry.id);
    } else if (!suspects.empty() || m_with.crashes.hasDoubts(worker.entry.id)) {
        m_with.crashes.recordCrash(worker.entry.id, std::move(suspects), reason, now);
    }
    worker.crashNoted = true;
    worker.reported = true;
    worker.endsTruncated = false;
    worker.hasUnknownRuns = false;
    worker.leaseExpiresBy = now;
}

bool WorkerMonitor::mayHaveEnded(const Worker &worker, core::TimePoint requestedAt) const
{
    const bool mayHaveRuns = !worker.reported || !worker.runs.empty() || !worker.strayRuns.empty() || m_with.crashes.hasDoubts(worker.entry.id);
    if ((worker.registered && !worker.unresponsive) || worker.lastReplyAt >= requestedAt || !mayHaveRuns) {
        return false;
    }
    const bool hasLaterStray = std::any_of(worker.strayRuns.begin(), worker.strayRuns.end(), [requestedAt](const std::pair<const RunName, StrayRun> &run) {
        return run.second.since >= requestedAt;
    });
    if (hasLaterStray) {
        return false;
    }
    return std::none_of(worker.runs.begin(), worker.runs.end(), [this, requestedAt](const std::pair<const TaskName, std::int64_t> &run) {
        const JobEntry *entry = m_with.state.findJob(run.first.job);
        return entry != nullptr && StateTable::taskOf(*entry, run.first).since >= requestedAt;
    });
}

bool WorkerMonitor::isIdleCrash(const Worker &worker, core::TimePoint requestedAt)
{
    // The list may lag behind the registry for a worker that has just appeared.
    constexpr core::Duration listDelay = std::chrono::seconds{1};
    const bool isListed = worker.registered && worker.reported && worker.runs.empty() && !worker.cordoned && !worker.entry.draining;
    return isListed && !worker.crashNoted && (worker.unresponsive || requestedAt - worker.lastReplyAt > listDelay);
}

void WorkerMonitor::handleRunningWorkers(const std::set<std::string> &running, core::TimePoint requestedAt, core::TimePoint now)
{
    for (std::pair<const std::string, Worker> &item : m_with.state.workers()) {
        Worker &worker = item.second;
        if (running.contains(item.first)) {
            m_with.crashes.handleListed(item.first, requestedAt);
            continue;
        }
        if (isIdleCrash(worker, requestedAt)) {
            worker.crashNoted = true;
            m_with.crashes.recordIdleCrash(worker, now);
        }
        if (!mayHaveEnded(worker, requestedAt)) {
            continue;
        }
        m_with.output.logDecision("worker_ended",
                                  "",
                                  item.first,
                                  absl::StrCat("listed=",
                                               worker.registered ? 1 : 0,
                                               " silent=",
                                               worker.unresponsive ? 1 : 0,
                                               " runs=",
                                               worker.runs.size(),
                                               " planned=",
                                               worker.mayEndAsPlanned() ? 1 : 0,
                                               " list_age_ms=",
                                               core::milliseconds(now - requestedAt)));
        handleEnd(worker, "worker_ended", now);
        m_with.state.requestPlacement();
    }
}

bool WorkerMonitor::awaitsWorkerFate(core::TimePoint now) const noexcept
{
    // A worker that crashes is missing from the list at once; longer silences have other causes.
    constexpr core::Duration crashVisibleWithin = std::chrono::milliseconds{500};
    return now - m_silentAt < crashVisibleWithin;
}

void WorkerMonitor::advance(core::TimePoint now)
{
    constexpr core::Duration sweepInterval = std::chrono::milliseconds{50};
    constexpr core::Duration removalDelay = std::chrono::seconds{20};
    if (now - m_sweptAt < sweepInterval) {
        return;
    }
    m_sweptAt = now;
    std::map<std::string, Worker> &workers = m_with.state.workers();
    for (auto item = workers.begin(); item != workers.end();) {
        Worker &worker = item->second;
        const core::TimePoint runsEndBy = m_with.leases.runsEndBy(worker);
        if ((!worker.runs.empty() || !worker.strayRuns.empty()) && now > runsEndBy) {
            for (const CrashAttribution::Suspect &suspect : m_with.crashes.suspectsOn(worker, now)) {
                m_with.crashes.addDoubt(worker, suspect, now);
            }
            m_with.runs.dropRuns(worker, "lease_over", now);
        }
        const bool unused = !worker.registered && worker.runs.empty() && !worker.pollInFlight && now > runsEndBy;
        if (unused) {
            m_with.state.removeUsedWorker(worker);
        }
        const bool removable = unused && now - std::max(worker.lastReplyAt, m_with.leases.termStart()) > removalDelay;
        if (removable) {
            m_with.crashes.clearDoubts(item->first);
        }
        item = removable ? workers.erase(item) : std::next(item);
    }
}

} // namespace oleanderwick::jobs

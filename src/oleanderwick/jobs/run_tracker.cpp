#include "run_tracker.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include <absl/strings/str_cat.h>

#include "worker_leases.hpp"

namespace oleanderwick::jobs
{

namespace internal
{

/** Delay before a task is started again after a run end, so that a failing worker does not get it back at once. */
constexpr core::Duration restartDelay = std::chrono::milliseconds{20};
/** First delay of a continuous task that fails repeatedly; each further failure doubles it. */
constexpr core::Duration firstBackOff = std::chrono::milliseconds{250};
/** Below the 6 s within which a continuous task has to be started again. */
constexpr core::Duration longestBackOff = std::chrono::seconds{4};
/** Time for which a worker gets no start after it has refused one or not replied. */
constexpr core::Duration refusalDelay = std::chrono::milliseconds{1500};
/** Time for which a worker gets no start after it had no room for one. */
constexpr core::Duration noRoomDelay = std::chrono::milliseconds{150};
/** A run without progress for this long counts as hung; polls report the progress at least every 2 s. */
constexpr core::Duration stallTimeout = std::chrono::seconds{5};
/** Well below the timeouts of stops and of stalled runs. */
constexpr core::Duration taskSweepInterval = std::chrono::milliseconds{200};

/** Delay of a continuous task after a number of failures in a row, of which the first ones cause none. */
core::Duration backOffAfter(std::int64_t failures)
{
    constexpr std::int64_t failuresBefore = 2;
    constexpr std::int64_t maxDoublings = 4;
    const std::int64_t doublings = std::clamp<std::int64_t>(failures - failuresBefore, 0, maxDoublings);
    return std::min(longestBackOff, firstBackOff * (std::int64_t{1} << doublings));
}

} // namespace internal

RunTracker::RunTracker(const Collaborators &collaborators)
    : m_with{collaborators}
{
}

void RunTracker::handleStartReply(const StartCommand &command, StartOutcome outcome, std::int64_t clockMs, core::TimePoint now)
{
    Worker *worker = m_with.state.findWorker(command.worker);
    const TaskReference reference = m_with.state.findTask(command.task);
    if (worker == nullptr) {
        return;
    }
    if (clockMs > 0) {
        WorkerLeases::recordClock(*worker, clockMs, now);
        worker->lastReplyAt = now;
    }
    if (outcome != StartOutcome::Started) {
        m_with.output.logDecision(
            "start_refused", toText(command.task), command.worker, absl::StrCat("run=", command.run, " answer=", std::string{toText(outcome)}));
    }
    if (reference.task == nullptr || !reference.task->isActive() || reference.task->run != command.run || reference.task->worker != command.worker) {
        m_with.strays.handleStartReply(*worker, RunName{command.task, command.run}, outcome, now);
        return;
    }
    Task &task = *reference.task;
    m_with.state.requestPlacement();
    if (outcome != StartOutcome::Started) {
        handleRefusedStart(reference, command, outcome, *worker, now);
        return;
    }
    m_with.jobs.markStarted(*reference.entry);
    if (task.phase == TaskPhase::Starting) {
        task.phase = TaskPhase::Running;
        task.since = now;
        task.progressChangedAt = now;
    }
    worker->nextPollAt = std::min(worker->nextPollAt, now);
}

void RunTracker::handleRefusedStart(const TaskReference &reference, const StartCommand &command, StartOutcome outcome, Worker &worker, core::TimePoint now)
{
    Task &task = *reference.task;
    if (outcome == StartOutcome::Unknown) {
        worker.nextPollAt = now;
        if (reference.step->speculative && m_with.state.enforcesCapacity(worker.entry.pool)) {
            // A duplicate run on another worker is harmless, but in a closed zone none may start late.
            releaseRun(worker, command.task, reference, "start_unanswered", now);
            if (worker.zoneClosed) {
                m_with.strays.stop(worker, RunName{command.task, command.run}, now);
            }
            worker.quarantinedUntil = now + internal::refusalDelay;
        } else if (task.phase == TaskPhase::Starting) {
            task.phase = TaskPhase::Uncertain;
            task.since = now;
        }
        return;
    }
    m_with.state.detach(*reference.entry, command.task, task);
    task.notBefore = now;
    if (outcome == StartOutcome::Unhealthy || outcome == StartOutcome::NotSent || outcome == StartOutcome::OtherIncarnation) {
        worker.quarantinedUntil = now + internal::refusalDelay;
    }
    if (outcome == StartOutcome::NoRoom || outcome == StartOutcome::TooLate) {
        worker.quarantinedUntil = now + internal::noRoomDelay;
        worker.nextPollAt = now;
    }
    if (outcome == StartOutcome::NoTicket) {
        m_with.tickets.remove(StepName{command.task.job, command.task.occurrence, command.task.step});
    }
    if (outcome == StartOutcome::Invalid) {
        task.notBefore = now + internal::refusalDelay;
    }
}

void RunTracker::handleStopReply(const StopCommand &command, bool acknowledged, core::TimePoint now)
{
    Worker *worker = m_with.state.findWorker(command.worker);
    if (worker == nullptr || !acknowledged) {
        return;
    }
    m_with.strays.handleStopAcknowledged(*worker, RunName{command.task, command.run}, now);
    Task *task = m_with.state.findTask(command.task).task;
    if (task != nullptr && task->isActive() && task->run == command.run && task->worker == command.worker) {
        task->stopAcknowledged = true;
        task->since = now;
        worker->nextPollAt = now;
    }
}

void RunTracker::handleReport(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now, std::int64_t wallMs)
{
    for (const ReportedEnd &end : report.ended) {
        if (end.number > worker.lastEnd) {
            handleEnd(worker, end, now, wallMs);
            worker.lastEnd = end.number;
        }
    }
    for (const ReportedRun &reported : report.running) {
        handleRun(worker, reported, sentAt, now);
    }
    handleMissingRuns(worker, report, sentAt, now);
    m_with.strays.handleReport(worker, report, sentAt, now);
}

TaskReference RunTracker::findReported(const TaskName &name)
{
    const TaskReference reference = m_with.state.findTask(name);
    const bool isUnopened = reference.step != nullptr && reference.task == nullptr;
    return isUnopened && m_with.opener.openReported(*reference.entry, name) ? m_with.state.findTask(name) : reference;
}

void RunTracker::handleEnd(Worker &worker, const ReportedEnd &end, core::TimePoint now, std::int64_t wallMs)
{
    m_with.strays.remove(worker, RunName{end.task, end.run});
    const TaskReference reference = findReported(end.task);
    if (reference.task == nullptr) {
        m_with.acks.add(worker, PendingEnd{end.number, {}, 0});
        return;
    }
    JobEntry &entry = *reference.entry;
    Task &task = *reference.task;
    const bool current = task.isActive() && task.worker == worker.entry.id && task.run == end.run;
    const std::int64_t tookMs = current ? core::milliseconds(now - task.startedAt) : 0;
    m_with.output.logDecision(
        "run_ended",
        toText(end.task),
        worker.entry.id,
        absl::StrCat(
            "run=", end.run, " kind=", static_cast<int>(end.kind), " number=", end.number, " took_ms=", tookMs, " estimate_ms=", reference.step->estimateMs));
    task.record.lastRun = std::max(task.record.lastRun, end.run);
    if (current) {
        m_with.state.detach(entry, end.task, task);
    }
    if (!end.checkpoint.empty()) {
        task.record.checkpoint = end.checkpoint;
    }
    m_with.health.recordEnd(worker, end.task, reference, end.kind, now);
    if (current) {
        delayRestart(reference, end, now);
    }
    if (!isFinal(entry.state)) {
        m_with.jobs.markStarted(entry);
        if (end.kind == RunEndKind::Done) {
            m_with.jobs.handleSuccess(entry, end.task, wallMs, now);
        } else if (end.kind == RunEndKind::Failed) {
            m_with.jobs.handleFailure(entry, end.task, task, end.run, wallMs, now);
        }
    }
    m_with.saves.markChanged(entry);
    m_with.acks.add(worker, PendingEnd{end.number, entry.job.id, entry.version});
}

void RunTracker::delayRestart(const TaskReference &reference, const ReportedEnd &end, core::TimePoint now)
{
    Task &task = *reference.task;
    const bool backsOff = reference.step->continuous && end.kind == RunEndKind::Failed && task.failsRepeatedly();
    const core::Duration delay = backsOff ? internal::backOffAfter(task.failuresInRow) : internal::restartDelay;
    task.notBefore = now + delay;
    if (backsOff) {
        const std::string detail = absl::StrCat("failures=", task.failuresInRow, " delay_ms=", core::milliseconds(delay));
        m_with.output.logDecision("task_backs_off", toText(end.task), "", detail);
    }
}

void RunTracker::handleRun(Worker &worker, const ReportedRun &reported, core::TimePoint sentAt, core::TimePoint now)
{
    const TaskReference reference = findReported(reported.task);
    Task *task = reference.task;
    if (task == nullptr || isFinal(reference.entry->state) || task->record.done) {
        const bool stopPending = task != nullptr && task->phase == TaskPhase::Stopping && !TaskStopper::isRetryDue(task->stopSentAt, now);
        if (!stopPending) {
            if (task != nullptr && task->isActive() && task->worker == worker.entry.id && task->run == reported.run) {
                m_with.stopper.stop(reported.task, *task, now);
            } else {
                m_with.stopper.stopRun(worker, reported.task, reported.run);
            }
        }
        return;
    }
    if (!task->isActive() && (reference.entry->predatesTerm || reported.run >= task->record.lastRun)) {
        m_with.strays.remove(worker, RunName{reported.task, reported.run});
        m_with.state.attach(*reference.entry, reported.task, *task, worker, reported.run, TaskPhase::Running, now);
        task->mayBeStopping = true;
        task->paceUnknown = reference.step->bestEffort;
        m_with.output.logDecision("run_adopted", toText(reported.task), worker.entry.id, absl::StrCat("run=", reported.run, " percent=", reported.percent));
    }
    if (!task->isActive() || task->worker != worker.entry.id || task->run != reported.run) {
        m_with.stopper.stopRun(worker, reported.task, reported.run);
        return;
    }
    // Since its first report the worker follows no command of a former owner, so that the run is at work if it outlasts a stop from before.
    task->mayBeStopping = task->mayBeStopping && sentAt - task->startedAt < longestStop;
    m_with.jobs.markStarted(*reference.entry);
    if (task->phase == TaskPhase::Starting || task->phase == TaskPhase::Uncertain) {
        task->phase = TaskPhase::Running;
        task->since = now;
    }
    if (reported.percent != task->percent) {
        task->progressChangedAt = now;
    }
    task->percent = reported.percent;
    task->measurement = reported.measurement;
    m_with.crashes.handleProgress(reference, reported.task, now);
    if (reference.step->continuous && task->isAvailable()) {
        m_with.health.recordAvailable(worker, reported.task, reference, now);
    }
    if (!reported.checkpoint.empty() && reported.checkpoint != task->record.checkpoint) {
        // Stored only with the next change of the job: losing a checkpoint costs repeated work, not correctness.
        task->record.checkpoint = reported.checkpoint;
    }
}

void RunTracker::handleMissingRuns(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now)
{
    if (report.endsTruncated) {
        // A run that the report lacks may be among the run ends left out.
        return;
    }
    std::set<std::pair<TaskName, std::int64_t>> reportedRuns;
    for (const ReportedRun &run : report.running) {
        reportedRuns.emplace(run.task, run.run);
    }
    const std::map<TaskName, std::int64_t> runs = worker.runs;
    for (const std::pair<const TaskName, std::int64_t> &run : runs) {
        const TaskReference reference = m_with.state.findTask(run.first);
        Task *task = reference.task;
        if (task == nullptr || task->since >= sentAt || reportedRuns.contains(run)) {
            continue;
        }
        const bool stopped = task->phase == TaskPhase::Stopping && task->stopAcknowledged;
        if (task->phase == TaskPhase::Running || stopped) {
            m_with.output.logDecision("run_missing", toText(run.first), worker.entry.id, absl::StrCat("run=", run.second));
            m_with.state.detach(*reference.entry, run.first, *task);
            m_with.saves.markChanged(*reference.entry);
        } else if (task->phase == TaskPhase::Uncertain) {
            // The start has not arrived; a stop prevents it from taking effect later.
            m_with.stopper.stop(run.first, *task, now);
        }
    }
}

void RunTracker::dropSpeculative(Worker &worker, core::TimePoint now)
{
    if (!m_with.state.enforcesCapacity(worker.entry.pool)) {
        // The runs may still take up room when the worker responds again, and it would accept more than it can hold.
        return;
    }
    const std::map<TaskName, std::int64_t> runs = worker.runs;
    for (const std::pair<const TaskName, std::int64_t> &run : runs) {
        const TaskReference reference = m_with.state.findTask(run.first);
        if (reference.task == nullptr || !reference.step->speculative) {
            continue;
        }
        releaseRun(worker, run.first, reference, "worker_silent", now);
    }
}

void RunTracker::releaseRun(const Worker &worker, const TaskName &name, const TaskReference &reference, std::string_view reason, core::TimePoint now)
{
    m_with.crashes.addDoubt(worker, CrashAttribution::makeSuspect(name, *reference.task, now), now);
    m_with.strays.release(reference, name, reason, now);
    reference.task->notBefore = now;
}

void RunTracker::dropRuns(Worker &worker, std::string_view reason, core::TimePoint now)
{
    const std::map<TaskName, std::int64_t> runs = worker.runs;
    for (const std::pair<const TaskName, std::int64_t> &run : runs) {
        const TaskReference reference = m_with.state.findTask(run.first);
        if (reference.task == nullptr) {
            continue;
        }
        m_with.output.logDecision("run_lost", toText(run.first), worker.entry.id, absl::StrCat("run=", run.second, " reason=", std::string{reason}));
        m_with.state.detach(*reference.entry, run.first, *reference.task);
        reference.task->notBefore = now;
        m_with.saves.markChanged(*reference.entry);
    }
    worker.runs.clear();
    worker.used = {};
    m_with.strays.clear(worker, reason);
}

void RunTracker::advance(core::TimePoint now)
{
    if (now - m_sweptAt < internal::taskSweepInterval) {
        return;
    }
    m_sweptAt = now;
    for (std::pair<const std::string, Worker> &item : m_with.state.workers()) {
        for (const std::pair<const TaskName, std::int64_t> &run : item.second.runs) {
            const TaskReference reference = m_with.state.findTask(run.first);
            if (reference.task == nullptr) {
                continue;
            }
            Task &task = *reference.task;
            const Step &step = *reference.step;
            const bool monitored = !step.continuous && !step.gang && !step.bestEffort && !item.second.unresponsive;
            if (monitored && task.phase == TaskPhase::Running && now - task.progressChangedAt >= internal::stallTimeout) {
                m_with.output.logDecision("run_stalled", toText(run.first), item.first, absl::StrCat("run=", run.second, " percent=", task.percent));
                m_with.health.recordStall(item.second, run.first, reference, now);
                m_with.stopper.stop(run.first, task, now);
                continue;
            }
            const bool retryDue = task.phase == TaskPhase::Stopping && TaskStopper::isRetryDue(task.stopSentAt, now) && !item.second.unresponsive;
            if (retryDue && !task.stopAcknowledged) {
                m_with.stopper.stop(run.first, task, now);
            }
        }
    }
}

} // namespace oleanderwick::jobs

#include "scheduler.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Consecutive failures after which a worker is quarantined and then probed with one task at a time. */
constexpr std::int64_t failuresForQuarantine = 3;
constexpr core::Duration quarantineTime = std::chrono::seconds{3};
/** Delay before a task is started again after a run end, so that a failing worker does not get it back at once. */
constexpr core::Duration restartDelay = std::chrono::milliseconds{20};
constexpr core::Duration stopRetryDelay = std::chrono::milliseconds{700};
/** A run without progress for this long counts as hung; polls report the progress at least every 2 s. */
constexpr core::Duration stallTimeout = std::chrono::seconds{5};

} // namespace internal

Resources Scheduler::demandOf(const Step &step) const noexcept
{
    // The CPU time of a best-effort task does not count against the worker's capacity.
    return step.bestEffort ? Resources{0, step.each.memory, step.each.gpu} : step.each;
}

void Scheduler::attach(JobEntry &entry, const TaskName &name, Task &task, Worker &worker, std::int64_t run, TaskPhase phase, core::TimePoint now)
{
    const Step &step = entry.job.steps[name.step];
    task.phase = phase;
    task.worker = worker.entry.id;
    task.run = run;
    task.since = now;
    task.startedAt = now;
    task.progressChangedAt = now;
    task.percent = 0;
    task.measurement = 0;
    task.pace = 100;
    task.stopAcknowledged = false;
    task.stopSentAt = {};
    task.record.lastRun = std::max(task.record.lastRun, run);
    worker.runs[name] = run;
    worker.used = worker.used + demandOf(step);
    m_teamUse[entry.job.team] = m_teamUse[entry.job.team] + step.each;
    ++entry.activeTasks;
    setUsed(worker.entry.id, worker.entry.pool);
}

void Scheduler::detach(JobEntry &entry, const TaskName &name, Task &task)
{
    if (!task.isActive()) {
        return;
    }
    const Step &step = entry.job.steps[name.step];
    const auto worker = m_workers.find(task.worker);
    if (worker != m_workers.end()) {
        worker->second.runs.erase(name);
        worker->second.used = worker->second.used - demandOf(step);
    }
    m_teamUse[entry.job.team] = m_teamUse[entry.job.team] - step.each;
    --entry.activeTasks;
    task.phase = task.record.done ? TaskPhase::Done : TaskPhase::Waiting;
    task.worker.clear();
    task.percent = 0;
    m_placementDue = true;
    if (isFinal(entry.state) && entry.activeTasks == 0) {
        m_ended.insert(entry.job.id);
    }
}

void Scheduler::dropSpeculative(Worker &worker, core::TimePoint now)
{
    const std::map<TaskName, std::int64_t> runs = worker.runs;
    for (const std::pair<const TaskName, std::int64_t> &run : runs) {
        const Step *step = findStep(run.first);
        Task *task = findTask(run.first);
        if (step == nullptr || task == nullptr || !step->speculative) {
            continue;
        }
        logDecision("run_doubted", toText(run.first), worker.entry.id, absl::StrCat("run=", run.second));
        detach(*findEntry(run.first.job), run.first, *task);
        task->notBefore = now;
    }
}

void Scheduler::dropRuns(Worker &worker, std::string_view reason, core::TimePoint now)
{
    const std::map<TaskName, std::int64_t> runs = worker.runs;
    for (const std::pair<const TaskName, std::int64_t> &run : runs) {
        JobEntry *entry = findEntry(run.first.job);
        Task *task = findTask(run.first);
        if (entry == nullptr || task == nullptr) {
            continue;
        }
        logDecision("run_lost", toText(run.first), worker.entry.id, absl::StrCat("run=", run.second, " reason=", std::string{reason}));
        detach(*entry, run.first, *task);
        task->notBefore = now;
        markChanged(*entry);
    }
    worker.runs.clear();
    worker.used = {};
}

void Scheduler::resetIncarnation(Worker &worker, std::int64_t incarnation, core::TimePoint now)
{
    logDecision("worker_reborn", "", worker.entry.id, absl::StrCat("born=", incarnation, " before=", worker.incarnation, " runs=", worker.runs.size()));
    // A command that was sent before the restart was known may have reached the new incarnation, so the runs are kept until its next report.
    worker.nextPollAt = now;
    worker.incarnation = incarnation;
    worker.lastEnd = 0;
    worker.storedEnd = 0;
    worker.pendingEnds.clear();
    worker.clockMs = 0;
    worker.consecutiveFailures = 0;
    worker.entry.draining = false;
}

void Scheduler::handleRunEnd(Worker &worker, const ReportedEnd &end, core::TimePoint now, std::int64_t wallMs)
{
    JobEntry *entry = findEntry(end.task.job);
    Task *task = findTask(end.task);
    if (entry == nullptr || task == nullptr) {
        worker.pendingEnds.push_back(PendingEnd{end.number, {}, 0});
        return;
    }
    const bool current = task->isActive() && task->worker == worker.entry.id && task->run == end.run;
    const std::int64_t tookMs = current ? core::milliseconds(now - task->startedAt) : 0;
    const std::int64_t estimateMs = entry->job.steps[end.task.step].estimateMs;
    logDecision("run_ended",
                toText(end.task),
                worker.entry.id,
                absl::StrCat("run=", end.run, " kind=", static_cast<int>(end.kind), " number=", end.number, " took_ms=", tookMs, " estimate_ms=", estimateMs));
    task->record.lastRun = std::max(task->record.lastRun, end.run);
    if (current) {
        detach(*entry, end.task, *task);
        task->notBefore = now + internal::restartDelay;
    }
    if (!end.checkpoint.empty()) {
        task->record.checkpoint = end.checkpoint;
    }
    updateQuarantine(worker, end.kind, now);
    if (!isFinal(entry->state)) {
        markStarted(*entry);
        if (end.kind == RunEndKind::Done) {
            handleSuccess(*entry, end.task, wallMs, now);
        } else if (end.kind == RunEndKind::Failed) {
            handleFailure(*entry, end.task, *task, end.run, wallMs, now);
        }
    }
    markChanged(*entry);
    worker.pendingEnds.push_back(PendingEnd{end.number, entry->job.id, entry->version});
    m_unstoredEnds.insert(worker.entry.id);
}

void Scheduler::handleSuccess(JobEntry &entry, const TaskName &name, std::int64_t wallMs, core::TimePoint now)
{
    const Step &step = entry.job.steps[name.step];
    if (step.continuous) {
        return;
    }
    Occurrence &occurrence = entry.occurrences.at(name.occurrence);
    StepState &state = occurrence.steps[name.step];
    // The success of one member completes the whole gang.
    const std::size_t first = step.gang ? 0 : name.index;
    const std::size_t last = step.gang ? state.tasks.size() : name.index + 1;
    const std::size_t remainingBefore = state.remaining;
    for (std::size_t index = first; index < last; ++index) {
        Task &member = state.tasks[index];
        if (member.record.done) {
            continue;
        }
        member.record.done = true;
        member.record.checkpoint.clear();
        --state.remaining;
        if (member.phase == TaskPhase::Waiting) {
            member.phase = TaskPhase::Done;
        } else if (!step.gang) {
            // Another run of the task is still active; members of a gang end by themselves.
            stopTask(TaskName{name.job, name.occurrence, name.step, index}, member, now);
        }
    }
    if (state.remaining > 0 || remainingBefore == 0) {
        return;
    }
    --occurrence.remainingSteps;
    completeIfDone(entry, wallMs, now);
}

void Scheduler::completeIfDone(JobEntry &entry, std::int64_t wallMs, core::TimePoint now)
{
    const bool allOpened = entry.nextOccurrence >= std::max<std::int64_t>(entry.job.repeatCount, 1);
    const bool allDone = !entry.occurrences.empty()
        && std::all_of(entry.occurrences.begin(), entry.occurrences.end(), [](const std::pair<const std::int64_t, Occurrence> &other) {
               return other.second.remainingSteps == 0;
           });
    if (allOpened && allDone) {
        endJob(entry, JobState::Completed, wallMs, now);
    }
}

void Scheduler::handleFailure(JobEntry &entry, const TaskName &name, Task &task, std::int64_t run, std::int64_t wallMs, core::TimePoint now)
{
    const Step &step = entry.job.steps[name.step];
    if (step.continuous || task.record.done) {
        return;
    }
    std::vector<std::int64_t> &failedRuns = task.record.failedRuns;
    if (std::find(failedRuns.begin(), failedRuns.end(), run) != failedRuns.end()) {
        // A previous owner has counted this failure, but the acknowledgement did not reach the worker in time.
        return;
    }
    failedRuns.push_back(run);
    std::set<std::int64_t> counted{failedRuns.begin(), failedRuns.end()};
    if (step.gang) {
        // Members that fail in the same run count as one failure of the gang.
        for (const Task &member : entry.occurrences[name.occurrence].steps[name.step].tasks) {
            counted.insert(member.record.failedRuns.begin(), member.record.failedRuns.end());
        }
    }
    const std::int64_t failures = static_cast<std::int64_t>(counted.size());
    if (failures >= maxAttempts(entry)) {
        logDecision("job_failed", entry.job.id, "", absl::StrCat("task=", toText(name), " failures=", failures, " allowed=", maxAttempts(entry)));
        endJob(entry, JobState::Failed, wallMs, now);
    }
}

void Scheduler::updateQuarantine(Worker &worker, RunEndKind kind, core::TimePoint now)
{
    if (kind == RunEndKind::Done) {
        worker.consecutiveFailures = 0;
    } else if (kind == RunEndKind::Failed) {
        ++worker.consecutiveFailures;
        worker.lastFailureAt = now;
        if (worker.consecutiveFailures >= internal::failuresForQuarantine) {
            worker.quarantinedUntil = now + internal::quarantineTime;
            logDecision("worker_quarantined", "", worker.entry.id, absl::StrCat("failures=", worker.consecutiveFailures));
        }
    }
}

void Scheduler::endJob(JobEntry &entry, JobState state, std::int64_t wallMs, core::TimePoint now)
{
    entry.state = state;
    entry.endedMs = wallMs;
    logDecision("job_ended",
                entry.job.id,
                "",
                absl::StrCat("state=", std::string{toText(state)}, " age_ms=", wallMs - entry.job.submittedMs, " out=", entry.activeTasks));
    for (std::pair<const std::int64_t, Occurrence> &occurrence : entry.occurrences) {
        for (std::size_t step = 0; step < occurrence.second.steps.size(); ++step) {
            std::vector<Task> &tasks = occurrence.second.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].isActive()) {
                    stopTask(TaskName{entry.job.id, occurrence.first, step, index}, tasks[index], now);
                }
            }
        }
    }
    markChanged(entry);
    if (entry.activeTasks == 0) {
        m_ended.insert(entry.job.id);
    }
}

void Scheduler::removeEndedJobs()
{
    for (auto id = m_ended.begin(); id != m_ended.end();) {
        const JobEntry *entry = findEntry(*id);
        if (entry == nullptr) {
            id = m_ended.erase(id);
        } else if (entry->activeTasks == 0 && entry->savedVersion == entry->version) {
            m_advice.erase(m_advice.lower_bound(StepName{*id, 0, 0}), m_advice.upper_bound(StepName{*id, INT64_MAX, SIZE_MAX}));
            m_jobs.erase(*id);
            id = m_ended.erase(id);
        } else {
            ++id;
        }
    }
}

void Scheduler::issueStop(Worker &worker, const TaskName &name, std::int64_t run)
{
    m_commands.stops.push_back(StopCommand{worker.entry.id, worker.entry.address, name, run});
}

void Scheduler::stopTask(const TaskName &name, Task &task, core::TimePoint now)
{
    const auto worker = m_workers.find(task.worker);
    if (worker == m_workers.end()) {
        return;
    }
    if (task.phase != TaskPhase::Stopping) {
        task.phase = TaskPhase::Stopping;
        task.since = now;
        task.stopAcknowledged = false;
    }
    task.stopSentAt = now;
    issueStop(worker->second, name, task.run);
}

void Scheduler::handleReportedRun(Worker &worker, const ReportedRun &reported, core::TimePoint now)
{
    JobEntry *entry = findEntry(reported.task.job);
    Task *task = findTask(reported.task);
    if (entry == nullptr || task == nullptr || isFinal(entry->state) || task->record.done) {
        const bool stopPending = task != nullptr && task->phase == TaskPhase::Stopping && now - task->stopSentAt < internal::stopRetryDelay;
        if (!stopPending) {
            if (task != nullptr && task->isActive() && task->worker == worker.entry.id && task->run == reported.run) {
                stopTask(reported.task, *task, now);
            } else {
                issueStop(worker, reported.task, reported.run);
            }
        }
        return;
    }
    if (!task->isActive() && (entry->predatesTerm || reported.run >= task->record.lastRun)) {
        attach(*entry, reported.task, *task, worker, reported.run, TaskPhase::Running, now);
        logDecision("run_adopted", toText(reported.task), worker.entry.id, absl::StrCat("run=", reported.run, " percent=", reported.percent));
    }
    if (!task->isActive() || task->worker != worker.entry.id || task->run != reported.run) {
        issueStop(worker, reported.task, reported.run);
        return;
    }
    markStarted(*entry);
    if (task->phase == TaskPhase::Starting || task->phase == TaskPhase::Uncertain) {
        task->phase = TaskPhase::Running;
        task->since = now;
    }
    if (reported.percent != task->percent) {
        task->progressChangedAt = now;
    }
    task->percent = reported.percent;
    task->measurement = reported.measurement;
    if (task->isAvailable() && task->startedAt > worker.lastFailureAt && entry->job.steps[reported.task.step].continuous) {
        // A continuous task never ends with success, so being fully started counts as success.
        worker.consecutiveFailures = 0;
    }
    if (!reported.checkpoint.empty() && reported.checkpoint != task->record.checkpoint) {
        // Stored only with the next change of the job: losing a checkpoint costs repeated work, not correctness.
        task->record.checkpoint = reported.checkpoint;
    }
}

void Scheduler::handleMissingRuns(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now)
{
    // A report with this many run ends may be truncated: a run that it lacks may be among the run ends left out.
    constexpr std::size_t maxReportedEnds = 500;
    std::set<std::pair<TaskName, std::int64_t>> reportedRuns;
    for (const ReportedRun &run : report.running) {
        reportedRuns.emplace(run.task, run.run);
    }
    const std::map<TaskName, std::int64_t> runs = worker.runs;
    for (const std::pair<const TaskName, std::int64_t> &run : runs) {
        Task *task = findTask(run.first);
        JobEntry *entry = findEntry(run.first.job);
        if (task == nullptr || entry == nullptr || reportedRuns.contains(run) || task->since >= sentAt || report.ended.size() >= maxReportedEnds) {
            continue;
        }
        const bool stopped = task->phase == TaskPhase::Stopping && task->stopAcknowledged;
        if (task->phase == TaskPhase::Running || stopped) {
            logDecision("run_missing", toText(run.first), worker.entry.id, absl::StrCat("run=", run.second));
            detach(*entry, run.first, *task);
            markChanged(*entry);
        } else if (task->phase == TaskPhase::Uncertain) {
            // The start has not arrived; a stop prevents it from taking effect later.
            stopTask(run.first, *task, now);
        }
    }
}

void Scheduler::markStarted(JobEntry &entry)
{
    if (entry.state == JobState::Queued) {
        entry.state = JobState::Running;
        markChanged(entry);
    }
}

void Scheduler::sweepTasks(core::TimePoint now)
{
    for (std::pair<const std::string, Worker> &item : m_workers) {
        for (const std::pair<const TaskName, std::int64_t> &run : item.second.runs) {
            Task *task = findTask(run.first);
            if (task == nullptr) {
                continue;
            }
            const Step *step = findStep(run.first);
            const bool monitored = step != nullptr && !step->continuous && !step->gang && !step->bestEffort && !item.second.unresponsive;
            if (monitored && task->phase == TaskPhase::Running && now - task->progressChangedAt >= internal::stallTimeout) {
                logDecision("run_stalled", toText(run.first), item.first, absl::StrCat("run=", run.second, " percent=", task->percent));
                updateQuarantine(item.second, RunEndKind::Failed, now);
                stopTask(run.first, *task, now);
                continue;
            }
            const bool retryDue = task->phase == TaskPhase::Stopping && now - task->stopSentAt >= internal::stopRetryDelay && !item.second.unresponsive;
            if (retryDue && !task->stopAcknowledged) {
                stopTask(run.first, *task, now);
            }
        }
    }
}

} // namespace oleanderwick::jobs

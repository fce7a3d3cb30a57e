#include "scheduler.hpp"

#include <algorithm>
#include <array>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Run numbers left out for each task after a change of owner: the previous owner may have used them without storing it. */
constexpr std::int64_t skippedRunNumbers = 8;
/** A ticket is treated as expired this much early, since it must still be valid when the start arrives. */
constexpr core::Duration ticketMargin = std::chrono::milliseconds{200};
/** Decisions kept between two calls of `takeDecisions`; further ones are dropped. */
constexpr std::size_t maxDecisions = 4096;

} // namespace internal

std::string_view toText(StartOutcome outcome) noexcept
{
    constexpr std::array<std::string_view, 11> names{
        "started", "no_room", "fenced", "outdated", "too_late", "no_ticket", "unhealthy", "other_incarnation", "invalid", "not_sent", "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

Scheduler::Scheduler(const SchedulerLimits &limits, core::TimePoint now)
    : m_limits{limits}
    , m_termStart{now}
{
}

void Scheduler::configure(FleetConfig config)
{
    m_config = std::move(config);
    m_placementDue = true;
}

void Scheduler::registerWorker(const WorkerEntry &entry, core::TimePoint now)
{
    Worker &worker = m_workers[entry.id];
    if (entry.incarnation != 0 && worker.incarnation != 0 && entry.incarnation < worker.incarnation) {
        return;
    }
    const bool isNewIncarnation = worker.entry.id.empty() || (entry.incarnation != 0 && entry.incarnation != worker.incarnation);
    if (worker.entry.pool != entry.pool || worker.entry.draining != entry.draining || isNewIncarnation) {
        logDecision("worker_listed", "", entry.id, absl::StrCat("pool=", entry.pool, " draining=", entry.draining ? 1 : 0, " born=", entry.incarnation));
    }
    if (entry.incarnation != 0 && worker.incarnation != 0 && entry.incarnation > worker.incarnation) {
        resetIncarnation(worker, entry.incarnation, now);
    }
    if (entry.incarnation != 0) {
        worker.incarnation = entry.incarnation;
    }
    // A worker does not stop draining within an incarnation, so a later entry without the flag counts as out of date.
    const bool draining = entry.draining || (worker.entry.draining && !isNewIncarnation);
    WorkerEntry updated = entry;
    updated.draining = draining;
    // Most entries are heartbeats, which change nothing here.
    if (!worker.registered || worker.entry != updated) {
        worker.entry = std::move(updated);
        worker.registered = true;
        worker.zoneClosed = isZoneClosed(worker.entry.zone);
        m_placementDue = true;
    }
}

void Scheduler::unregisterWorker(const std::string &id)
{
    const auto found = m_workers.find(id);
    if (found != m_workers.end() && found->second.registered) {
        found->second.registered = false;
        logDecision("worker_unlisted", "", id, absl::StrCat("runs=", found->second.runs.size()));
    }
}

void Scheduler::restoreWorker(const std::string &id, const std::string &pool)
{
    Worker &worker = m_workers[id];
    if (!worker.registered) {
        worker.entry.id = id;
        worker.entry.pool = pool;
    }
    setUsed(id, pool);
}

void Scheduler::setUsed(const std::string &id, const std::string &pool)
{
    const auto known = m_usedWorkers.find(id);
    if (known == m_usedWorkers.end() || known->second != pool) {
        m_usedWorkers.insert_or_assign(id, pool);
        ++m_usedWorkersVersion;
    }
}

void Scheduler::addJob(Job job, const std::optional<JobRecord> &record, bool predatesTerm, core::TimePoint now)
{
    if (m_jobs.contains(job.id) || (record.has_value() && isFinal(record->state))) {
        m_earlyCancels.erase(job.id);
        return;
    }
    JobEntry &entry = m_jobs[job.id];
    entry.job = std::move(job);
    logDecision("job_taken_in",
                entry.job.id,
                "",
                absl::StrCat("queue=",
                             entry.job.queue,
                             " pool=",
                             entry.job.pool,
                             " team=",
                             entry.job.team,
                             " steps=",
                             entry.job.steps.size(),
                             " former_owner=",
                             predatesTerm ? 1 : 0));
    entry.predatesTerm = predatesTerm;
    entry.criticalPathMs = criticalPathMs(entry.job, nullptr);
    entry.allSpeculative = std::all_of(entry.job.steps.begin(), entry.job.steps.end(), [](const Step &step) {
        return step.speculative;
    });
    if (record.has_value()) {
        entry.state = record->state;
        entry.storedState = record->state;
        entry.nextOccurrence = record->nextOccurrence;
        for (const std::pair<const std::int64_t, std::vector<std::vector<TaskRecord>>> &saved : record->occurrences) {
            openOccurrence(entry, saved.first, &saved.second);
        }
        m_restored.insert(entry.job.id);
    } else if (!predatesTerm) {
        recordArrival(entry.job, now);
    }
    m_unopened.insert(entry.job.id);
    const auto cancelled = m_earlyCancels.find(entry.job.id);
    if (cancelled != m_earlyCancels.end()) {
        endJob(entry, JobState::Cancelled, cancelled->second, now);
        m_earlyCancels.erase(cancelled);
    }
    m_placementDue = true;
}

void Scheduler::openOccurrence(JobEntry &entry, std::int64_t number, const std::vector<std::vector<TaskRecord>> *records)
{
    Occurrence &occurrence = entry.occurrences[number];
    occurrence.dueMs = entry.job.repeatCount > 0 ? entry.job.firstRunMs + number * entry.job.intervalMs : 0;
    for (std::size_t index = 0; index < entry.job.steps.size(); ++index) {
        const Step &step = entry.job.steps[index];
        StepState &state = occurrence.steps.emplace_back();
        state.tasks.resize(static_cast<std::size_t>(step.count));
        for (std::size_t task = 0; task < state.tasks.size(); ++task) {
            if (records != nullptr && index < records->size() && task < (*records)[index].size()) {
                state.tasks[task].record = (*records)[index][task];
            }
            if (entry.predatesTerm) {
                state.tasks[task].record.lastRun += state.tasks[task].record.done ? 0 : internal::skippedRunNumbers;
            }
            if (state.tasks[task].record.done) {
                state.tasks[task].phase = TaskPhase::Done;
            } else {
                ++state.remaining;
            }
        }
        occurrence.remainingSteps += state.remaining > 0 ? 1 : 0;
    }
}

void Scheduler::openDueOccurrences(JobEntry &entry, std::int64_t wallMs)
{
    const std::int64_t count = std::max<std::int64_t>(entry.job.repeatCount, 1);
    while (entry.nextOccurrence < count) {
        const std::int64_t dueMs = entry.job.repeatCount > 0 ? entry.job.firstRunMs + entry.nextOccurrence * entry.job.intervalMs : 0;
        if (dueMs > wallMs) {
            return;
        }
        openOccurrence(entry, entry.nextOccurrence, nullptr);
        ++entry.nextOccurrence;
    }
}

void Scheduler::cancelJob(const std::string &id, std::int64_t wallMs, core::TimePoint now)
{
    JobEntry *entry = findEntry(id);
    if (entry == nullptr) {
        // When the store is listed, a cancellation may come before its job.
        m_earlyCancels[id] = wallMs;
        return;
    }
    if (!isFinal(entry->state)) {
        endJob(*entry, JobState::Cancelled, wallMs, now);
    }
}

void Scheduler::handleReport(const std::string &id, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now, std::int64_t wallMs)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return;
    }
    Worker &worker = found->second;
    worker.pollInFlight = false;
    const std::int64_t before = worker.incarnation;
    if (report.incarnation != 0 && worker.incarnation != 0 && report.incarnation < worker.incarnation) {
        return;
    }
    if (report.incarnation != 0 && report.incarnation != worker.incarnation) {
        resetIncarnation(worker, report.incarnation, now);
    }
    if (!worker.reported) {
        logDecision("worker_held", "", id, absl::StrCat("running=", report.running.size(), " ended=", report.ended.size(), " clock_ms=", report.clockMs));
    }
    recordClock(worker, report.clockMs, now);
    if (!worker.reported || report.incarnation != before) {
        // Its runs may have a lease of unknown length: from a previous owner, or given to an incarnation that this owner did not know.
        worker.leaseExpiresBy = std::max(worker.leaseExpiresBy, now + maxLeaseDuration());
    }
    worker.unresponsive = false;
    worker.lastReplyAt = now;
    for (const ReportedEnd &end : report.ended) {
        if (end.number > worker.lastEnd) {
            handleRunEnd(worker, end, now, wallMs);
            worker.lastEnd = end.number;
        }
    }
    for (const ReportedRun &reported : report.running) {
        handleReportedRun(worker, reported, now);
    }
    handleMissingRuns(worker, report, sentAt, now);
    worker.reported = true;
    advanceAcks(worker);
    paceBestEffort(worker, now);
    worker.nextPollAt = now;
    m_placementDue = true;
}

void Scheduler::handlePollFailure(const std::string &id, bool gone, core::TimePoint now)
{
    constexpr core::Duration retryDelay = std::chrono::milliseconds{400};
    const auto found = m_workers.find(id);
    if (found == m_workers.end()) {
        return;
    }
    Worker &worker = found->second;
    worker.pollInFlight = false;
    worker.nextPollAt = now + retryDelay;
    if (!worker.unresponsive) {
        logDecision("worker_silent",
                    "",
                    id,
                    absl::StrCat("gone=", gone ? 1 : 0, " runs=", worker.runs.size(), " seen_ms_ago=", core::milliseconds(now - worker.lastReplyAt)));
    }
    worker.unresponsive = true;
    if (!gone) {
        dropSpeculative(worker, now);
    }
    if (gone) {
        // The worker process has ended: its address refuses connections or belongs to another worker.
        dropRuns(worker, "worker_gone", now);
        worker.reported = true;
        worker.leaseExpiresBy = now;
    }
}

void Scheduler::handleStartReply(const StartCommand &command, StartOutcome outcome, std::int64_t clockMs, core::TimePoint now)
{
    constexpr core::Duration refusalDelay = std::chrono::milliseconds{1500};
    constexpr core::Duration noRoomDelay = std::chrono::milliseconds{150};
    const auto found = m_workers.find(command.worker);
    JobEntry *entry = findEntry(command.task.job);
    Task *task = findTask(command.task);
    if (found == m_workers.end() || entry == nullptr || task == nullptr) {
        return;
    }
    Worker &worker = found->second;
    if (clockMs > 0) {
        recordClock(worker, clockMs, now);
        worker.lastReplyAt = now;
    }
    if (outcome != StartOutcome::Started) {
        logDecision("start_refused", toText(command.task), command.worker, absl::StrCat("run=", command.run, " answer=", std::string{toText(outcome)}));
    }
    if (!task->isActive() || task->run != command.run || task->worker != command.worker) {
        return;
    }
    m_placementDue = true;
    if (outcome == StartOutcome::Started) {
        markStarted(*entry);
        if (task->phase == TaskPhase::Starting) {
            task->phase = TaskPhase::Running;
            task->since = now;
            task->progressChangedAt = now;
        }
        worker.nextPollAt = std::min(worker.nextPollAt, now);
        return;
    }
    if (outcome == StartOutcome::Unknown) {
        worker.nextPollAt = now;
        if (entry->job.steps[command.task.step].speculative) {
            // A duplicate run on another worker is harmless, but in a closed zone none may start late.
            if (worker.zoneClosed) {
                issueStop(worker, command.task, command.run);
            }
            detach(*entry, command.task, *task);
            task->notBefore = now;
            worker.quarantinedUntil = now + refusalDelay;
        } else if (task->phase == TaskPhase::Starting) {
            task->phase = TaskPhase::Uncertain;
            task->since = now;
        }
        return;
    }
    detach(*entry, command.task, *task);
    task->notBefore = now;
    if (outcome == StartOutcome::Unhealthy || outcome == StartOutcome::NotSent || outcome == StartOutcome::OtherIncarnation) {
        worker.quarantinedUntil = now + refusalDelay;
    }
    if (outcome == StartOutcome::NoRoom || outcome == StartOutcome::TooLate) {
        worker.quarantinedUntil = now + noRoomDelay;
        worker.nextPollAt = now;
    }
    if (outcome == StartOutcome::NoTicket) {
        m_advice.erase(StepName{command.task.job, command.task.occurrence, command.task.step});
    }
    if (outcome == StartOutcome::Invalid) {
        task->notBefore = now + refusalDelay;
    }
}

void Scheduler::handleStopReply(const StopCommand &command, bool acknowledged, core::TimePoint now)
{
    Task *task = findTask(command.task);
    if (task == nullptr || !task->isActive() || task->run != command.run || task->worker != command.worker || !acknowledged) {
        return;
    }
    task->stopAcknowledged = true;
    task->since = now;
    const auto found = m_workers.find(command.worker);
    if (found != m_workers.end()) {
        found->second.nextPollAt = now;
    }
}

void Scheduler::handleAdvice(const AdviceRequest &request,
                             const std::optional<std::map<std::string, std::string>> &tickets,
                             core::Duration validFor,
                             core::TimePoint now)
{
    Advice &advice = m_advice[request.step];
    advice.requestInFlight = false;
    if (!tickets.has_value()) {
        return;
    }
    for (const std::string &worker : request.workers) {
        const auto ticket = tickets->find(worker);
        if (ticket != tickets->end()) {
            advice.tickets[worker] = ticket->second;
        }
        // A worker that was refused for the step stays refused, because the step does not change.
        advice.validUntil[worker] = ticket != tickets->end() ? now + validFor - internal::ticketMargin : core::TimePoint::max();
    }
    m_placementDue = true;
}

Commands Scheduler::takeCommands()
{
    Commands commands;
    std::swap(commands, m_commands);
    return commands;
}

std::vector<Decision> Scheduler::takeDecisions()
{
    std::vector<Decision> decisions;
    std::swap(decisions, m_decisions);
    return decisions;
}

const std::map<std::string, Worker> &Scheduler::workers() const noexcept
{
    return m_workers;
}

const JobEntry *Scheduler::findJob(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

std::uint64_t Scheduler::usedWorkersVersion() const noexcept
{
    return m_usedWorkersVersion;
}

const std::map<std::string, std::string> &Scheduler::usedWorkers() const noexcept
{
    return m_usedWorkers;
}

JobEntry *Scheduler::findEntry(const std::string &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

Task *Scheduler::findTask(const TaskName &name)
{
    JobEntry *entry = findEntry(name.job);
    if (entry == nullptr) {
        return nullptr;
    }
    const auto occurrence = entry->occurrences.find(name.occurrence);
    if (occurrence == entry->occurrences.end() || name.step >= occurrence->second.steps.size()) {
        return nullptr;
    }
    std::vector<Task> &tasks = occurrence->second.steps[name.step].tasks;
    return name.index < tasks.size() ? &tasks[name.index] : nullptr;
}

const Step *Scheduler::findStep(const TaskName &name) const
{
    const JobEntry *entry = findJob(name.job);
    return entry == nullptr || name.step >= entry->job.steps.size() ? nullptr : &entry->job.steps[name.step];
}

std::int64_t Scheduler::maxAttempts(const JobEntry &entry) const
{
    const auto queue = m_config.queues.find(entry.job.queue);
    return std::max<std::int64_t>(queue == m_config.queues.end() ? entry.job.maxAttempts : queue->second.maxAttempts, 1);
}

void Scheduler::logDecision(std::string event, std::string job, std::string worker, std::string detail)
{
    if (m_decisions.size() < internal::maxDecisions) {
        m_decisions.push_back(Decision{std::move(event), std::move(job), std::move(worker), std::move(detail)});
    }
}

} // namespace oleanderwick::jobs

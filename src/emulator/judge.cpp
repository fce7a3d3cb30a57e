#include "judge.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace oleanderwick::emulator
{

InvariantChecker::InvariantChecker(const Tolerances &tolerances)
    : m_tolerances{tolerances}
{
}

void InvariantChecker::addViolation(const std::string &invariant, std::string detail, core::TimePoint now)
{
    m_violations.push_back(Violation{invariant, std::move(detail), now});
}

void InvariantChecker::setTeamLimits(std::map<std::string, jobs::Resources> limits)
{
    m_teamLimits = std::move(limits);
}

const std::vector<Violation> &InvariantChecker::violations() const noexcept
{
    return m_violations;
}

std::uint64_t InvariantChecker::starts() const noexcept
{
    return m_starts;
}

void InvariantChecker::submitted(const jobs::Job &job)
{
    m_jobs[job.id].job = job;
}

void InvariantChecker::accepted(const std::string &job, core::TimePoint now)
{
    JobView &view = m_jobs.at(job);
    if (!view.accepted) {
        view.accepted = true;
        view.acceptedAt = now;
    }
}

void InvariantChecker::rejected(const std::string &job)
{
    m_jobs.at(job).rejected = true;
}

void InvariantChecker::cancelRequested(const std::string &job)
{
    m_jobs.at(job).cancelRequested = true;
}

void InvariantChecker::cancelled(const std::string &job, core::TimePoint now)
{
    JobView &view = m_jobs.at(job);
    view.cancelled = true;
    view.cancelledAt = now;
}

bool InvariantChecker::allDone(const JobView &view) const
{
    for (std::size_t step = 0; step < view.job.steps.size(); ++step) {
        for (std::int64_t index = 0; index < view.job.steps[step].count; ++index) {
            const auto task = m_tasks.find({view.job.id, 0, step, static_cast<std::size_t>(index)});
            if (task == m_tasks.end() || !task->second.done) {
                return false;
            }
        }
    }
    return true;
}

void InvariantChecker::stateReported(const std::string &job, jobs::JobState state, core::TimePoint now)
{
    JobView &view = m_jobs.at(job);
    view.reportedState = state;
    if (state == jobs::JobState::Completed && !allDone(view)) {
        addViolation("completed_early", job, now);
    }
    if (state == jobs::JobState::Failed && !view.attemptsExhausted) {
        addViolation("failed_without_cause", job, now);
    }
    if (state == jobs::JobState::Cancelled && !view.cancelRequested) {
        addViolation("cancelled_without_cause", job, now);
    }
}

void InvariantChecker::reportedMissing(const std::string &job, core::TimePoint now)
{
    const JobView &view = m_jobs.at(job);
    if (view.accepted && !view.cancelRequested && now - view.acceptedAt > m_tolerances.visibleWithin) {
        addViolation("job_lost", job, now);
    }
}

bool InvariantChecker::hasStarted(const std::string &job) const
{
    const auto task = m_tasks.lower_bound(jobs::TaskName{job, 0, 0, 0});
    return task != m_tasks.end() && task->first.job == job;
}

void InvariantChecker::pendingReported(const std::string &queue, std::int64_t count, core::TimePoint askedAt, core::TimePoint now)
{
    const core::TimePoint acceptedBefore = askedAt - m_tolerances.visibleWithin - m_tolerances.maxPendingAge;
    std::int64_t waiting = 0;
    for (const std::pair<const std::string, JobView> &item : m_jobs) {
        const JobView &view = item.second;
        const bool counts = view.job.queue == queue && view.accepted && view.acceptedAt < acceptedBefore && !view.cancelRequested;
        waiting += counts && !hasStarted(item.first) ? 1 : 0;
    }
    if (waiting > 2 * count) {
        addViolation("pending_understated", absl::StrCat(queue, " reported=", count, " waiting=", waiting), now);
    }
}

void InvariantChecker::simulationEnded(core::TimePoint now)
{
    for (const std::pair<const std::string, JobView> &item : m_jobs) {
        const JobView &view = item.second;
        const bool continuous = std::any_of(view.job.steps.begin(), view.job.steps.end(), [](const jobs::Step &step) {
            return step.continuous;
        });
        if (view.accepted && !view.cancelRequested && !continuous && !jobs::isFinal(view.reportedState)) {
            addViolation("job_unfinished", item.first, now);
        }
    }
    checkWavesAtEnd(now);
}

void InvariantChecker::checkWavesAtEnd(core::TimePoint now)
{
    for (const std::pair<const std::int64_t, WaveView> &item : m_waves) {
        const WaveView &wave = item.second;
        if (!wave.isCompleted() && now - wave.lastProgressAt() > wave.latest().duration) {
            const double idleS = std::chrono::duration<double>{now - wave.lastProgressAt()}.count();
            addViolation("wave_stalled", absl::StrCat("wave=", item.first, " missing=", wave.missing(now).size(), " for_s=", idleS), now);
        }
    }
}

void InvariantChecker::checkJob(const jobs::StartCommand &command, core::TimePoint now)
{
    const auto found = m_jobs.find(command.task.job);
    if (found == m_jobs.end() || found->second.job.spec != command.spec) {
        addViolation("start_unasked", toText(command.task), now);
        return;
    }
    if (found->second.rejected) {
        addViolation("refused_job_started", toText(command.task), now);
    }
    if (!command.checkpoint.empty() && checkpointedWorkMs(command.task, command.checkpoint) < 0) {
        addViolation("foreign_checkpoint", toText(command.task), now);
    }
    if (found->second.cancelled && now - found->second.cancelledAt > m_tolerances.cancelWithin) {
        addViolation("start_after_cancel", toText(command.task), now);
    }
}

void InvariantChecker::checkTask(const WorkerModel &worker, const EmulatedRun &run, core::TimePoint now)
{
    TaskView &task = m_tasks[run.task];
    if (!run.step.speculative && (!task.runningOn.empty() || task.doneAcknowledged)) {
        const std::string other = task.runningOn.empty() ? std::string{"done"} : *task.runningOn.begin();
        addViolation("task_twice", absl::StrCat(toText(run.task), " run=", run.run, " on=", worker.entry.id, " other=", other), now);
    }
    const JobView &view = m_jobs.at(run.task.job);
    if (!run.step.continuous && static_cast<std::int64_t>(task.acknowledgedFailures.size()) >= view.job.maxAttempts) {
        addViolation("attempts_exceeded", toText(run.task), now);
    }
}

void InvariantChecker::checkStepOrder(const EmulatedRun &run, core::TimePoint now)
{
    for (const std::size_t before : run.step.after) {
        const std::int64_t count = m_jobs.at(run.task.job).job.steps.at(before).count;
        for (std::int64_t index = 0; index < count; ++index) {
            const auto earlier = m_tasks.find({run.task.job, run.task.occurrence, before, static_cast<std::size_t>(index)});
            if (earlier == m_tasks.end() || !earlier->second.done) {
                addViolation("step_too_early", toText(run.task), now);
                return;
            }
        }
    }
}

void InvariantChecker::checkPlacement(const WorkerModel &worker, const EmulatedRun &run, core::TimePoint now)
{
    const JobView &view = m_jobs.at(run.task.job);
    if (worker.entry.pool != view.job.pool) {
        addViolation("wrong_pool", absl::StrCat(toText(run.task), " on=", worker.entry.id), now);
    }
    const std::int64_t sameStep = std::count_if(worker.runs().begin(), worker.runs().end(), [&run](const std::pair<const jobs::TaskName, EmulatedRun> &other) {
        return other.first.job == run.task.job && other.first.occurrence == run.task.occurrence && other.first.step == run.task.step;
    });
    if (run.step.maxPerWorker > 0 && sameStep > run.step.maxPerWorker) {
        addViolation("too_many_on_worker", toText(run.task), now);
    }
    const jobs::Resources usedResources = worker.usedResources();
    if (usedResources.cpu > worker.entry.capacity.cpu || usedResources.memory > worker.entry.capacity.memory) {
        addViolation("capacity_exceeded", absl::StrCat(toText(run.task), " on=", worker.entry.id), now);
    }
    const auto drains = m_drainingSince.find(worker.entry.id);
    if (drains != m_drainingSince.end() && now - drains->second > m_tolerances.drainWithin && now > m_storeSettledAt) {
        addViolation("start_on_draining", absl::StrCat(toText(run.task), " on=", worker.entry.id), now);
    }
}

void InvariantChecker::checkZone(const WorkerModel &worker, const EmulatedRun &run, core::TimePoint now)
{
    const auto closed = m_zoneClosedSince.find(worker.entry.zone);
    if (closed != m_zoneClosedSince.end() && now - closed->second > m_tolerances.zoneClosedWithin) {
        const double lateS = std::chrono::duration<double>{now - closed->second}.count();
        addViolation("start_in_closed_zone", absl::StrCat(toText(run.task), " on=", worker.entry.id, " zone=", closed->first, " closed_for_s=", lateS), now);
    }
}

void InvariantChecker::checkTeam(const EmulatedRun &run, core::TimePoint now)
{
    const std::string &team = m_jobs.at(run.task.job).job.team;
    jobs::Resources &use = m_teamUse[team];
    use = use + run.step.each;
    const auto limit = m_teamLimits.find(team);
    if (limit == m_teamLimits.end() || limit->second.cpu == 0) {
        return;
    }
    const double maxCpu = static_cast<double>(limit->second.cpu) * (1.0 + m_tolerances.allowedExcessShare) + static_cast<double>(run.step.each.cpu);
    if (static_cast<double>(use.cpu) > maxCpu) {
        addViolation("team_over_limit", absl::StrCat(team, " cpu=", use.cpu, " limit=", limit->second.cpu), now);
    }
}

void InvariantChecker::started(const WorkerModel &worker, const EmulatedRun &run, const jobs::StartCommand &command, core::TimePoint now)
{
    ++m_starts;
    checkZone(worker, run, now);
    checkJob(command, now);
    if (m_jobs.contains(run.task.job)) {
        checkTask(worker, run, now);
        checkStepOrder(run, now);
        checkPlacement(worker, run, now);
        checkTeam(run, now);
    }
    m_tasks[run.task].runningOn.insert(worker.entry.id);
}

void InvariantChecker::ended(const WorkerModel &worker, const EmulatedRun &run, jobs::RunEndKind kind)
{
    TaskView &task = m_tasks[run.task];
    task.runningOn.erase(worker.entry.id);
    task.done = task.done || kind == jobs::RunEndKind::Done;
    const auto job = m_jobs.find(run.task.job);
    if (job == m_jobs.end()) {
        return;
    }
    m_teamUse[job->second.job.team] = m_teamUse[job->second.job.team] - run.step.each;
    if (kind == jobs::RunEndKind::Failed) {
        task.failedRuns.insert(run.run);
        job->second.attemptsExhausted = job->second.attemptsExhausted || static_cast<std::int64_t>(task.failedRuns.size()) >= job->second.job.maxAttempts;
    }
}

void InvariantChecker::acknowledged(const jobs::ReportedEnd &end)
{
    TaskView &task = m_tasks[end.task];
    task.doneAcknowledged = task.doneAcknowledged || end.kind == jobs::RunEndKind::Done;
    if (end.kind == jobs::RunEndKind::Failed) {
        task.acknowledgedFailures.insert(end.run);
    }
}

void InvariantChecker::workerLost(const WorkerModel &worker)
{
    for (const std::pair<const jobs::TaskName, EmulatedRun> &run : worker.runs()) {
        m_tasks[run.first].runningOn.erase(worker.entry.id);
        const auto job = m_jobs.find(run.first.job);
        if (job != m_jobs.end()) {
            m_teamUse[job->second.job.team] = m_teamUse[job->second.job.team] - run.second.step.each;
        }
    }
}

void InvariantChecker::storeFaultUntil(core::TimePoint until)
{
    m_storeSettledAt = std::max(m_storeSettledAt, until + m_tolerances.storeSettleTime);
}

void InvariantChecker::draining(const std::string &worker, core::TimePoint now)
{
    m_drainingSince.try_emplace(worker, now);
}

void InvariantChecker::zoneClosed(const std::string &zone, core::TimePoint now)
{
    m_zoneClosedSince.try_emplace(zone, now);
}

void InvariantChecker::zoneOpened(const std::string &zone)
{
    m_zoneClosedSince.erase(zone);
}

void InvariantChecker::commandReceived(const std::string &instance, std::int64_t token, core::TimePoint now)
{
    const auto last = m_lastCommand.find(instance);
    if (last != m_lastCommand.end() && last->second.first != token && now - last->second.second < m_tolerances.minOwnerGap) {
        addViolation("owners_cross", absl::StrCat(instance, " tokens=", last->second.first, ",", token), now);
    }
    m_lastCommand[instance] = {token, now};
}

void InvariantChecker::maintenanceStarted(const std::string &instance, std::size_t down, std::int64_t maxInstancesDown, core::TimePoint now)
{
    if (static_cast<std::int64_t>(down) > maxInstancesDown) {
        addViolation("too_many_down", absl::StrCat(instance, " down=", down, " allowed=", maxInstancesDown), now);
    }
}

void InvariantChecker::maintenanceBegun(std::int64_t wave, const std::string &instance, core::TimePoint now)
{
    m_waves[wave].begin(instance, now);
}

void InvariantChecker::workerUnused(const std::string &worker, core::TimePoint since, core::TimePoint now)
{
    if (now - since > m_tolerances.unusedWorkerWithin && m_unusedWorkers.insert(worker).second) {
        addViolation("worker_unused", absl::StrCat(worker, " for_s=", std::chrono::duration<double>{now - since}.count()), now);
    }
}

void InvariantChecker::waveRequested(const jobs::MaintenanceWave &wave, core::TimePoint now)
{
    m_waves[wave.number].request(wave, now);
}

void InvariantChecker::waveReported(std::int64_t number, bool completed, core::TimePoint now)
{
    WaveView &wave = m_waves[number];
    wave.report(completed, now);
    const std::vector<std::string> missing = wave.missing(now);
    if (completed && !missing.empty()) {
        addViolation("wave_completed_early", absl::StrCat("wave=", number, " missing=", missing.size(), " first=", missing.front()), now);
    }
}

const std::map<std::int64_t, WaveView> &InvariantChecker::waves() const noexcept
{
    return m_waves;
}

} // namespace oleanderwick::emulator

#include "judge.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace oleanderwick::emulator
{

Judge::Judge(const Bounds &bounds)
    : m_bounds{bounds}
{
}

void Judge::broken(const std::string &promise, std::string detail, core::TimePoint now)
{
    m_violations.push_back(Violation{promise, std::move(detail), now});
}

void Judge::limitTeams(std::map<std::string, jobs::Resources> limits)
{
    m_teamLimits = std::move(limits);
}

const std::vector<Violation> &Judge::violations() const noexcept
{
    return m_violations;
}

std::uint64_t Judge::starts() const noexcept
{
    return m_starts;
}

void Judge::submitted(const jobs::Job &job)
{
    m_jobs[job.id].job = job;
}

void Judge::accepted(const std::string &job, core::TimePoint now)
{
    JobView &view = m_jobs.at(job);
    if (!view.accepted) {
        view.accepted = true;
        view.acceptedAt = now;
    }
}

void Judge::refusedForGood(const std::string &job)
{
    m_jobs.at(job).refused = true;
}

void Judge::cancelAsked(const std::string &job)
{
    m_jobs.at(job).cancelAsked = true;
}

void Judge::cancelled(const std::string &job, core::TimePoint now)
{
    JobView &view = m_jobs.at(job);
    view.cancelled = true;
    view.cancelledAt = now;
}

bool Judge::allDone(const JobView &view) const
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

void Judge::shown(const std::string &job, jobs::JobState state, core::TimePoint now)
{
    JobView &view = m_jobs.at(job);
    view.shown = state;
    if (state == jobs::JobState::Completed && !allDone(view)) {
        broken("completed_early", job, now);
    }
    if (state == jobs::JobState::Failed && !view.failedForCause) {
        broken("failed_without_cause", job, now);
    }
    if (state == jobs::JobState::Cancelled && !view.cancelAsked) {
        broken("cancelled_without_cause", job, now);
    }
}

void Judge::shownMissing(const std::string &job, core::TimePoint now)
{
    const JobView &view = m_jobs.at(job);
    if (view.accepted && !view.cancelAsked && now - view.acceptedAt > m_bounds.visibleWithin) {
        broken("job_lost", job, now);
    }
}

void Judge::endOfDay(core::TimePoint now)
{
    for (const std::pair<const std::string, JobView> &item : m_jobs) {
        const JobView &view = item.second;
        const bool continuous = std::any_of(view.job.steps.begin(), view.job.steps.end(), [](const jobs::Step &step) {
            return step.continuous;
        });
        if (view.accepted && !view.cancelAsked && !continuous && !jobs::isFinal(view.shown)) {
            broken("job_unfinished", item.first, now);
        }
    }
}

void Judge::checkJob(const jobs::StartCommand &order, core::TimePoint now)
{
    const auto found = m_jobs.find(order.task.job);
    if (found == m_jobs.end() || found->second.job.spec != order.spec) {
        broken("start_unasked", toText(order.task), now);
        return;
    }
    if (found->second.refused) {
        broken("refused_job_started", toText(order.task), now);
    }
    if (!order.checkpoint.empty() && workIn(order.task, order.checkpoint) < 0) {
        broken("foreign_checkpoint", toText(order.task), now);
    }
    if (found->second.cancelled && now - found->second.cancelledAt > m_bounds.cancelWithin) {
        broken("start_after_cancel", toText(order.task), now);
    }
}

void Judge::checkTask(const WorkerModel &worker, const EmulatedRun &run, core::TimePoint now)
{
    TaskView &task = m_tasks[run.task];
    if (!run.step.speculative && (!task.runningOn.empty() || task.doneAcknowledged)) {
        const std::string other = task.runningOn.empty() ? std::string{"done"} : *task.runningOn.begin();
        broken("task_twice", absl::StrCat(toText(run.task), " run=", run.run, " on=", worker.entry.id, " other=", other), now);
    }
    const JobView &view = m_jobs.at(run.task.job);
    if (!run.step.continuous && static_cast<std::int64_t>(task.acknowledgedFailures.size()) >= view.job.maxAttempts) {
        broken("attempts_exceeded", toText(run.task), now);
    }
}

void Judge::checkOrder(const EmulatedRun &run, core::TimePoint now)
{
    for (const std::size_t before : run.step.after) {
        const std::int64_t count = m_jobs.at(run.task.job).job.steps.at(before).count;
        for (std::int64_t index = 0; index < count; ++index) {
            const auto earlier = m_tasks.find({run.task.job, run.task.occurrence, before, static_cast<std::size_t>(index)});
            if (earlier == m_tasks.end() || !earlier->second.done) {
                broken("step_too_early", toText(run.task), now);
                return;
            }
        }
    }
}

void Judge::checkPlace(const WorkerModel &worker, const EmulatedRun &run, core::TimePoint now)
{
    const JobView &view = m_jobs.at(run.task.job);
    if (worker.entry.pool != view.job.pool) {
        broken("wrong_pool", absl::StrCat(toText(run.task), " on=", worker.entry.id), now);
    }
    const std::int64_t beside = std::count_if(worker.runs().begin(), worker.runs().end(), [&run](const std::pair<const jobs::TaskName, EmulatedRun> &other) {
        return other.first.job == run.task.job && other.first.occurrence == run.task.occurrence && other.first.step == run.task.step;
    });
    if (run.step.maxPerWorker > 0 && beside > run.step.maxPerWorker) {
        broken("too_many_on_worker", toText(run.task), now);
    }
    const jobs::Resources used = worker.used();
    if (used.cpu > worker.entry.capacity.cpu || used.memory > worker.entry.capacity.memory) {
        broken("capacity_exceeded", absl::StrCat(toText(run.task), " on=", worker.entry.id), now);
    }
    const auto drains = m_drainingSince.find(worker.entry.id);
    if (drains != m_drainingSince.end() && now - drains->second > m_bounds.drainWithin && now > m_storeCalmFrom) {
        broken("start_on_draining", absl::StrCat(toText(run.task), " on=", worker.entry.id), now);
    }
}

void Judge::checkTeam(const EmulatedRun &run, core::TimePoint now)
{
    const std::string &team = m_jobs.at(run.task.job).job.team;
    jobs::Resources &use = m_teamUse[team];
    use = use + run.step.each;
    const auto limit = m_teamLimits.find(team);
    if (limit == m_teamLimits.end() || limit->second.cpu == 0) {
        return;
    }
    const double most = static_cast<double>(limit->second.cpu) * (1.0 + m_bounds.overLimit) + static_cast<double>(run.step.each.cpu);
    if (static_cast<double>(use.cpu) > most) {
        broken("team_over_limit", absl::StrCat(team, " cpu=", use.cpu, " limit=", limit->second.cpu), now);
    }
}

void Judge::started(const WorkerModel &worker, const EmulatedRun &run, const jobs::StartCommand &order, core::TimePoint now)
{
    ++m_starts;
    checkJob(order, now);
    if (m_jobs.contains(run.task.job)) {
        checkTask(worker, run, now);
        checkOrder(run, now);
        checkPlace(worker, run, now);
        checkTeam(run, now);
    }
    m_tasks[run.task].runningOn.insert(worker.entry.id);
}

void Judge::ended(const WorkerModel &worker, const EmulatedRun &run, jobs::RunEndKind kind)
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
        job->second.failedForCause = job->second.failedForCause || static_cast<std::int64_t>(task.failedRuns.size()) >= job->second.job.maxAttempts;
    }
}

void Judge::acknowledged(const jobs::ReportedEnd &end)
{
    TaskView &task = m_tasks[end.task];
    task.doneAcknowledged = task.doneAcknowledged || end.kind == jobs::RunEndKind::Done;
    if (end.kind == jobs::RunEndKind::Failed) {
        task.acknowledgedFailures.insert(end.run);
    }
}

void Judge::lostWithWorker(const WorkerModel &worker)
{
    for (const std::pair<const jobs::TaskName, EmulatedRun> &run : worker.runs()) {
        m_tasks[run.first].runningOn.erase(worker.entry.id);
        const auto job = m_jobs.find(run.first.job);
        if (job != m_jobs.end()) {
            m_teamUse[job->second.job.team] = m_teamUse[job->second.job.team] - run.second.step.each;
        }
    }
}

void Judge::storeTroubled(core::TimePoint until)
{
    m_storeCalmFrom = std::max(m_storeCalmFrom, until + m_bounds.storeSettles);
}

void Judge::draining(const std::string &worker, core::TimePoint now)
{
    m_drainingSince.try_emplace(worker, now);
}

void Judge::ordered(const std::string &instance, std::int64_t token, core::TimePoint now)
{
    const auto last = m_lastOrder.find(instance);
    if (last != m_lastOrder.end() && last->second.first != token && now - last->second.second < m_bounds.ownersApart) {
        broken("owners_cross", absl::StrCat(instance, " tokens=", last->second.first, ",", token), now);
    }
    m_lastOrder[instance] = {token, now};
}

void Judge::maintained(const std::string &instance, std::size_t down, std::int64_t mostAtOnce, core::TimePoint now)
{
    if (static_cast<std::int64_t>(down) > mostAtOnce) {
        broken("too_many_down", absl::StrCat(instance, " down=", down, " allowed=", mostAtOnce), now);
    }
}

} // namespace oleanderwick::emulator

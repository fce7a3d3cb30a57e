#include "stray_runs.hpp"

#include <set>
#include <string>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

StrayRuns::StrayRuns(StateTable &state, TaskStopper &stopper, SchedulerOutput &output)
    : m_state{state}
    , m_stopper{stopper}
    , m_output{output}
{
}

void StrayRuns::release(const TaskReference &reference, const TaskName &name, std::string_view reason, core::TimePoint now)
{
    const std::string worker = reference.task->worker;
    const std::int64_t run = reference.task->run;
    const std::string &team = reference.entry->job.team;
    m_state.release(*reference.entry, name, *reference.task, now);
    m_output.logDecision("run_released",
                         toText(name),
                         worker,
                         absl::StrCat("run=", run, " reason=", std::string{reason}, " team=", team, " team_cpu=", m_state.teamUse(team).cpu));
}

void StrayRuns::stop(Worker &worker, const RunName &name, core::TimePoint now)
{
    const auto run = worker.strayRuns.find(name);
    if (run != worker.strayRuns.end()) {
        run->second.stopSentAt = now;
        m_stopper.stopRun(worker, name.task, name.run);
    }
}

void StrayRuns::handleStartReply(Worker &worker, const RunName &name, StartOutcome outcome, core::TimePoint now)
{
    const auto run = worker.strayRuns.find(name);
    if (run == worker.strayRuns.end() || !run->second.mayStillStart || outcome == StartOutcome::Unknown) {
        return;
    }
    if (outcome == StartOutcome::Started) {
        run->second.mayStillStart = false;
        run->second.since = now;
    } else {
        settle(worker, name, "start_refused");
    }
}

void StrayRuns::handleStopAcknowledged(Worker &worker, const RunName &name, core::TimePoint now)
{
    const auto run = worker.strayRuns.find(name);
    if (run != worker.strayRuns.end() && run->second.mayStillStart) {
        run->second.mayStillStart = false;
        run->second.since = now;
        worker.nextPollAt = now;
    }
}

void StrayRuns::remove(Worker &worker, const RunName &name)
{
    m_state.removeStrayRun(worker, name);
}

void StrayRuns::handleReport(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now)
{
    const bool hadStrayRuns = worker.hasStrayRuns();
    addReported(worker, report);
    handleMissing(worker, report, sentAt, now);
    if (worker.hasStrayRuns() && !hadStrayRuns) {
        m_output.logDecision("stray_runs",
                             "",
                             worker.entry.id,
                             absl::StrCat("unknown=", worker.hasUnknownRuns ? 1 : 0, " cpu=", worker.strayUse.cpu, " running=", report.running.size()));
    }
}

void StrayRuns::addReported(Worker &worker, const WorkerReport &report)
{
    worker.hasUnknownRuns = false;
    for (const ReportedRun &reported : report.running) {
        const auto current = worker.runs.find(reported.task);
        if (current != worker.runs.end() && current->second == reported.run) {
            continue;
        }
        const RunName name{reported.task, reported.run};
        const auto known = worker.strayRuns.find(name);
        if (known != worker.strayRuns.end()) {
            known->second.mayStillStart = false;
            known->second.since = {};
            continue;
        }
        std::optional<StrayRun> run = describe(reported.task);
        if (run.has_value()) {
            m_state.addStrayRun(worker, name, *std::move(run));
        } else {
            worker.hasUnknownRuns = true;
        }
    }
}

std::optional<StrayRun> StrayRuns::describe(const TaskName &name) const
{
    const JobEntry *entry = std::as_const(m_state).findJob(name.job);
    if (entry != nullptr && name.step < entry->job.steps.size()) {
        const Step &step = entry->job.steps[name.step];
        return StrayRun{entry->job.pool, entry->job.team, step.each, StateTable::demandOf(step), {}, false, {}};
    }
    const auto ended = m_state.keptEndedJobs().find(name.job);
    if (ended != m_state.keptEndedJobs().end() && name.step < ended->second.steps.size()) {
        const Step &step = ended->second.steps[name.step];
        return StrayRun{ended->second.pool, ended->second.team, step.each, StateTable::demandOf(step), {}, false, {}};
    }
    return std::nullopt;
}

void StrayRuns::handleMissing(Worker &worker, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now)
{
    if (worker.strayRuns.empty()) {
        return;
    }
    std::set<RunName> running;
    for (const ReportedRun &reported : report.running) {
        running.insert(RunName{reported.task, reported.run});
    }
    std::vector<RunName> unresolved;
    std::vector<RunName> ended;
    for (const std::pair<const RunName, StrayRun> &item : worker.strayRuns) {
        const StrayRun &run = item.second;
        if (running.contains(item.first)) {
            continue;
        }
        const bool isStopDue = run.stopSentAt == core::TimePoint{} || TaskStopper::isRetryDue(run.stopSentAt, now);
        if (run.mayStillStart && isStopDue) {
            unresolved.push_back(item.first);
        } else if (!run.mayStillStart && run.since < sentAt) {
            ended.push_back(item.first);
        }
    }
    for (const RunName &name : unresolved) {
        stop(worker, name, now);
    }
    for (const RunName &name : ended) {
        settle(worker, name, "not_reported");
    }
}

void StrayRuns::clear(Worker &worker, std::string_view reason)
{
    while (!worker.strayRuns.empty()) {
        settle(worker, RunName{worker.strayRuns.begin()->first}, reason);
    }
}

void StrayRuns::settle(Worker &worker, const RunName &name, std::string_view reason)
{
    m_output.logDecision("stray_run_over", toText(name.task), worker.entry.id, absl::StrCat("run=", name.run, " reason=", std::string{reason}));
    m_state.removeStrayRun(worker, name);
}

} // namespace oleanderwick::jobs

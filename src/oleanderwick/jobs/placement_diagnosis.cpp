#include "placement_diagnosis.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

bool isWaiting(const Task &task)
{
    return task.phase == TaskPhase::Waiting && !task.record.done;
}

/** First task that may start; otherwise the first that waits, or 0 if none does. */
std::size_t taskToExamine(const Candidate &candidate, core::TimePoint now)
{
    const TaskList &tasks = candidate.tasks();
    auto found = std::find_if(tasks.begin(), tasks.end(), [&candidate, now](const Task &task) {
        return candidate.mayStart(task, now);
    });
    if (found == tasks.end()) {
        found = std::find_if(tasks.begin(), tasks.end(), isWaiting);
    }
    return found == tasks.end() ? 0 : static_cast<std::size_t>(found - tasks.begin());
}

} // namespace internal

PlacementDiagnosis::PlacementDiagnosis(const Collaborators &collaborators)
    : m_with{collaborators}
{
}

bool PlacementDiagnosis::stands(const JobEntry &entry, const Occurrence &occurrence, std::size_t step)
{
    const StepState &state = occurrence.steps[step];
    const bool runs = std::any_of(state.tasks.begin(), state.tasks.end(), [](const Task &task) {
        return task.phase == TaskPhase::Running;
    });
    return state.remaining > 0 && !runs && JobEstimates::isStepReady(entry.job, occurrence, step);
}

std::optional<WaitFinding> PlacementDiagnosis::examine(const StepName &name, core::TimePoint now, std::int64_t wallMs) const
{
    const TaskReference reference = m_with.state.findTask(TaskName{name.job, name.occurrence, name.step, 0});
    if (reference.step == nullptr || isFinal(reference.entry->state) || !reference.entry->occurrences.contains(name.occurrence)) {
        return std::nullopt;
    }
    JobEntry &entry = *reference.entry;
    Occurrence &occurrence = entry.occurrences.at(name.occurrence);
    if (!stands(entry, occurrence, name.step)) {
        return std::nullopt;
    }
    const QueuePolicy *queue = m_with.state.findQueue(entry.job.queue);
    Candidate candidate{&entry, name.occurrence, name.step, &occurrence.steps[name.step]};
    candidate.needsTicket = queue != nullptr && queue->needsTicket;
    candidate.slackMs = m_with.estimates.slackMs(entry, occurrence, wallMs);
    WaitFinding finding;
    const TaskList &tasks = candidate.tasks();
    if (candidate.state->unopenedTasks(*reference.step) > 0 && std::none_of(tasks.begin(), tasks.end(), internal::isWaiting)) {
        finding.reason = WaitReason::Unopened;
        return finding;
    }
    finding.index = internal::taskToExamine(candidate, now);
    const std::optional<WaitReason> reason = reasonOfTask(candidate, finding.index, now);
    if (reason.has_value()) {
        finding.reason = *reason;
    } else {
        examineWorkers(candidate, finding, now);
    }
    return finding;
}

std::optional<WaitReason> PlacementDiagnosis::reasonOfTask(const Candidate &candidate, std::size_t index, core::TimePoint now) const
{
    const TaskList &tasks = candidate.tasks();
    const Task &task = tasks[index];
    const Step &step = candidate.definition();
    if (!internal::isWaiting(task)) {
        return WaitReason::Command;
    }
    if (m_with.finder.awaitsFormerRuns(*candidate.entry, now)) {
        return WaitReason::FormerRuns;
    }
    const bool gangIsActive = step.gang && std::any_of(tasks.begin(), tasks.end(), [](const Task &member) {
                                  return member.isActive();
                              });
    if (gangIsActive) {
        return WaitReason::Command;
    }
    if (!task.mayStart(now)) {
        return WaitReason::BackOff;
    }
    if (candidate.awaitsVerdict(task, now)) {
        return WaitReason::Verdict;
    }
    if (task.unsound && !step.gang && !step.continuous && WorkerHealth::runsUnsound(*candidate.entry)) {
        return WaitReason::UnsoundTurn;
    }
    const std::int64_t count = step.gang ? static_cast<std::int64_t>(tasks.size()) : 1;
    const Resources demand{step.each.cpu * count, step.each.memory * count, step.each.gpu * count};
    return m_with.state.isWithinTeamLimit(candidate.entry->job.team, demand) ? std::nullopt : std::optional{WaitReason::TeamLimit};
}

void PlacementDiagnosis::examineWorkers(const Candidate &candidate, WaitFinding &finding, core::TimePoint now) const
{
    const bool isSuspect = candidate.tasks()[finding.index].isSuspect();
    finding.reason = WaitReason::NoWorker;
    for (const std::pair<const std::string, Worker> &item : std::as_const(m_with.state).workers()) {
        const Worker &worker = item.second;
        if (worker.entry.pool != candidate.entry->job.pool) {
            continue;
        }
        std::optional<WaitReason> obstacle = WorkerIndex::exclusionOf(m_with.state, worker);
        if (!obstacle.has_value()) {
            obstacle = m_with.chooser.obstacleOf(worker, candidate, isSuspect, now);
        }
        const WaitReason reason = obstacle.value_or(WaitReason::Order);
        ++finding.workers[static_cast<std::size_t>(reason)];
        finding.reason = std::max(finding.reason, reason);
    }
    if (finding.reason == WaitReason::Order) {
        finding.reason = reasonDespiteRoom(candidate, finding.index);
    }
}

WaitReason PlacementDiagnosis::reasonDespiteRoom(const Candidate &candidate, std::size_t index) const
{
    const Task &task = candidate.tasks()[index];
    if (candidate.definition().gang) {
        return WaitReason::GangRoom;
    }
    if (task.isSuspect()) {
        return WaitReason::Isolation;
    }
    if (!candidate.definition().continuous && candidate.avoidsWorkers(task)) {
        return WaitReason::Retry;
    }
    return m_with.racks.isWaiting(candidate.taskName(index)) ? WaitReason::RackWait : WaitReason::Order;
}

std::string PlacementDiagnosis::describeJob(const JobEntry &entry, core::TimePoint now, std::int64_t wallMs) const
{
    bool isOpen = false;
    for (const std::pair<const std::int64_t, Occurrence> &item : entry.occurrences) {
        isOpen = isOpen || item.second.remainingSteps > 0;
        for (std::size_t step = 0; step < item.second.steps.size(); ++step) {
            if (!stands(entry, item.second, step)) {
                continue;
            }
            const std::optional<WaitFinding> finding = examine(StepName{entry.job.id, item.first, step}, now, wallMs);
            if (finding.has_value()) {
                return describe(*finding, entry);
            }
        }
    }
    return absl::StrCat("reason=", isOpen ? std::string{"running"} : std::string{toText(WaitReason::NotDue)});
}

std::string PlacementDiagnosis::describe(const WaitFinding &finding, const JobEntry &entry) const
{
    std::string text = absl::StrCat("reason=", std::string{toText(finding.reason)});
    const char *separator = " workers=";
    for (std::size_t index = 0; index < finding.workers.size(); ++index) {
        if (finding.workers[index] > 0) {
            absl::StrAppend(&text, separator, std::string{toText(static_cast<WaitReason>(index))}, ":", finding.workers[index]);
            separator = ",";
        }
    }
    if (finding.reason == WaitReason::TeamLimit) {
        absl::StrAppend(
            &text, " team=", entry.job.team, " team_cpu=", m_with.state.teamUse(entry.job.team).cpu, " unsettled_cpu=", unsettledCpu(entry.job.team));
    }
    return text;
}

std::int64_t PlacementDiagnosis::unsettledCpu(const std::string &team) const
{
    std::int64_t cpu = 0;
    const StateTable &state = m_with.state;
    for (const std::pair<const std::string, Worker> &item : state.workers()) {
        for (const std::pair<const TaskName, std::int64_t> &run : item.second.runs) {
            const JobEntry *entry = state.findJob(run.first.job);
            if (entry != nullptr && entry->job.team == team && StateTable::taskOf(*entry, run.first).phase != TaskPhase::Running) {
                cpu += entry->job.steps[run.first.step].each.cpu;
            }
        }
        for (const std::pair<const RunName, StrayRun> &run : item.second.strayRuns) {
            cpu += run.second.team == team ? run.second.each.cpu : 0;
        }
    }
    return cpu;
}

} // namespace oleanderwick::jobs

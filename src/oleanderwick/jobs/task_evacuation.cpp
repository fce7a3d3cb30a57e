#include "task_evacuation.hpp"

#include <absl/strings/str_cat.h>

#include "worker_polls.hpp"

namespace oleanderwick::jobs
{

TaskEvacuation::TaskEvacuation(StateTable &state, TaskStopper &stopper, SchedulerOutput &output)
    : m_state{state}
    , m_stopper{stopper}
    , m_output{output}
{
}

std::int64_t TaskEvacuation::countOthersUnavailable(const JobEntry &entry, const TaskName &name, core::TimePoint now) const
{
    // A worker that has not replied for longer than a poll takes may have been lost together with its tasks.
    constexpr core::Duration maxReplyAge = std::chrono::milliseconds{internal::maxPollWaitMs + 700};
    const StepState &state = entry.occurrences.at(name.occurrence).steps[name.step];
    const TaskList &tasks = state.tasks;
    std::int64_t unavailable = state.unopenedTasks(entry.job.steps[name.step]);
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const Worker *worker = m_state.findWorker(tasks[index].worker);
        const bool restarted = worker != nullptr && worker->restartedAt != core::TimePoint{};
        const bool reachable = worker != nullptr && !restarted && !worker->unresponsive && now - worker->lastReplyAt <= maxReplyAge;
        unavailable += index != name.index && !(tasks[index].isAvailable() && reachable) ? 1 : 0;
    }
    return unavailable;
}

void TaskEvacuation::evacuate(const std::string &id, core::TimePoint now)
{
    const Worker *worker = m_state.findWorker(id);
    if (worker == nullptr) {
        return;
    }
    for (const std::pair<const TaskName, std::int64_t> &run : worker->runs) {
        const TaskReference reference = m_state.findTask(run.first);
        if (reference.task == nullptr || !reference.step->continuous || reference.task->phase != TaskPhase::Running) {
            continue;
        }
        const Step &step = *reference.step;
        const bool budgeted = step.maxUnavailable > 0 && !worker->entry.draining;
        const std::int64_t unavailable = budgeted ? countOthersUnavailable(*reference.entry, run.first, now) : 0;
        if (budgeted && unavailable >= step.maxUnavailable) {
            continue;
        }
        evacuateTask(id, run.first, unavailable, now);
    }
}

void TaskEvacuation::evacuateTask(const std::string &worker, const TaskName &name, std::int64_t unavailable, core::TimePoint now)
{
    const TaskReference reference = m_state.findTask(name);
    const std::int64_t allowed = reference.step->maxUnavailable;
    m_output.logDecision("run_evacuated", toText(name), worker, absl::StrCat("run=", reference.task->run, " away=", unavailable, " allowed=", allowed));
    m_stopper.stop(name, *reference.task, now);
}

} // namespace oleanderwick::jobs

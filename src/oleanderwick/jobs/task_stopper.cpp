#include "task_stopper.hpp"

namespace oleanderwick::jobs
{

namespace internal
{

constexpr core::Duration stopRetryDelay = std::chrono::milliseconds{700};

} // namespace internal

TaskStopper::TaskStopper(const StateTable &state, SchedulerOutput &output)
    : m_state{state}
    , m_output{output}
{
}

void TaskStopper::stop(const TaskName &name, Task &task, core::TimePoint now)
{
    const Worker *worker = m_state.findWorker(task.worker);
    if (worker == nullptr) {
        return;
    }
    if (task.phase != TaskPhase::Stopping) {
        task.phase = TaskPhase::Stopping;
        task.since = now;
        task.stopAcknowledged = false;
    }
    task.stopSentAt = now;
    stopRun(*worker, name, task.run);
}

void TaskStopper::stopRun(const Worker &worker, const TaskName &name, std::int64_t run)
{
    m_output.commands().stops.push_back(StopCommand{worker.entry.id, worker.entry.address, name, run});
}

bool TaskStopper::isRetryDue(core::TimePoint sentAt, core::TimePoint now)
{
    return now - sentAt >= internal::stopRetryDelay;
}

} // namespace oleanderwick::jobs

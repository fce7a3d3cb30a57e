#include "worker_health.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Consecutive failures after which a worker is quarantined and then probed with one task at a time. */
constexpr std::int64_t failuresForQuarantine = 3;
constexpr core::Duration quarantineTime = std::chrono::seconds{3};

} // namespace internal

WorkerHealth::WorkerHealth(const StateTable &state, SchedulerOutput &output)
    : m_state{state}
    , m_output{output}
{
}

void WorkerHealth::recordEnd(Worker &worker, RunEndKind kind, core::TimePoint now)
{
    if (kind == RunEndKind::Done) {
        worker.consecutiveFailures = 0;
    } else if (kind == RunEndKind::Failed) {
        ++worker.consecutiveFailures;
        worker.lastFailureAt = now;
        if (worker.consecutiveFailures >= internal::failuresForQuarantine) {
            worker.quarantinedUntil = now + internal::quarantineTime;
            m_output.logDecision("worker_quarantined", "", worker.entry.id, absl::StrCat("failures=", worker.consecutiveFailures));
        }
    }
}

void WorkerHealth::recordAvailable(Worker &worker, const Task &task)
{
    if (task.startedAt > worker.lastFailureAt) {
        worker.consecutiveFailures = 0;
    }
}

bool WorkerHealth::mayStart(const Worker &worker, core::TimePoint now) const
{
    return worker.quarantinedUntil <= now && (worker.consecutiveFailures < internal::failuresForQuarantine || !hasProbe(worker));
}

bool WorkerHealth::hasProbe(const Worker &worker) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [this, &worker](const std::pair<const TaskName, std::int64_t> &run) {
        const JobEntry *entry = m_state.findJob(run.first.job);
        return entry != nullptr && StateTable::taskOf(*entry, run.first).startedAt > worker.lastFailureAt;
    });
}

} // namespace oleanderwick::jobs

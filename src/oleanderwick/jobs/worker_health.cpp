#include "worker_health.hpp"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Consecutive failures after which a worker is quarantined and then probed with one task at a time. */
constexpr std::int64_t failuresForQuarantine = 3;
constexpr core::Duration quarantineTime = std::chrono::seconds{3};
/** Number of sound workers on which a task fails before the failures are attributed to it; one failure may be the worker's. */
constexpr std::int64_t soundWorkersForBlame = 2;
/** A worker that fails this many other jobs since its last success is no evidence against a job; one of them may itself be at fault. */
constexpr std::size_t failingJobsOfUnsoundWorker = 2;
/** Jobs kept as proof of a worker: with two, there is a proof by another job for each job. */
constexpr std::size_t jobsForProof = 2;

} // namespace internal

WorkerHealth::WorkerHealth(StateTable &state, SchedulerOutput &output, bool attributes)
    : m_state{state}
    , m_output{output}
    , m_attributes{attributes}
{
}

void WorkerHealth::recordEnd(Worker &worker, const TaskName &name, const TaskReference &reference, RunEndKind kind, core::TimePoint now)
{
    if (kind == RunEndKind::Done && m_attributes) {
        attributeSuccess(worker, name.job, now);
        confirmFailures(reference, now);
    } else if (kind == RunEndKind::Done) {
        worker.consecutiveFailures = 0;
    } else if (kind == RunEndKind::Failed && m_attributes) {
        attributeFailure(worker, name, reference, now);
    } else if (kind == RunEndKind::Failed) {
        ++worker.consecutiveFailures;
        countFailure(worker, now);
    }
}

void WorkerHealth::recordStall(Worker &worker, const TaskName &name, core::TimePoint now)
{
    if (m_attributes) {
        worker.failedTasks.insert(name);
        worker.consecutiveFailures = attributedFailures(worker);
    } else {
        ++worker.consecutiveFailures;
    }
    countFailure(worker, now);
}

void WorkerHealth::countFailure(Worker &worker, core::TimePoint now)
{
    worker.lastFailureAt = now;
    if (worker.consecutiveFailures >= internal::failuresForQuarantine) {
        quarantine(worker, now);
    }
}

void WorkerHealth::quarantine(Worker &worker, core::TimePoint now)
{
    worker.quarantinedUntil = now + internal::quarantineTime;
    m_output.logDecision("worker_quarantined", "", worker.entry.id, absl::StrCat("failures=", worker.consecutiveFailures));
}

void WorkerHealth::attributeSuccess(Worker &worker, const std::string &job, core::TimePoint now)
{
    std::erase(worker.provenBy, job);
    worker.provenBy.insert(worker.provenBy.begin(), job);
    worker.provenBy.resize(std::min(worker.provenBy.size(), internal::jobsForProof));
    worker.consecutiveFailures = 0;
    for (const TaskName &failed : std::exchange(worker.failedTasks, {})) {
        const TaskReference reference = m_state.findTask(failed);
        if (reference.task != nullptr) {
            examineTask(failed, reference, now);
        }
    }
}

void WorkerHealth::attributeFailure(Worker &worker, const TaskName &name, const TaskReference &reference, core::TimePoint now)
{
    Task &task = *reference.task;
    task.failedOn.insert(worker.entry.id);
    task.failedAt = now;
    examineTask(name, reference, now);
    if (!task.unsound) {
        worker.failedTasks.insert(name);
        worker.consecutiveFailures = attributedFailures(worker);
        countFailure(worker, now);
    }
}

void WorkerHealth::confirmFailures(const TaskReference &reference, core::TimePoint now)
{
    Task &task = *reference.task;
    reference.entry->unsoundTasks -= task.unsound ? 1 : 0;
    task.unsound = false;
    for (const std::string &id : std::exchange(task.failedOn, {})) {
        Worker *worker = m_state.findWorker(id);
        if (worker != nullptr) {
            recount(*worker, now);
        }
    }
}

void WorkerHealth::examineTask(const TaskName &name, const TaskReference &reference, core::TimePoint now)
{
    Task &task = *reference.task;
    const auto isSoundWorker = [this, &name](const std::string &id) {
        const Worker *worker = m_state.findWorker(id);
        return worker != nullptr && isSound(*worker, name.job);
    };
    if (task.unsound || std::count_if(task.failedOn.begin(), task.failedOn.end(), isSoundWorker) < internal::soundWorkersForBlame) {
        return;
    }
    task.unsound = true;
    ++reference.entry->unsoundTasks;
    m_output.logDecision("task_unsound", toText(name), "", absl::StrCat("workers=", absl::StrJoin(task.failedOn, ",")));
    for (const std::string &id : task.failedOn) {
        Worker *worker = m_state.findWorker(id);
        if (worker != nullptr && worker->failedTasks.erase(name) > 0) {
            recount(*worker, now);
        }
    }
}

void WorkerHealth::recount(Worker &worker, core::TimePoint now)
{
    const std::int64_t before = worker.consecutiveFailures;
    worker.consecutiveFailures = attributedFailures(worker);
    const bool bad = worker.consecutiveFailures >= internal::failuresForQuarantine;
    if (bad && before < internal::failuresForQuarantine) {
        countFailure(worker, now);
    } else if (!bad && worker.quarantinedUntil == worker.lastFailureAt + internal::quarantineTime) {
        // Other reasons, such as a refused start, quarantine a worker for other times.
        worker.quarantinedUntil = now;
        m_state.requestPlacement();
    }
}

std::int64_t WorkerHealth::attributedFailures(const Worker &worker)
{
    std::int64_t count = 0;
    const std::string *job = nullptr;
    for (const TaskName &failed : worker.failedTasks) {
        const Task *task = m_state.findTask(failed).task;
        if (task != nullptr && task->record.done) {
            ++count;
        } else if (job == nullptr || *job != failed.job) {
            ++count;
            job = &failed.job;
        }
    }
    return count;
}

bool WorkerHealth::isSound(const Worker &worker, const std::string &job)
{
    const bool proven = std::any_of(worker.provenBy.begin(), worker.provenBy.end(), [&job](const std::string &other) {
        return other != job;
    });
    std::set<std::string_view> failing;
    for (const TaskName &failed : worker.failedTasks) {
        if (failed.job != job) {
            failing.insert(failed.job);
        }
    }
    return proven && failing.size() < internal::failingJobsOfUnsoundWorker;
}

bool WorkerHealth::isProven(const Worker &worker)
{
    return !worker.provenBy.empty() && worker.failedTasks.empty();
}

std::int64_t WorkerHealth::failuresOf(const Worker &worker, const std::string &job)
{
    std::int64_t count = 0;
    for (auto failed = worker.failedTasks.lower_bound(TaskName{job, 0, 0, 0}); failed != worker.failedTasks.end() && failed->job == job; ++failed) {
        ++count;
    }
    return count;
}

bool WorkerHealth::runsUnsound(const JobEntry &entry)
{
    for (const std::pair<const std::int64_t, Occurrence> &occurrence : entry.occurrences) {
        for (const StepState &step : occurrence.second.steps) {
            const bool runs = std::any_of(step.tasks.begin(), step.tasks.end(), [](const Task &task) {
                return task.unsound && task.isActive();
            });
            if (runs) {
                return true;
            }
        }
    }
    return false;
}

void WorkerHealth::recordAvailable(Worker &worker, const std::string &job, const Task &task, core::TimePoint now)
{
    if (task.startedAt <= worker.lastFailureAt) {
        return;
    }
    if (m_attributes) {
        attributeSuccess(worker, job, now);
    }
    worker.consecutiveFailures = 0;
}

bool WorkerHealth::mayStartJob(const Worker &worker, const std::string &job, core::TimePoint now) const
{
    if (failuresOf(worker, job) < internal::failuresForQuarantine) {
        return true;
    }
    return now >= worker.lastFailureAt + internal::quarantineTime && !hasProbe(worker);
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

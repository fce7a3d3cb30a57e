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
/** Time after which a continuous task that is available counts as working. */
constexpr core::Duration settledTime = std::chrono::seconds{10};
/** Limits the workers that are kept for a continuous task, which may fail any number of times. */
constexpr std::size_t maxFailedOn = 16;

bool hasSettled(const Task &task, core::TimePoint now)
{
    return task.isAvailable() && now - task.startedAt >= settledTime;
}

void addFailedOn(Task &task, const Step &step, const std::string &worker)
{
    if (step.continuous && task.failedOn.size() >= maxFailedOn) {
        task.failedOn.clear();
    }
    task.failedOn.insert(worker);
}

} // namespace internal

WorkerHealth::WorkerHealth(StateTable &state, SchedulerOutput &output, bool attributes)
    : m_state{state}
    , m_output{output}
    , m_attributes{attributes}
{
}

void WorkerHealth::recordEnd(Worker &worker, const TaskName &name, const TaskReference &reference, RunEndKind kind, core::TimePoint now)
{
    if (kind == RunEndKind::Done) {
        recordSuccess(worker, name.job, now);
        confirmFailures(reference, now);
    } else if (kind == RunEndKind::Failed) {
        recordFailure(worker, name, reference, now);
    }
}

void WorkerHealth::recordSuccess(Worker &worker, const std::string &job, core::TimePoint now)
{
    if (m_attributes) {
        attributeSuccess(worker, job, now);
    }
    worker.consecutiveFailures = 0;
    for (const StepName &failed : std::exchange(worker.failedSteps, {})) {
        const TaskReference reference = m_state.findTask(TaskName{failed.job, failed.occurrence, failed.step, 0});
        if (reference.task != nullptr) {
            reference.entry->occurrences.at(failed.occurrence).steps[failed.step].isLikelyCause = true;
        }
    }
}

void WorkerHealth::recordFailure(Worker &worker, const TaskName &name, const TaskReference &reference, core::TimePoint now)
{
    Task &task = *reference.task;
    const bool isEvidence = isEvidenceOf(worker, name, *reference.entry, now);
    ++task.failuresInRow;
    if (reference.step->continuous) {
        worker.failedSteps.insert(StepName{name.job, name.occurrence, name.step});
    }
    if (m_attributes || reference.step->continuous) {
        internal::addFailedOn(task, *reference.step, worker.entry.id);
    }
    if (m_attributes) {
        task.failedAt = now;
        examineTask(name, reference, now);
    }
    if (isEvidence && !task.unsound) {
        countFailure(worker, name, now);
    }
}

void WorkerHealth::recordStall(Worker &worker, const TaskName &name, const TaskReference &reference, core::TimePoint now)
{
    const bool isEvidence = isEvidenceOf(worker, name, *reference.entry, now);
    reference.task->hasStalled = true;
    if (isEvidence) {
        countFailure(worker, name, now);
    }
}

bool WorkerHealth::isEvidenceOf(const Worker &worker, const TaskName &name, const JobEntry &entry, core::TimePoint now)
{
    const StepState &step = entry.occurrences.at(name.occurrence).steps[name.step];
    if (step.isLikelyCause || step.tasks[name.index].isLikelyCause()) {
        return false;
    }
    if (!worker.failedSteps.contains(StepName{name.job, name.occurrence, name.step})) {
        return true;
    }
    // A continuous step has no limit of attempts, so that its failures on a worker count once unless it works elsewhere.
    return std::any_of(step.tasks.begin(), step.tasks.end(), [now](const Task &task) {
        return internal::hasSettled(task, now);
    });
}

void WorkerHealth::countFailure(Worker &worker, const TaskName &name, core::TimePoint now)
{
    if (m_attributes) {
        worker.failedTasks.insert(name);
        worker.consecutiveFailures = attributedFailures(worker);
    } else {
        ++worker.consecutiveFailures;
    }
    noteFailure(worker, now);
}

void WorkerHealth::noteFailure(Worker &worker, core::TimePoint now)
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

void WorkerHealth::confirmFailures(const TaskReference &reference, core::TimePoint now)
{
    if (!m_attributes) {
        return;
    }
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
        noteFailure(worker, now);
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

void WorkerHealth::recordAvailable(Worker &worker, const TaskName &name, const TaskReference &reference, core::TimePoint now)
{
    Task &task = *reference.task;
    if (internal::hasSettled(task, now)) {
        task.failuresInRow = 0;
        task.failedOn.clear();
        reference.entry->occurrences.at(name.occurrence).steps[name.step].isLikelyCause = false;
    }
    if (task.startedAt > worker.lastFailureAt) {
        recordSuccess(worker, name.job, now);
    }
}

bool WorkerHealth::mayStartJob(const Worker &worker, const std::string &job, core::TimePoint now) const
{
    if (failuresOf(worker, job) < internal::failuresForQuarantine) {
        return true;
    }
    return now >= worker.lastFailureAt + internal::quarantineTime && !hasProbe(worker, now);
}

bool WorkerHealth::mayStart(const Worker &worker, core::TimePoint now) const
{
    return worker.quarantinedUntil <= now && (worker.consecutiveFailures < internal::failuresForQuarantine || !hasProbe(worker, now));
}

bool WorkerHealth::hasProbe(const Worker &worker, core::TimePoint now) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [this, &worker, now](const std::pair<const TaskName, std::int64_t> &run) {
        const JobEntry *entry = m_state.findJob(run.first.job);
        return entry != nullptr && StateTable::taskOf(*entry, run.first).startedAt > worker.lastFailureAt && isEvidenceOf(worker, run.first, *entry, now);
    });
}

} // namespace oleanderwick::jobs

#include "job_progress.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include <absl/strings/str_cat.h>

#include "job_estimates.hpp"

namespace oleanderwick::jobs
{

JobProgress::JobProgress(const Collaborators &collaborators)
    : m_with{collaborators}
{
}

void JobProgress::add(Job job, const std::optional<JobRecord> &record, bool predatesTerm, core::TimePoint now)
{
    const bool isEnded = record.has_value() && isFinal(record->state);
    if (isEnded && predatesTerm) {
        m_with.state.keepEndedJob(job, record->state);
    }
    if (isEnded || m_with.state.findJob(job.id) != nullptr) {
        m_earlyCancels.erase(job.id);
        return;
    }
    JobEntry &entry = m_with.state.jobs()[job.id];
    entry.job = std::move(job);
    m_with.output.logDecision("job_taken_in",
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
    entry.criticalPathMs = JobEstimates::criticalPathMs(entry.job, nullptr);
    entry.allSpeculative = std::all_of(entry.job.steps.begin(), entry.job.steps.end(), [](const Step &step) {
        return step.speculative;
    });
    m_with.classifier.add(entry, now);
    if (record.has_value()) {
        entry.state = record->state;
        entry.storedState = record->state;
        entry.nextOccurrence = record->nextOccurrence;
        entry.yields = record->yields;
        m_restored.insert(entry.job.id);
    } else if (!predatesTerm && !entry.beyondRate) {
        m_with.loads.recordArrival(entry.job, now);
    }
    m_with.opener.add(entry, record.has_value() ? &*record : nullptr);
    const auto cancelled = m_earlyCancels.find(entry.job.id);
    if (cancelled != m_earlyCancels.end()) {
        end(entry, JobState::Cancelled, cancelled->second, now);
        m_earlyCancels.erase(cancelled);
    }
    m_with.state.requestPlacement();
}

void JobProgress::cancel(const std::string &id, std::int64_t wallMs, core::TimePoint now)
{
    JobEntry *entry = m_with.state.findJob(id);
    if (entry == nullptr) {
        // When the store is listed, a cancellation may come before its job.
        m_earlyCancels[id] = wallMs;
        return;
    }
    if (!isFinal(entry->state)) {
        end(*entry, JobState::Cancelled, wallMs, now);
    }
}

void JobProgress::advance(core::TimePoint now, std::int64_t wallMs)
{
    completeRestored(now, wallMs);
    m_with.opener.advance(now, wallMs);
    removeEnded();
}

void JobProgress::completeRestored(core::TimePoint now, std::int64_t wallMs)
{
    for (const std::string &id : m_restored) {
        JobEntry *entry = m_with.state.findJob(id);
        if (entry != nullptr && !isFinal(entry->state)) {
            completeIfDone(*entry, wallMs, now);
        }
    }
    m_restored.clear();
}

void JobProgress::markStarted(JobEntry &entry)
{
    if (entry.state == JobState::Queued) {
        entry.state = JobState::Running;
        m_with.saves.markChanged(entry);
    }
}

void JobProgress::handleSuccess(JobEntry &entry, const TaskName &name, std::int64_t wallMs, core::TimePoint now)
{
    const Step &step = entry.job.steps[name.step];
    if (step.continuous) {
        return;
    }
    Occurrence &occurrence = entry.occurrences.at(name.occurrence);
    StepState &state = occurrence.steps[name.step];
    // The success of one member completes the whole gang.
    const std::size_t first = step.gang ? 0 : name.index;
    const std::size_t last = step.gang ? state.tasks.size() : name.index + 1;
    const std::size_t remainingBefore = state.remaining;
    for (std::size_t index = first; index < last; ++index) {
        Task &member = state.tasks[index];
        if (member.record.done) {
            continue;
        }
        member.record.done = true;
        member.record.checkpoint.clear();
        member.record.crashedRuns.clear();
        --state.remaining;
        m_with.opener.handleTaskDone(TaskName{name.job, name.occurrence, name.step, index});
        if (member.phase == TaskPhase::Waiting) {
            member.phase = TaskPhase::Done;
        } else if (!step.gang) {
            // Another run of the task is still active; members of a gang end by themselves.
            m_with.stopper.stop(TaskName{name.job, name.occurrence, name.step, index}, member, now);
        }
    }
    if (state.remaining > 0 || remainingBefore == 0) {
        return;
    }
    --occurrence.remainingSteps;
    m_with.opener.handleStepDone(entry);
    completeIfDone(entry, wallMs, now);
}

void JobProgress::completeIfDone(JobEntry &entry, std::int64_t wallMs, core::TimePoint now)
{
    const bool allOpened = entry.nextOccurrence >= entry.job.occurrenceCount();
    const bool allDone = !entry.occurrences.empty()
        && std::all_of(entry.occurrences.begin(), entry.occurrences.end(), [](const std::pair<const std::int64_t, Occurrence> &other) {
               return other.second.remainingSteps == 0;
           });
    if (allOpened && allDone) {
        end(entry, JobState::Completed, wallMs, now);
    }
}

std::int64_t JobProgress::maxAttempts(const JobEntry &entry) const
{
    const QueuePolicy *queue = m_with.state.findQueue(entry.job.queue);
    return std::max<std::int64_t>(queue == nullptr ? entry.job.maxAttempts : queue->maxAttempts, 1);
}

void JobProgress::handleFailure(JobEntry &entry, const TaskName &name, Task &task, std::int64_t run, std::int64_t wallMs, core::TimePoint now)
{
    const Step &step = entry.job.steps[name.step];
    if (step.continuous || task.record.done) {
        return;
    }
    std::vector<std::int64_t> &failedRuns = task.record.failedRuns;
    if (std::find(failedRuns.begin(), failedRuns.end(), run) != failedRuns.end()) {
        // A previous owner has counted this failure, but the acknowledgement did not reach the worker in time.
        return;
    }
    failedRuns.push_back(run);
    const std::int64_t failures = StateTable::countRuns(TaskReference{&entry, &step, &task}, name, &TaskRecord::failedRuns);
    if (failures >= maxAttempts(entry)) {
        fail(entry, absl::StrCat("task ", toText(name), " failed ", failures, " times"), wallMs, now);
    }
}

void JobProgress::fail(JobEntry &entry, std::string reason, std::int64_t wallMs, core::TimePoint now)
{
    m_with.output.logDecision("job_failed", entry.job.id, "", absl::StrCat("reason=\"", reason, "\""));
    entry.reason = std::move(reason);
    end(entry, JobState::Failed, wallMs, now);
}

void JobProgress::end(JobEntry &entry, JobState state, std::int64_t wallMs, core::TimePoint now)
{
    entry.state = state;
    entry.endedMs = wallMs;
    m_with.output.logDecision("job_ended",
                              entry.job.id,
                              "",
                              absl::StrCat("state=", std::string{toText(state)}, " age_ms=", wallMs - entry.job.submittedMs, " out=", entry.activeTasks));
    for (std::pair<const std::int64_t, Occurrence> &occurrence : entry.occurrences) {
        for (std::size_t step = 0; step < occurrence.second.steps.size(); ++step) {
            TaskList &tasks = occurrence.second.steps[step].tasks;
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].isActive()) {
                    m_with.stopper.stop(TaskName{entry.job.id, occurrence.first, step, index}, tasks[index], now);
                }
            }
        }
    }
    m_with.saves.markChanged(entry);
    m_with.state.markEnded(entry);
}

void JobProgress::removeEnded()
{
    std::set<std::string> &ended = m_with.state.endedJobs();
    for (auto id = ended.begin(); id != ended.end();) {
        const JobEntry *entry = m_with.state.findJob(*id);
        if (entry == nullptr) {
            id = ended.erase(id);
        } else if (entry->activeTasks == 0 && entry->savedVersion == entry->version) {
            m_with.tickets.removeJob(*id);
            if (entry->predatesTerm) {
                m_with.state.keepEndedJob(entry->job, entry->state);
            }
            m_with.opener.remove(*entry);
            m_with.state.jobs().erase(*id);
            id = ended.erase(id);
        } else {
            ++id;
        }
    }
}

} // namespace oleanderwick::jobs

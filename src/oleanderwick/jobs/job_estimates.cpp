#include "job_estimates.hpp"

#include <algorithm>

namespace oleanderwick::jobs
{

JobEstimates::JobEstimates(const StateTable &state, double lateBoundFactor)
    : m_state{state}
    , m_lateBoundFactor{lateBoundFactor}
{
}

double JobEstimates::criticalPathMs(const Job &job, const Occurrence *progress)
{
    std::vector<double> ends(job.steps.size(), 0.0);
    double longest = 0.0;
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        double start = 0.0;
        for (const std::size_t before : job.steps[index].after) {
            start = std::max(start, before < index ? ends[before] : 0.0);
        }
        const bool done = progress != nullptr && progress->steps[index].remaining == 0;
        ends[index] = done ? 0.0 : start + static_cast<double>(job.steps[index].estimateMs);
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

bool JobEstimates::isStepReady(const Job &job, const Occurrence &occurrence, std::size_t step)
{
    const std::vector<std::size_t> &after = job.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&occurrence](std::size_t before) {
        return before < occurrence.steps.size() && occurrence.steps[before].remaining == 0;
    });
}

std::int64_t JobEstimates::releaseMs(const Job &job, const Occurrence &occurrence)
{
    return occurrence.dueMs > 0 ? occurrence.dueMs : job.submittedMs;
}

double JobEstimates::objectiveMs(const JobEntry &entry) const
{
    static const QueuePolicy unknownQueue;
    const QueuePolicy *known = m_state.findQueue(entry.job.queue);
    const QueuePolicy &policy = known == nullptr ? unknownQueue : *known;
    return policy.criticalPathFactor * entry.criticalPathMs + static_cast<double>(policy.objectiveMs);
}

double JobEstimates::slackMs(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs) const
{
    return timeToObjectiveMs(entry, occurrence, wallMs) - criticalPathMs(entry.job, &occurrence);
}

double JobEstimates::usefulSlackMs(const JobEntry &entry, double slackMs) const
{
    return slackMs + std::max(m_lateBoundFactor - 1.0, 0.0) * objectiveMs(entry);
}

double JobEstimates::runningSlackMs(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs, core::TimePoint now) const
{
    const Job &job = entry.job;
    std::vector<double> ends(job.steps.size(), 0.0);
    double longest = 0.0;
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        double start = 0.0;
        for (const std::size_t before : job.steps[index].after) {
            start = std::max(start, before < index ? ends[before] : 0.0);
        }
        ends[index] = start + remainingMs(job.steps[index], occurrence.steps[index], now);
        longest = std::max(longest, ends[index]);
    }
    return timeToObjectiveMs(entry, occurrence, wallMs) - longest;
}

double JobEstimates::remainingMs(const Step &step, const StepState &state, core::TimePoint now)
{
    const double estimateMs = static_cast<double>(step.estimateMs);
    double longest = state.unopenedTasks(step) > 0 ? estimateMs : 0.0;
    for (const Task &task : state.tasks) {
        if (task.record.done) {
            continue;
        }
        double remaining = estimateMs;
        if (task.isActive()) {
            // Reports of progress may be seconds old, and a run that resumed from a checkpoint has less left than its start says.
            const double workedMs = static_cast<double>(core::milliseconds(now - task.startedAt));
            const double doneMs = std::max(workedMs, estimateMs * static_cast<double>(task.percent) / 100.0);
            remaining = std::max(estimateMs - doneMs, 0.0);
        }
        longest = std::max(longest, remaining);
    }
    return longest;
}

double JobEstimates::timeToObjectiveMs(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs) const
{
    return static_cast<double>(releaseMs(entry.job, occurrence) - wallMs) + objectiveMs(entry);
}

} // namespace oleanderwick::jobs

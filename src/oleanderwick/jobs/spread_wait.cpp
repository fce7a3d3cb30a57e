#include "spread_wait.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace oleanderwick::jobs
{

namespace internal
{

/** The platform expects a task to be started within 3 s while there is room for it. */
constexpr core::Duration maxSpreadWait = std::chrono::milliseconds{2500};
/** Placements follow each other within 100 ms; for this long after its wait, the other tasks of a step don't wait again. */
constexpr core::Duration forgetSpreadWaitAfter = std::chrono::seconds{5};

bool mayTakeLater(const Worker &worker, const Candidate &candidate)
{
    const Step &step = candidate.definition();
    const std::vector<std::string> &labels = worker.entry.labels;
    const bool isLabelled = step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
    const bool isWithinLimit = step.maxPerWorker == 0 || StateTable::countOnWorker(worker, candidate.taskName(0)) < step.maxPerWorker;
    return worker.registered && !worker.entry.draining && !worker.zoneClosed && isLabelled && isWithinLimit
        && fits(StateTable::demandOf(step), worker.entry.capacity);
}

} // namespace internal

SpreadWait::SpreadWait(const StateTable &state)
    : m_state{state}
{
}

void SpreadWait::begin(core::TimePoint now)
{
    std::erase_if(m_waits, [now](const std::pair<const StepName, Wait> &wait) {
        return now - wait.second.renewedAt >= internal::forgetSpreadWaitAfter;
    });
}

bool SpreadWait::concentrates(const Worker &worker, const Candidate &candidate)
{
    return 2 * (StateTable::countOnWorker(worker, candidate.taskName(0)) + 1) > candidate.definition().count + 1;
}

bool SpreadWait::keepsOff(const Worker &worker, const Candidate &candidate, core::TimePoint now) const
{
    const Step &step = candidate.definition();
    // The members of a gang end with the first loss, wherever they are.
    const bool survivesLosses = step.continuous && !step.gang;
    return survivesLosses && step.count > 1 && candidate.slackMs > 0 && concentrates(worker, candidate) && !isOver(candidate.stepName(), now);
}

bool SpreadWait::wait(const Candidate &candidate, core::TimePoint now)
{
    Wait &wait = m_waits.try_emplace(candidate.stepName(), Wait{now, now}).first->second;
    wait.renewedAt = now;
    const TaskList &tasks = candidate.tasks();
    const bool hasRunBefore = std::any_of(tasks.begin(), tasks.end(), [&candidate, now](const Task &task) {
        return candidate.mayStart(task, now) && task.record.lastRun > 0;
    });
    if (hasRunBefore && !hasAlternative(candidate)) {
        wait.since = std::min(wait.since, now - internal::maxSpreadWait);
    }
    return isOver(candidate.stepName(), now);
}

bool SpreadWait::hasAlternative(const Candidate &candidate) const
{
    return std::any_of(m_state.workers().begin(), m_state.workers().end(), [&candidate](const std::pair<const std::string, Worker> &item) {
        const Worker &worker = item.second;
        return worker.entry.pool == candidate.entry->job.pool && internal::mayTakeLater(worker, candidate) && !concentrates(worker, candidate);
    });
}

bool SpreadWait::isOver(const StepName &step, core::TimePoint now) const
{
    const auto wait = m_waits.find(step);
    return wait != m_waits.end() && now - wait->second.since >= internal::maxSpreadWait;
}

} // namespace oleanderwick::jobs

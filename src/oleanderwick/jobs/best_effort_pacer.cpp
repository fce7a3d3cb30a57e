#include "best_effort_pacer.hpp"

#include <algorithm>
#include <vector>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

BestEffortPacer::BestEffortPacer(StateTable &state, SchedulerOutput &output)
    : m_state{state}
    , m_output{output}
{
}

void BestEffortPacer::adjust(const Worker &worker, core::TimePoint now)
{
    // Bounds of the highest response time as a share of its target: the pace is lowered above one and raised below the other.
    constexpr double lowerAbove = 0.9;
    constexpr double raiseBelow = 0.6;
    constexpr core::Duration raiseInterval = std::chrono::milliseconds{1500};
    constexpr core::Duration lowerInterval = std::chrono::milliseconds{450};
    constexpr std::int64_t raiseStepPercent = 15;
    constexpr std::int64_t minPercent = 10;
    // Between the extremes, so that neither the run stands still nor the serving tasks suffer until their response times tell more.
    constexpr std::int64_t percentBesideServing = 50;
    constexpr core::Duration repeatInterval = std::chrono::seconds{1};
    constexpr int maxRepeats = 2;
    double maxResponseShare = 0.0;
    bool serves = false;
    std::vector<std::pair<const TaskName *, Task *>> bestEffortTasks;
    for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
        const TaskReference reference = m_state.findTask(run.first);
        if (reference.task == nullptr || reference.task->phase != TaskPhase::Running) {
            continue;
        }
        if (reference.step->isServing()) {
            const double share = static_cast<double>(reference.task->measurement) / static_cast<double>(reference.step->targetMs);
            maxResponseShare = std::max(maxResponseShare, share);
            serves = true;
        }
        if (reference.step->bestEffort) {
            bestEffortTasks.emplace_back(&run.first, reference.task);
        }
    }
    for (const std::pair<const TaskName *, Task *> &item : bestEffortTasks) {
        Task &task = *item.second;
        std::int64_t pace = task.pace;
        if (task.paceUnknown) {
            pace = serves ? percentBesideServing : 100;
        } else if (maxResponseShare > lowerAbove && now - task.paceChangedAt >= lowerInterval) {
            pace = pace / 2 < minPercent ? 0 : pace / 2;
        } else if (maxResponseShare < raiseBelow && pace < 100 && now - task.paceChangedAt >= raiseInterval) {
            pace = std::min<std::int64_t>(100, pace + raiseStepPercent);
        }
        // No reply confirms the pace, so that a command that was lost or overtaken has to be repeated.
        const bool repeated = pace == task.pace && !task.paceUnknown && task.paceRepeats > 0 && now - task.paceChangedAt >= repeatInterval;
        if (repeated) {
            --task.paceRepeats;
            m_output.commands().paces.push_back(PaceCommand{worker.entry.id, worker.entry.address, *item.first, task.run, pace});
        } else if (pace != task.pace || task.paceUnknown) {
            m_output.logDecision("run_paced",
                                 toText(*item.first),
                                 worker.entry.id,
                                 absl::StrCat("run=", task.run, " percent=", pace, " before=", task.pace, " load_of_target=", maxResponseShare));
            task.pace = pace;
            task.paceUnknown = false;
            task.paceRepeats = maxRepeats;
            task.paceChangedAt = now;
            m_output.commands().paces.push_back(PaceCommand{worker.entry.id, worker.entry.address, *item.first, task.run, pace});
        }
    }
}

} // namespace oleanderwick::jobs

#include "wait_watch.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

constexpr core::Duration lookInterval = std::chrono::seconds{1};
/** Shorter waits are usual: for a poll, the reply to a command, or room. */
constexpr core::Duration explainedWait = std::chrono::seconds{2};
/** An examination is linear in the workers, and an overload makes thousands of steps wait. */
constexpr std::size_t maxExamined = 16;
constexpr std::size_t maxLogged = 4;

} // namespace internal

WaitWatch::WaitWatch(const StateTable &state, const PlacementDiagnosis &diagnosis, SchedulerOutput &output)
    : m_state{state}
    , m_diagnosis{diagnosis}
    , m_output{output}
{
}

void WaitWatch::advance(core::TimePoint now, std::int64_t wallMs)
{
    if (now - m_lookedAt < internal::lookInterval) {
        return;
    }
    m_lookedAt = now;
    findWaits(now);
    examine(now, wallMs);
}

void WaitWatch::findWaits(core::TimePoint now)
{
    std::map<StepName, Wait> before;
    std::swap(before, m_waits);
    for (const std::pair<const std::string, JobEntry> &item : m_state.jobs()) {
        const JobEntry &entry = item.second;
        if (isFinal(entry.state)) {
            continue;
        }
        for (const std::pair<const std::int64_t, Occurrence> &occurrence : entry.occurrences) {
            for (std::size_t step = 0; occurrence.second.remainingSteps > 0 && step < occurrence.second.steps.size(); ++step) {
                if (PlacementDiagnosis::stands(entry, occurrence.second, step)) {
                    const StepName name{item.first, occurrence.first, step};
                    const auto known = before.find(name);
                    m_waits.emplace(name, known == before.end() ? Wait{now, {}} : known->second);
                }
            }
        }
    }
}

void WaitWatch::examine(core::TimePoint now, std::int64_t wallMs)
{
    std::vector<std::pair<const StepName, Wait> *> due;
    for (std::pair<const StepName, Wait> &wait : m_waits) {
        if (now - wait.second.since >= internal::explainedWait) {
            due.push_back(&wait);
        }
    }
    const std::size_t count = std::min(due.size(), internal::maxExamined);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(), [](const auto *left, const auto *right) {
        return std::tie(left->second.loggedAt, left->second.since) < std::tie(right->second.loggedAt, right->second.since);
    });
    for (std::size_t index = 0; index < count; ++index) {
        const StepName &name = due[index]->first;
        Wait &wait = due[index]->second;
        const JobEntry *entry = m_state.findJob(name.job);
        const std::optional<WaitFinding> finding = m_diagnosis.examine(name, now, wallMs);
        if (entry == nullptr || !finding.has_value()) {
            continue;
        }
        ++m_counts[static_cast<std::size_t>(finding->reason)];
        if (index < internal::maxLogged) {
            wait.loggedAt = now;
            m_output.logDecision("step_waits",
                                 toText(TaskName{name.job, name.occurrence, name.step, finding->index}),
                                 "",
                                 absl::StrCat("pool=",
                                              entry->job.pool,
                                              " waited_ms=",
                                              core::milliseconds(now - wait.since),
                                              " waiting_steps=",
                                              due.size(),
                                              " ",
                                              m_diagnosis.describe(*finding, *entry)));
        }
    }
}

WaitCounts WaitWatch::takeCounts() noexcept
{
    return std::exchange(m_counts, WaitCounts{});
}

} // namespace oleanderwick::jobs

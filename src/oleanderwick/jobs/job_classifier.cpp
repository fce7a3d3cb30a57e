#include "job_classifier.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

JobClassifier::JobClassifier(StateTable &state, const SchedulerLimits &limits, SchedulerOutput &output)
    : m_state{state}
    , m_output{output}
    , m_enabled{limits.teamShares}
    , m_rates{limits.teamRateWindow}
{
}

void JobClassifier::add(JobEntry &entry, core::TimePoint now)
{
    if (!m_enabled) {
        return;
    }
    if (entry.predatesTerm || m_state.config().pools.empty()) {
        m_restored.insert(entry.job.id);
    } else {
        classify(entry, now, now);
    }
}

void JobClassifier::advance(core::TimePoint now, std::int64_t wallMs)
{
    if (m_restored.empty() || m_state.config().pools.empty()) {
        return;
    }
    std::vector<JobEntry *> entries;
    for (const std::string &id : m_restored) {
        JobEntry *entry = m_state.findJob(id);
        if (entry != nullptr) {
            entries.push_back(entry);
        }
    }
    m_restored.clear();
    std::sort(entries.begin(), entries.end(), [](const JobEntry *left, const JobEntry *right) {
        return std::tie(left->job.submittedMs, left->job.id) < std::tie(right->job.submittedMs, right->job.id);
    });
    for (JobEntry *entry : entries) {
        // The submission was dated by another node's clock, which may be ahead.
        const std::chrono::milliseconds age{std::max<std::int64_t>(wallMs - entry->job.submittedMs, 0)};
        classify(*entry, now - age, now);
    }
}

void JobClassifier::classify(JobEntry &entry, core::TimePoint arrivedAt, core::TimePoint now)
{
    const auto policy = m_state.config().teams.find(entry.job.team);
    const double rate = policy == m_state.config().teams.end() ? 0.0 : policy->second.rate;
    entry.beyondRate = !m_rates.take(entry.job.team, rate, arrivedAt);
    if (entry.beyondRate) {
        m_output.logDecision("job_beyond_rate",
                             entry.job.id,
                             "",
                             absl::StrCat("team=",
                                          entry.job.team,
                                          " rate=",
                                          rate,
                                          " tokens=",
                                          m_rates.tokens(entry.job.team),
                                          " former_owner=",
                                          entry.predatesTerm ? 1 : 0,
                                          " age_ms=",
                                          core::milliseconds(now - arrivedAt)));
    }
}

} // namespace oleanderwick::jobs

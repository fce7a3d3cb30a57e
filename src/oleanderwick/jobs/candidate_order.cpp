#include "candidate_order.hpp"

#include <algorithm>
#include <tuple>

namespace oleanderwick::jobs
{

SlackOrder::SlackOrder(const LoadMeter &loads)
    : m_loads{loads}
{
}

SlackOrder::Ranked SlackOrder::rank(const Candidate &candidate, bool overloaded)
{
    const JobEntry &entry = *candidate.entry;
    const bool continuous = candidate.definition().continuous;
    const std::int64_t priority = continuous ? -1 : candidate.priority;
    const double submittedMs = static_cast<double>(entry.job.submittedMs);
    if (!continuous && (candidate.slackMs < 0 || candidate.selection == Candidate::Selection::Unsound)) {
        return Ranked{candidate, priority, Rank::Late, submittedMs};
    }
    if (entry.state != JobState::Queued || entry.activeTasks > 0) {
        return Ranked{candidate, priority, Rank::InProgress, candidate.slackMs};
    }
    // Not all jobs can meet their objective in an overload. Newest first lets some of them meet it; oldest first would make each miss it narrowly.
    return Ranked{candidate, priority, Rank::Timely, overloaded ? -submittedMs : candidate.slackMs};
}

void SlackOrder::arrange(std::vector<Candidate> candidates, core::TimePoint /*now*/)
{
    m_next = 0;
    m_ranked.clear();
    m_ranked.reserve(candidates.size());
    bool overloaded = false;
    for (const Candidate &candidate : candidates) {
        if (m_ranked.empty() || m_ranked.back().candidate.entry != candidate.entry) {
            overloaded = m_loads.isOverloaded(candidate.entry->job.pool);
        }
        m_ranked.push_back(rank(candidate, overloaded));
    }
    std::sort(m_ranked.begin(), m_ranked.end(), [](const Ranked &left, const Ranked &right) {
        return std::tuple{left.priority, left.rank, left.sortKey} < std::tuple{right.priority, right.rank, right.sortKey};
    });
}

const Candidate *SlackOrder::next()
{
    return m_next < m_ranked.size() ? &m_ranked[m_next++].candidate : nullptr;
}

} // namespace oleanderwick::jobs

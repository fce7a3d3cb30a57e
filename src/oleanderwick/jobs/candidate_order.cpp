#include "candidate_order.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace oleanderwick::jobs
{

namespace internal
{

/** Time before the last useful start at which a job is rescued: estimates are rough, and further steps may have to wait for room, too. */
constexpr double rescueReserveMs = 1500.0;
/** Part of a pool that late work may occupy through rescues; the rest stays for timely work. */
constexpr double rescueShare = 0.5;

/** CPU of the tasks of a candidate that wait for a start, in thousandths of a core. */
std::int64_t waitingCpu(const Candidate &candidate)
{
    const TaskList &tasks = candidate.tasks();
    const std::int64_t waiting = std::count_if(tasks.begin(), tasks.end(), [](const Task &task) {
        return task.phase == TaskPhase::Waiting && !task.record.done;
    });
    return waiting * candidate.definition().each.cpu;
}

} // namespace internal

SlackOrder::SlackOrder(const LoadMeter &loads, const JobEstimates &estimates)
    : m_loads{loads}
    , m_estimates{estimates}
{
}

SlackOrder::Ranked SlackOrder::rankLate(const Candidate &candidate, std::int64_t priority) const
{
    const double submittedMs = static_cast<double>(candidate.entry->job.submittedMs);
    const double usefulSlackMs = m_estimates.usefulSlackMs(*candidate.entry, candidate.slackMs);
    if (usefulSlackMs < 0) {
        return Ranked{candidate, priority, Rank::Expired, submittedMs};
    }
    // What an unsound task blocks may be nothing but its own job, so it is never placed before other work.
    const bool urgent = usefulSlackMs < internal::rescueReserveMs && candidate.selection != Candidate::Selection::Unsound;
    return Ranked{candidate, priority, urgent ? Rank::Rescue : Rank::Late, usefulSlackMs};
}

SlackOrder::Ranked SlackOrder::rank(const Candidate &candidate, bool overloaded) const
{
    const JobEntry &entry = *candidate.entry;
    const bool continuous = candidate.definition().continuous;
    const std::int64_t priority = continuous ? -1 : candidate.priority;
    const double submittedMs = static_cast<double>(entry.job.submittedMs);
    if (!continuous && (candidate.slackMs < 0 || candidate.selection == Candidate::Selection::Unsound)) {
        return rankLate(candidate, priority);
    }
    if (entry.state != JobState::Queued || entry.activeTasks > 0) {
        return Ranked{candidate, priority, Rank::InProgress, candidate.slackMs};
    }
    // Not all jobs can meet their objective in an overload. Newest first lets some of them meet it; oldest first would make each miss it narrowly.
    return Ranked{candidate, priority, Rank::Timely, overloaded ? -submittedMs : candidate.slackMs};
}

void SlackOrder::limitRescues()
{
    std::vector<Ranked *> rescues;
    for (Ranked &ranked : m_ranked) {
        if (ranked.rank == Rank::Rescue) {
            rescues.push_back(&ranked);
        }
    }
    std::sort(rescues.begin(), rescues.end(), [](const Ranked *left, const Ranked *right) {
        return left->sortKey < right->sortKey;
    });
    std::map<std::string, std::int64_t> freeCpu;
    for (Ranked *ranked : rescues) {
        const std::string &pool = ranked->candidate.entry->job.pool;
        const auto free = freeCpu.try_emplace(pool, m_loads.cpuForLateWork(pool, internal::rescueShare)).first;
        if (free->second <= 0) {
            ranked->rank = Rank::Late;
        }
        free->second -= internal::waitingCpu(ranked->candidate);
    }
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
    limitRescues();
    std::sort(m_ranked.begin(), m_ranked.end(), [](const Ranked &left, const Ranked &right) {
        return std::tuple{left.priority, left.rank, left.sortKey} < std::tuple{right.priority, right.rank, right.sortKey};
    });
}

const Candidate *SlackOrder::next()
{
    return m_next < m_ranked.size() ? &m_ranked[m_next++].candidate : nullptr;
}

} // namespace oleanderwick::jobs

#include "candidate_finder.hpp"

#include <algorithm>
#include <optional>

namespace oleanderwick::jobs
{

namespace internal
{

const std::vector<Candidate::Selection> undivided{Candidate::Selection::All};
const std::vector<Candidate::Selection> bySoundness{Candidate::Selection::Sound, Candidate::Selection::Unsound};

/** Checks whether a job that predates the term may have runs whose duplicates would do harm. */
bool mayHaveFormerRuns(const JobEntry &entry, const UnknownPools &unknownPools)
{
    return unknownPools.contains(entry.job.pool) && !entry.allSpeculative;
}

} // namespace internal

CandidateFinder::CandidateFinder(StateTable &state,
                                 const WorkerLeases &leases,
                                 const JobEstimates &estimates,
                                 const WorkerIndex &index,
                                 bool includeWithoutRoom)
    : m_state{state}
    , m_leases{leases}
    , m_estimates{estimates}
    , m_index{index}
    , m_includeWithoutRoom{includeWithoutRoom}
{
}

void CandidateFinder::addCandidates(JobEntry &entry, core::TimePoint now, std::int64_t wallMs, Scope scope, std::vector<Candidate> &found) const
{
    const QueuePolicy *queue = m_state.findQueue(entry.job.queue);
    const std::int64_t priority = queue == nullptr ? 0 : queue->priority;
    // Advice is requested ahead of a placement, so also while there is no room.
    const bool needsTicket = queue != nullptr && queue->needsTicket;
    for (std::pair<const std::int64_t, Occurrence> &item : entry.occurrences) {
        Occurrence &occurrence = item.second;
        if (occurrence.remainingSteps == 0) {
            continue;
        }
        double slackMs = 0.0;
        bool measured = false;
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            const bool withoutRoom = !needsTicket && !m_index.mayFit(entry.job.pool, StateTable::demandOf(entry.job.steps[step]));
            if (withoutRoom && scope == Scope::Placeable && !m_includeWithoutRoom) {
                continue;
            }
            const Step &definition = entry.job.steps[step];
            const bool splits = entry.unsoundTasks > 0 && !definition.gang && !definition.continuous;
            for (const Candidate::Selection selection : splits ? internal::bySoundness : internal::undivided) {
                Candidate candidate{&entry, item.first, step, &occurrence.steps[step], priority, needsTicket, withoutRoom, 0.0, selection};
                const TaskList &tasks = candidate.tasks();
                const bool waiting = candidate.state->remaining > 0 && std::any_of(tasks.begin(), tasks.end(), [&candidate, now](const Task &task) {
                                         return candidate.mayStart(task, now);
                                     });
                if (waiting && JobEstimates::isStepReady(entry.job, occurrence, step)) {
                    if (!measured) {
                        measured = true;
                        slackMs = m_estimates.slackMs(entry, occurrence, wallMs);
                    }
                    candidate.slackMs = slackMs;
                    found.push_back(candidate);
                }
            }
        }
    }
}

bool CandidateFinder::awaitsFormerRuns(const JobEntry &entry, core::TimePoint now) const
{
    return entry.predatesTerm && internal::mayHaveFormerRuns(entry, m_leases.poolsWithUnknownRuns(now));
}

std::vector<Candidate> CandidateFinder::find(core::TimePoint now, std::int64_t wallMs, Scope scope) const
{
    std::vector<Candidate> found;
    std::optional<UnknownPools> unknownPools;
    for (std::pair<const std::string, JobEntry> &item : m_state.jobs()) {
        JobEntry &entry = item.second;
        if (isFinal(entry.state)) {
            continue;
        }
        if (entry.predatesTerm) {
            if (!unknownPools.has_value()) {
                unknownPools = m_leases.poolsWithUnknownRuns(now);
            }
            if (internal::mayHaveFormerRuns(entry, *unknownPools)) {
                continue;
            }
        }
        addCandidates(entry, now, wallMs, scope, found);
    }
    return found;
}

} // namespace oleanderwick::jobs

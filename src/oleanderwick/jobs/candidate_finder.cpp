#include "candidate_finder.hpp"

#include <algorithm>

namespace oleanderwick::jobs
{

CandidateFinder::CandidateFinder(StateTable &state, const WorkerLeases &leases, const JobEstimates &estimates, const WorkerIndex &index)
    : m_state{state}
    , m_leases{leases}
    , m_estimates{estimates}
    , m_index{index}
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
            if (scope == Scope::Placeable && !needsTicket && !m_index.mayFit(entry.job.pool, StateTable::demandOf(entry.job.steps[step]))) {
                continue;
            }
            const std::vector<Task> &tasks = occurrence.steps[step].tasks;
            const bool waiting = occurrence.steps[step].remaining > 0 && std::any_of(tasks.begin(), tasks.end(), [now](const Task &task) {
                                     return task.mayStart(now);
                                 });
            if (waiting && JobEstimates::isStepReady(entry.job, occurrence, step)) {
                if (!measured) {
                    measured = true;
                    slackMs = m_estimates.slackMs(entry, occurrence, wallMs);
                }
                found.push_back(Candidate{&entry, item.first, step, &occurrence.steps[step], priority, needsTicket, slackMs});
            }
        }
    }
}

std::vector<Candidate> CandidateFinder::find(core::TimePoint now, std::int64_t wallMs, Scope scope) const
{
    std::vector<Candidate> found;
    std::map<std::string, bool> knownPools;
    for (std::pair<const std::string, JobEntry> &item : m_state.jobs()) {
        JobEntry &entry = item.second;
        if (isFinal(entry.state)) {
            continue;
        }
        if (entry.predatesTerm) {
            const auto known = knownPools.try_emplace(entry.job.pool, false);
            if (known.second) {
                known.first->second = m_leases.arePreviousRunsKnown(entry.job.pool, now);
            }
            if (!known.first->second && !entry.allSpeculative) {
                continue;
            }
        }
        addCandidates(entry, now, wallMs, scope, found);
    }
    return found;
}

} // namespace oleanderwick::jobs

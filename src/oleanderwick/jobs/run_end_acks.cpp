#include "run_end_acks.hpp"

#include <iterator>
#include <utility>

namespace oleanderwick::jobs
{

RunEndAcks::RunEndAcks(StateTable &state)
    : m_state{state}
{
}

void RunEndAcks::add(Worker &worker, PendingEnd end)
{
    const bool hasState = !end.job.empty();
    worker.pendingEnds.push_back(std::move(end));
    if (hasState) {
        m_workers.insert(worker.entry.id);
    }
}

void RunEndAcks::advance(Worker &worker) const
{
    while (!worker.pendingEnds.empty()) {
        const PendingEnd &first = worker.pendingEnds.front();
        const JobEntry *entry = first.job.empty() ? nullptr : m_state.findJob(first.job);
        // A job is removed only after its final state is stored, so the run end of an unknown job needs no save.
        if (entry != nullptr && entry->savedVersion < first.version) {
            return;
        }
        worker.storedEnd = first.number;
        worker.pendingEnds.pop_front();
    }
}

void RunEndAcks::advanceAll()
{
    for (auto id = m_workers.begin(); id != m_workers.end();) {
        Worker *worker = m_state.findWorker(*id);
        if (worker != nullptr) {
            advance(*worker);
        }
        id = worker == nullptr || worker->pendingEnds.empty() ? m_workers.erase(id) : std::next(id);
    }
}

} // namespace oleanderwick::jobs

#include "worker_polls.hpp"

#include <algorithm>
#include <utility>

namespace oleanderwick::jobs
{

namespace internal
{

/** Wait of a poll where best-effort tasks disturb serving ones, so that a rise of the response times is noticed in time. */
constexpr std::int64_t servingPollWaitMs = 500;
/** Wait of a poll for the end of runs that are being stopped; a stop that got lost is repeated with the next report. */
constexpr std::int64_t strayRunPollWaitMs = 500;
/** Minimum delay of a poll after the last reply while run ends are not stored: as they are unacknowledged, it would return at once. */
constexpr core::Duration unstoredPollDelay = std::chrono::milliseconds{1000};
/** Delay of acknowledging run ends to an idle worker, so that one poll acknowledges several. */
constexpr core::Duration idleAckDelay = std::chrono::milliseconds{500};

} // namespace internal

WorkerPolls::WorkerPolls(StateTable &state, const WorkerLeases &leases)
    : m_state{state}
    , m_leases{leases}
{
}

bool WorkerPolls::isDue(const Worker &worker, core::TimePoint now)
{
    if (worker.pollInFlight || worker.nextPollAt > now || worker.entry.address.empty()) {
        return false;
    }
    const bool unstored = !worker.pendingEnds.empty() && now - worker.lastReplyAt < internal::unstoredPollDelay;
    const bool unacknowledged = worker.storedEnd > worker.ackedEnd && now - worker.lastReplyAt >= internal::idleAckDelay;
    const bool needed = worker.needsReport() || worker.unresponsive || !worker.runs.empty() || unacknowledged || !worker.pendingEnds.empty();
    return !unstored && needed && (worker.registered || !worker.runs.empty() || !worker.unresponsive);
}

std::int64_t WorkerPolls::waitMs(const Worker &worker) const
{
    if (!worker.reported || worker.unresponsive || !worker.pendingEnds.empty()) {
        return 0;
    }
    const bool isUnresolved = std::any_of(worker.strayRuns.begin(), worker.strayRuns.end(), [](const std::pair<const RunName, StrayRun> &run) {
        return run.second.mayStillStart && run.second.stopSentAt == core::TimePoint{};
    });
    if (isUnresolved) {
        return 0;
    }
    if (worker.runs.empty()) {
        return worker.hasStrayRuns() ? internal::strayRunPollWaitMs : 0;
    }
    bool serving = false;
    bool bestEffort = false;
    for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
        const TaskReference reference = m_state.findTask(run.first);
        if (reference.task != nullptr && reference.task->phase == TaskPhase::Uncertain) {
            return 0;
        }
        serving = serving || (reference.step != nullptr && reference.step->isServing());
        bestEffort = bestEffort || (reference.step != nullptr && reference.step->bestEffort);
    }
    const std::int64_t longest = serving && bestEffort ? internal::servingPollWaitMs : internal::maxPollWaitMs;
    return worker.hasStrayRuns() ? std::min(longest, internal::strayRunPollWaitMs) : longest;
}

std::vector<PollCommand> WorkerPolls::take(core::TimePoint now)
{
    std::vector<PollCommand> polls;
    for (std::pair<const std::string, Worker> &item : m_state.workers()) {
        Worker &worker = item.second;
        if (!isDue(worker, now)) {
            continue;
        }
        PollCommand poll;
        poll.worker = item.first;
        poll.address = worker.entry.address;
        // The lease of an unresponsive worker is not extended, so that its tasks can be started elsewhere once it expires.
        poll.deadlineMs = worker.unresponsive || worker.runs.empty() ? 0 : m_leases.extend(worker, now);
        poll.ackedEnd = worker.storedEnd;
        poll.waitMs = waitMs(worker);
        worker.ackedEnd = worker.storedEnd;
        worker.pollInFlight = true;
        polls.push_back(std::move(poll));
    }
    return polls;
}

} // namespace oleanderwick::jobs

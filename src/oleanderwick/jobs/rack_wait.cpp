#include "rack_wait.hpp"

#include <algorithm>
#include <limits>

namespace oleanderwick::jobs
{

namespace internal
{

/** A wait that has not been renewed for this long has ended; placements follow each other within 100 ms, unless the pool is full. */
constexpr core::Duration forgetWaitAfter = std::chrono::seconds{5};
/** Remaining time expected of a run past its estimate, as a fraction of its time so far: estimates are off by factors of 1.2 to 2.5. */
constexpr double overdueFraction = 0.25;
constexpr double never = std::numeric_limits<double>::infinity();

/** Adds a change in the order of time. */
template <typename Change>
void insertInOrder(std::vector<Change> &changes, const Change &change)
{
    const auto later = std::upper_bound(changes.begin(), changes.end(), change.atMs, [](double atMs, const Change &other) {
        return atMs < other.atMs;
    });
    changes.insert(later, change);
}

} // namespace internal

RackWait::RackWait(const StateTable &state, const WorkerHealth &health, WorkerIndex &index, double remoteFactor)
    : m_state{state}
    , m_health{health}
    , m_index{index}
    , m_remoteFactor{remoteFactor}
{
}

void RackWait::begin(core::TimePoint now)
{
    m_changes.clear();
    std::erase_if(m_waits, [now](const std::pair<const TaskName, Wait> &wait) {
        return now - wait.second.renewedAt >= internal::forgetWaitAfter;
    });
}

bool RackWait::shouldWait(const Candidate &candidate, std::size_t index, const Worker &chosen, core::TimePoint now)
{
    const Step &step = candidate.definition();
    const bool isNear = step.affinityRack.empty() || chosen.entry.rack == step.affinityRack;
    if (m_remoteFactor <= 1.0 || isNear || step.continuous || step.gang || step.bestEffort) {
        return false;
    }
    const Resources demand = StateTable::demandOf(step);
    const double durationMs = static_cast<double>(step.estimateMs);
    const TaskName name = candidate.taskName(index);
    const auto known = m_waits.find(name);
    const core::TimePoint since = known == m_waits.end() ? now : known->second.since;
    const double waitedMs = static_cast<double>(core::milliseconds(now - since));
    const double allowedMs = std::min(durationMs * (m_remoteFactor - 1.0) - waitedMs, candidate.slackMs);
    std::vector<Change> *best = nullptr;
    double bestMs = allowedMs;
    for (const Worker *worker : m_index.workersOf(candidate.entry->job.pool)) {
        const std::vector<std::string> &labels = worker->entry.labels;
        const bool labelled = step.requiredLabel.empty() || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
        // A worker with room that was not chosen is no alternative: another condition or a cost speaks against it.
        const bool full = !fits(demand, worker->freeRoom());
        if (worker->entry.rack != step.affinityRack || !labelled || !full || bestMs <= 0.0 || !m_health.mayStart(*worker, now)) {
            continue;
        }
        std::vector<Change> &changes = changesOn(*worker, now);
        const double expectedMs = waitMs(*worker, changes, demand, durationMs);
        if (expectedMs < bestMs) {
            bestMs = expectedMs;
            best = &changes;
        }
    }
    if (best == nullptr) {
        m_waits.erase(name);
        return false;
    }
    internal::insertInOrder(*best, Change{bestMs, Resources{} - demand});
    internal::insertInOrder(*best, Change{bestMs + durationMs, demand});
    m_waits[name] = Wait{since, now};
    return true;
}

bool RackWait::isWaiting(const TaskName &name) const
{
    return m_waits.contains(name);
}

std::vector<RackWait::Change> &RackWait::changesOn(const Worker &worker, core::TimePoint now)
{
    const auto known = m_changes.try_emplace(worker.entry.id);
    std::vector<Change> &changes = known.first->second;
    if (!known.second) {
        return changes;
    }
    for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
        const JobEntry *entry = m_state.findJob(run.first.job);
        const Step *step = m_state.findStep(run.first);
        if (entry == nullptr || step == nullptr || step->continuous) {
            continue;
        }
        const bool far = !step->affinityRack.empty() && step->affinityRack != worker.entry.rack;
        const double expectedMs = static_cast<double>(step->estimateMs) * (far ? m_remoteFactor : 1.0);
        const double elapsedMs = static_cast<double>(core::milliseconds(now - StateTable::taskOf(*entry, run.first).startedAt));
        const double remainingMs = std::max(expectedMs - elapsedMs, elapsedMs * internal::overdueFraction);
        changes.push_back(Change{remainingMs, StateTable::demandOf(*step)});
    }
    std::sort(changes.begin(), changes.end(), [](const Change &left, const Change &right) {
        return left.atMs < right.atMs;
    });
    return changes;
}

double RackWait::waitMs(const Worker &worker, const std::vector<Change> &changes, const Resources &demand, double durationMs)
{
    Resources free = worker.freeRoom();
    double since = internal::never;
    for (const Change &change : changes) {
        if (change.atMs >= since + durationMs) {
            break;
        }
        free = free + change.freed;
        if (!fits(demand, free)) {
            since = internal::never;
        } else if (since == internal::never) {
            since = change.atMs;
        }
    }
    return since;
}

} // namespace oleanderwick::jobs

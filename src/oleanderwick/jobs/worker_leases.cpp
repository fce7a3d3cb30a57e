#include "worker_leases.hpp"

#include <algorithm>

namespace oleanderwick::jobs
{

namespace internal
{

/** Lowest rate of a worker's clock relative to the local one, according to the platform's documentation. */
constexpr double minClockRate = 0.98;
/** Requested leases are this much shorter than the limit, so that neither rounding nor a slow clock of the worker makes it shorten them. */
constexpr core::Duration leaseMargin = std::chrono::milliseconds{50};
/** Added to the computed end of a lease before its runs count as ended. */
constexpr core::Duration expiryMargin = std::chrono::milliseconds{100};

} // namespace internal

void UnknownPools::add(const std::string &pool)
{
    m_pools.insert(pool);
}

bool UnknownPools::contains(const std::string &pool) const
{
    return m_pools.contains(std::string{}) || m_pools.contains(pool);
}

bool UnknownPools::empty() const noexcept
{
    return m_pools.empty();
}

WorkerLeases::WorkerLeases(const StateTable &state, const SchedulerLimits &limits, core::TimePoint termStart)
    : m_state{state}
    , m_limits{limits}
    , m_termStart{termStart}
{
}

void WorkerLeases::recordClock(Worker &worker, std::int64_t clockMs, core::TimePoint now)
{
    if (clockMs > 0) {
        worker.clockMs = clockMs;
        worker.clockAt = now;
    }
}

std::int64_t WorkerLeases::extend(Worker &worker, core::TimePoint now) const
{
    if (worker.clockMs == 0) {
        return 0;
    }
    const std::int64_t clockNow = worker.clockMs + core::milliseconds(now - worker.clockAt);
    const std::int64_t deadlineMs = clockNow + core::milliseconds(m_limits.maxLease - internal::leaseMargin);
    const double longestMs = static_cast<double>(deadlineMs - worker.clockMs) / internal::minClockRate;
    const core::Duration longest = std::chrono::milliseconds{static_cast<std::int64_t>(longestMs)};
    worker.leaseExpiresBy = std::max(worker.leaseExpiresBy, worker.clockAt + longest + internal::expiryMargin);
    return deadlineMs;
}

core::Duration WorkerLeases::maxDuration() const noexcept
{
    const double longestMs = static_cast<double>(core::milliseconds(m_limits.maxLease)) / internal::minClockRate;
    return std::chrono::milliseconds{static_cast<std::int64_t>(longestMs)} + internal::expiryMargin;
}

core::TimePoint WorkerLeases::termStart() const noexcept
{
    return m_termStart;
}

core::TimePoint WorkerLeases::previousLeasesEnd() const noexcept
{
    return m_termStart + maxDuration();
}

core::TimePoint WorkerLeases::runsEndBy(const Worker &worker) const noexcept
{
    return worker.reported ? worker.leaseExpiresBy : std::max(worker.leaseExpiresBy, previousLeasesEnd());
}

bool WorkerLeases::arePreviousRunsKnown(const Worker &worker, core::TimePoint now) const noexcept
{
    return worker.reported || now > runsEndBy(worker);
}

void WorkerLeases::setPreviousWorkersUnknown() noexcept
{
    m_previousWorkersUnknown = true;
}

UnknownPools WorkerLeases::poolsWithUnknownRuns(core::TimePoint now) const
{
    UnknownPools pools;
    if (m_previousWorkersUnknown && now <= previousLeasesEnd()) {
        pools.add({});
    }
    for (const std::pair<const std::string, Worker> &item : m_state.workers()) {
        if (!arePreviousRunsKnown(item.second, now)) {
            pools.add(item.second.entry.pool);
        }
    }
    return pools;
}

bool WorkerLeases::isIdle(const std::string &id, core::TimePoint now) const
{
    const Worker *worker = m_state.findWorker(id);
    if (worker == nullptr) {
        return true;
    }
    const bool endsKnown = worker->reported && !worker->endsTruncated;
    return (endsKnown || now > runsEndBy(*worker)) && worker->runs.empty() && worker->pendingEnds.empty();
}

} // namespace oleanderwick::jobs

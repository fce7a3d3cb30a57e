#pragma once

#include <cstdint>
#include <set>
#include <string>

#include "scheduler_limits.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Pools in which runs of previous owners may exist, or may have ended, without this owner's knowledge. */
class UnknownPools
{
public:
    /**
     * @brief Adds the pool of a worker.
     * @param pool Name of the pool; empty if the worker may belong to any.
     */
    void add(const std::string &pool);

    /**
     * @brief Checks whether runs in a pool may be unknown.
     * @param pool Name of the pool.
     * @return True if a worker that was added may belong to it.
     */
    [[nodiscard]] bool contains(const std::string &pool) const;

    /** @return True if there are no unknown runs. */
    [[nodiscard]] bool empty() const noexcept;

private:
    std::set<std::string> m_pools;
};

/** @brief Leases of the workers: how long the runs on a worker may exist, by its own clock and by the local one. */
class WorkerLeases
{
public:
    /**
     * @brief Creates the leases at the start of an owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param limits Limits of the platform.
     * @param termStart Start of the term on the monotonic clock.
     */
    WorkerLeases(const StateTable &state, const SchedulerLimits &limits, core::TimePoint termStart);

    /**
     * @brief Records the time of a worker's clock.
     * @param worker Worker that replied.
     * @param clockMs Time of its clock in milliseconds; 0 if unknown.
     * @param now Current time of the monotonic clock.
     */
    static void recordClock(Worker &worker, std::int64_t clockMs, core::TimePoint now);

    /**
     * @brief Extends a worker's lease by as much as the platform allows; to be called for a command that is about to be sent.
     * @param worker Worker to which the command goes.
     * @param now Current time of the monotonic clock.
     * @return End of the lease on the worker's clock in milliseconds; 0 if that clock is unknown, so that the lease is not extended.
     */
    [[nodiscard]] std::int64_t extend(Worker &worker, core::TimePoint now) const;

    /** @return Longest time for which a lease may last after it was given. */
    [[nodiscard]] core::Duration maxDuration() const noexcept;

    /** @return Start of the term. */
    [[nodiscard]] core::TimePoint termStart() const noexcept;

    /** @return Time by which all leases of previous owners have expired. */
    [[nodiscard]] core::TimePoint previousLeasesEnd() const noexcept;

    /**
     * @brief Determines when the runs on a worker have ended unless its lease is extended.
     * @param worker Worker to check.
     * @return That time; for a worker that has not reported, not before the leases of previous owners have expired.
     */
    [[nodiscard]] core::TimePoint runsEndBy(const Worker &worker) const noexcept;

    /**
     * @brief Checks whether it is known which runs of previous owners exist on a worker or have ended there.
     * @param worker Worker to check.
     * @param now Current time of the monotonic clock.
     * @return True if the worker has reported all of them, or its leases have expired, so that a run end counts only if this owner hears of it.
     */
    [[nodiscard]] bool arePreviousRunsKnown(const Worker &worker, core::TimePoint now) const noexcept;

    /** @brief Records that previous owners may have used workers of which this owner doesn't know. */
    void setPreviousWorkersUnknown() noexcept;

    /**
     * @brief Finds the pools in which it is unknown which runs of previous owners exist or have ended.
     * @param now Current time of the monotonic clock.
     * @return Those pools.
     */
    [[nodiscard]] UnknownPools poolsWithUnknownRuns(core::TimePoint now) const;

    /**
     * @brief Checks whether a worker certainly has no runs and no run ends to be stored.
     * @param id Name of the worker.
     * @param now Current time of the monotonic clock.
     * @return True if this is certain, or the worker is unknown.
     */
    [[nodiscard]] bool isIdle(const std::string &id, core::TimePoint now) const;

private:
    const StateTable &m_state;
    SchedulerLimits m_limits;
    core::TimePoint m_termStart;
    bool m_previousWorkersUnknown{false};
};

} // namespace oleanderwick::jobs

#pragma once

#include <vector>

#include "commands.hpp"
#include "state_table.hpp"
#include "worker_leases.hpp"

namespace oleanderwick::jobs
{

/** @brief Decides when a worker is polled, how long it may wait with its reply, and whether the poll extends its lease. */
class WorkerPolls
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param leases Leases of the workers; must outlive this object.
     */
    WorkerPolls(StateTable &state, const WorkerLeases &leases);

    /**
     * @brief Collects the polls that are due.
     * @param now Current time of the monotonic clock.
     * @return At most one poll for each worker; `Worker::pollInFlight` is set until its result is handled.
     */
    [[nodiscard]] std::vector<PollCommand> take(core::TimePoint now);

private:
    [[nodiscard]] static bool isDue(const Worker &worker, core::TimePoint now);
    /** Time in milliseconds that the worker may wait for a run end before it replies. */
    [[nodiscard]] std::int64_t waitMs(const Worker &worker) const;

    StateTable &m_state;
    const WorkerLeases &m_leases;
};

namespace internal
{

/** Longest wait of a poll; the platform allows up to 2 s. */
inline constexpr std::int64_t maxPollWaitMs = 2000;

} // namespace internal

} // namespace oleanderwick::jobs

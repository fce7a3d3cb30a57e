#pragma once

#include <map>
#include <string>
#include <vector>

#include "candidate.hpp"
#include "worker_health.hpp"
#include "worker_index.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Decides whether a task waits for room on the rack of its data or runs elsewhere, where it takes longer by a known factor.
 *
 * It waits while the expected wait, added to the time it has waited, is shorter than what the far run loses, and within its slack. Room
 * for which a task waits is booked during the placement, so that of many tasks for one rack only as many wait as the rack can take in time.
 */
class RackWait
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param health Says which workers may get runs; must outlive this object.
     * @param index Workers that can take runs; must outlive this object.
     * @param remoteFactor Factor on the duration of a task away from the rack of its data; no task waits with 1 or less.
     */
    RackWait(const StateTable &state, const WorkerHealth &health, WorkerIndex &index, double remoteFactor);

    /**
     * @brief Starts a placement: forgets what was booked in the one before.
     * @param now Current time of the monotonic clock.
     */
    void begin(core::TimePoint now);

    /**
     * @brief Decides about a task for which a worker has been chosen.
     * @param candidate Step of the task.
     * @param index Index of the task.
     * @param chosen Worker that can take the task now.
     * @param now Current time of the monotonic clock.
     * @return True if the task is not to be started now.
     */
    [[nodiscard]] bool shouldWait(const Candidate &candidate, std::size_t index, const Worker &chosen, core::TimePoint now);

    /**
     * @brief Checks whether a task waited for its rack in the last placement that examined it.
     * @param name Name of the task.
     * @return True if it waits.
     */
    [[nodiscard]] bool isWaiting(const TaskName &name) const;

private:
    /** Change of the free room of a worker that is expected or booked. */
    struct Change {
        double atMs; /**< Time from now in milliseconds. */
        Resources freed; /**< Negative for booked room. */
    };

    struct Wait {
        core::TimePoint since;
        core::TimePoint renewedAt;
    };

    /** Returns the expected changes on a worker in the order of time, with what was booked in this placement. */
    std::vector<Change> &changesOn(const Worker &worker, core::TimePoint now);
    /** Returns the time from now in milliseconds until a demand fits for a duration; infinite if it is not expected to. */
    [[nodiscard]] static double waitMs(const Worker &worker, const std::vector<Change> &changes, const Resources &demand, double durationMs);

    const StateTable &m_state;
    const WorkerHealth &m_health;
    WorkerIndex &m_index;
    double m_remoteFactor;
    std::map<std::string, std::vector<Change>> m_changes; /**< By worker, for the current placement. */
    std::map<TaskName, Wait> m_waits; /**< Tasks that wait for a rack. */
};

} // namespace oleanderwick::jobs

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state_table.hpp"
#include "wait_reason.hpp"

namespace oleanderwick::jobs
{

/** @brief Workers that can take runs, by pool, and what certainly fits on none of them; valid during one placement. */
class WorkerIndex
{
public:
    /**
     * @brief Starts a placement.
     * @param state State of the scheduler; its workers must stay in it during the placement.
     */
    void rebuild(StateTable &state);

    /**
     * @brief Determines what keeps a worker from all starts.
     * @param state State of the scheduler.
     * @param worker Worker to check.
     * @return The first reason; `std::nullopt` if the worker can take runs.
     */
    [[nodiscard]] static std::optional<WaitReason> exclusionOf(const StateTable &state, const Worker &worker) noexcept;

    /**
     * @brief Lists the workers of a pool.
     * @param pool Name of the pool.
     * @return Its schedulable workers that have reported and whose clock is known, in the order of their names.
     */
    [[nodiscard]] const std::vector<Worker *> &workersOf(const std::string &pool);

    /**
     * @brief Checks whether another worker of a pool may be reserved for a suspect.
     * @param pool Name of the pool.
     * @param now Current time of the monotonic clock.
     * @return False if a third of its workers is reserved.
     */
    [[nodiscard]] bool mayReserve(const std::string &pool, core::TimePoint now) const;

    /**
     * @brief Checks whether a demand may fit on a worker.
     * @param pool Name of the pool.
     * @param demand Demand of one task.
     * @return False if it did certainly not fit on any worker of the pool at the start of the placement.
     */
    [[nodiscard]] bool mayFit(const std::string &pool, const Resources &demand) const;

    /**
     * @brief Records that a demand fits on no worker of a pool; this holds until the end of the placement, since it frees no room.
     * @param pool Name of the pool.
     * @param demand Demand of one task.
     */
    void markUnplaceable(const std::string &pool, const Resources &demand);

    /**
     * @brief Checks whether it is known that a demand fits on no worker of a pool.
     * @param pool Name of the pool.
     * @param demand Demand of one task.
     * @return True if this demand, or one that is no larger, was marked.
     */
    [[nodiscard]] bool isUnplaceable(const std::string &pool, const Resources &demand) const;

private:
    std::map<std::string, std::vector<Worker *>> m_workers;
    std::map<std::string, Resources> m_room; /**< Largest free amount of each resource on one worker, by pool, at the start of the placement. */
    std::map<std::string, std::vector<Resources>> m_unplaceable; /**< Demands that fit on no worker, by pool. */
};

} // namespace oleanderwick::jobs

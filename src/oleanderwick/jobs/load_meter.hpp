#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "arrival_rate.hpp"
#include "commands.hpp"
#include "job_estimates.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Measures the load of pools: capacity, running and waiting work, and work that is nearly certain to arrive. */
class LoadMeter
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param estimates Decides which work is late; must outlive this object.
     * @param moveTime Time from the command to move an instance until it is up in its new pool; 0 if instances aren't moved.
     */
    LoadMeter(const StateTable &state, const JobEstimates &estimates, core::Duration moveTime);

    /**
     * @brief Records the arrival of a job.
     * @param job Job that was added and not restored.
     * @param now Current time of the monotonic clock.
     */
    void recordArrival(const Job &job, core::TimePoint now);

    /**
     * @brief Measures the load of all pools, unless that was done a short time ago.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

    /**
     * @brief Replaces the numbers of running continuous tasks that have to leave their workers and fit on no other one; they count as not placed.
     * @param tasks Number of such tasks by pool.
     */
    void setStuckTasks(std::map<std::string, std::int64_t> tasks);

    /** @return Load by pool, without standby pools, as last measured. */
    [[nodiscard]] const std::map<std::string, PoolLoad> &loads() const noexcept;

    /**
     * @brief Checks whether not all jobs of a pool that can meet their objective will do so.
     * @param pool Name of the pool.
     * @return True if their waiting tasks, as last measured, demand clearly more than the CPU of the pool.
     */
    [[nodiscard]] bool isOverloaded(const std::string &pool) const;

    /**
     * @brief Computes the CPU that late work may still occupy in a pool, from the last measurement of loads.
     * @param pool Name of the pool.
     * @param share Part of its CPU that late work may occupy.
     * @return Remaining CPU in thousandths of a core; 0 or less if late work has used up its share.
     */
    [[nodiscard]] std::int64_t cpuForLateWork(const std::string &pool, double share) const;

    /**
     * @brief Computes the present CPU utilization of a pool.
     * @param pool Name of the pool.
     * @return CPU demand of runs divided by the CPU of registered workers that are not cordoned; 0 if they have none.
     */
    [[nodiscard]] double cpuUtilization(const std::string &pool) const;

private:
    /** CPU that the jobs arriving in a pool need, or will need once an instance that is ordered now takes work, if that is more. */
    [[nodiscard]] std::int64_t arrivingCpu(const std::string &pool, core::TimePoint now) const;
    [[nodiscard]] std::map<std::string, PoolLoad> measure(core::TimePoint now, std::int64_t wallMs) const;
    void addOccurrenceLoad(const JobEntry &entry, const Occurrence &occurrence, core::TimePoint now, std::int64_t wallMs, PoolLoad &load) const;

    const StateTable &m_state;
    const JobEstimates &m_estimates;
    core::Duration m_moveTime;
    std::map<std::string, ArrivalRate> m_arrivals; /**< Recently arrived work by pool. */
    std::map<std::string, std::int64_t> m_stuckTasks;
    std::map<std::string, PoolLoad> m_loads;
    core::TimePoint m_measuredAt;
};

} // namespace oleanderwick::jobs

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "../core/core.hpp"
#include "state_table.hpp"
#include "worker_leases.hpp"

namespace oleanderwick::jobs
{

/** @brief Measures what runs of former owners may use that no worker has reported to this one yet. */
class UnreportedUse
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; receives the result. Must outlive this object.
     * @param leases Tell which workers may have unknown runs; must outlive this object.
     */
    UnreportedUse(StateTable &state, const WorkerLeases &leases);

    /**
     * @brief Measures the use of teams with a limit, see `StateTable::setUnreportedUse`.
     * @param now Current time of the monotonic clock.
     */
    void update(core::TimePoint now);

private:
    /** Workers of a pool that have not reported. */
    struct UnreportedWorkers {
        std::int64_t count{0};
        Resources capacity;
        bool isBounded{true}; /**< `capacity` is all that runs on them can take. */
    };

    /** Demand of the runs that a team may have on such workers. */
    struct Demand {
        Resources counted; /**< What counts against the capacity of workers, which bounds it. */
        Resources uncounted; /**< CPU of best-effort tasks, which does not. */
    };

    using Demands = std::map<std::pair<std::string, std::string>, Demand>; /**< By pool and team. */

    [[nodiscard]] std::map<std::string, Resources> measure(const UnknownPools &pools, core::TimePoint now) const;
    [[nodiscard]] UnreportedWorkers unreportedWorkers(const std::string &pool, bool isPoolCertain, core::TimePoint now) const;
    [[nodiscard]] bool isLimited(const std::string &team) const;
    /** Adds the tasks of a job that a former owner may have started. */
    static void addJob(Demand &demand, const JobEntry &entry, std::int64_t workers);
    /** Adds the tasks of a job that has ended; some of its runs may still be stopping. */
    static void addEndedJob(Demand &demand, const EndedJob &job, std::int64_t workers);
    static void addRuns(Demand &demand, const Step &step, std::int64_t runs);

    StateTable &m_state;
    const WorkerLeases &m_leases;
    core::TimePoint m_updatedAt;
    bool m_leasesEnded{false}; /**< No run of a former owner exists any more without having been reported. */
};

} // namespace oleanderwick::jobs

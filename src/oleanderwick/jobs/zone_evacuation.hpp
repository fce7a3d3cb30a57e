#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "load_meter.hpp"
#include "scheduler_output.hpp"
#include "state_table.hpp"
#include "task_evacuation.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Empties closed zones: continuous tasks leave one by one within their availability budgets, once open zones have room for them.
 *
 * Other tasks run to their end.
 */
class ZoneEvacuation
{
public:
    /** @brief Objects that it uses; they must outlive it. */
    struct Collaborators {
        StateTable &state;
        LoadMeter &loads;
        TaskEvacuation &tasks;
        SchedulerOutput &output;
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param collaborators Objects that it uses.
     */
    explicit ZoneEvacuation(const Collaborators &collaborators);

    /** @brief See `Scheduler::setClosedZones`. */
    void setClosedZones(std::set<std::string> zones);

    /** @brief See `Scheduler::evacuateClosedZones`. */
    void advance(core::TimePoint now);

private:
    /** Worker that can take continuous tasks. */
    struct Host {
        const Worker *worker;
        Resources available;
        std::vector<TaskName> reservedFor; /**< Tasks for which part of its capacity was reserved. */
    };
    using Hosts = std::vector<Host>;

    /** Running continuous task in a closed zone. */
    struct Leaver {
        std::string worker;
        TaskName name;
    };

    void evacuatePool(const std::string &pool, const std::vector<Worker *> &closed, core::TimePoint now);
    [[nodiscard]] std::vector<Leaver> findLeavers(const std::vector<Worker *> &closed);
    /** Forgets tasks that have arrived in an open zone or no longer exist. */
    void forgetArrived(const std::string &pool);
    /** Workers of open zones on which a continuous task could be placed, with their free capacity, or all of it that continuous tasks leave. */
    [[nodiscard]] Hosts findHosts(const std::string &pool, bool besideContinuous, core::TimePoint now) const;
    /** Reserves capacity for a task on the first host that can take it; false if there is none. */
    [[nodiscard]] bool reserveHost(Hosts &hosts, const TaskName &name) const;

    Collaborators m_with;
    core::TimePoint m_searchedAt; /**< Time of the last search for tasks that can leave. */
    std::set<TaskName> m_leaving; /**< Continuous tasks that left a closed zone and are not on a worker of an open one yet. */
    std::map<std::string, core::TimePoint> m_waitingSince; /**< Time since which a pool's tasks have found no free room in open zones, by pool. */
    std::map<std::string, std::int64_t> m_stuckTasks; /**< Tasks that no worker of an open zone could take even without its other tasks, by pool. */
    std::set<std::string> m_poolsWithoutRoom; /**< Pools all of whose workers are in closed zones. */
};

} // namespace oleanderwick::jobs

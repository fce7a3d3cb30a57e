#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "table.hpp"

namespace oleanderwick::jobs
{

/** @brief State of the evacuation of closed zones. */
struct ZoneEvacuation {
    /** Worker that can take continuous tasks. */
    struct Host {
        const Worker *worker;
        Resources available;
        std::vector<TaskName> reservedFor; /**< Tasks for which part of its capacity was reserved. */
    };
    using Hosts = std::vector<Host>;

    std::set<std::string> closedZones;
    core::TimePoint checkedAt; /**< Time of the last search for tasks that can leave. */
    std::set<TaskName> leaving; /**< Continuous tasks that left a closed zone and are not on a worker of an open one yet. */
    std::map<std::string, core::TimePoint> waitingSince; /**< Time since which a pool's tasks have found no free room in open zones, by pool. */
    std::map<std::string, std::int64_t> stuckTasks; /**< Continuous tasks that no worker of an open zone could take even without its other tasks, by pool. */
    std::set<std::string> poolsWithoutRoom; /**< Pools all of whose workers are in closed zones. */
};

} // namespace oleanderwick::jobs

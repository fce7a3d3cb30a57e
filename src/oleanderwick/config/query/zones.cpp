#include "zones.hpp"

#include <set>

namespace oleanderwick::config
{

bool acceptsWork(const Document &document, const Instance &instance)
{
    return !instance.leaving && !document.closedZones.contains(instance.zone);
}

std::vector<core::PoolId> poolsWithoutRoom(const Document &document, const std::string &zone)
{
    std::set<core::PoolId> inZone;
    std::set<core::PoolId> elsewhere;
    for (const std::pair<const core::InstanceId, Instance> &entry : document.instances) {
        if (acceptsWork(document, entry.second)) {
            (entry.second.zone == zone ? inZone : elsewhere).insert(entry.second.pool);
        }
    }
    std::vector<core::PoolId> pools;
    for (const core::PoolId &pool : inZone) {
        if (!elsewhere.contains(pool)) {
            pools.push_back(pool);
        }
    }
    return pools;
}

std::map<std::string, ZoneSummary> zoneSummaries(const Document &document)
{
    std::map<std::string, ZoneSummary> zones;
    for (const std::pair<const core::InstanceId, Instance> &entry : document.instances) {
        ++zones[entry.second.zone].instances;
    }
    for (const std::string &zone : document.closedZones) {
        zones[zone].closed = true;
    }
    return zones;
}

} // namespace oleanderwick::config

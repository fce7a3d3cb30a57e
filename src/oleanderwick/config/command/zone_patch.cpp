#include "zone_patch.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include "../query/zones.hpp"

namespace oleanderwick::config
{

namespace internal
{

std::string closedZonesPatch(const std::set<std::string> &zones)
{
    return nlohmann::json{{"closedZones", zones}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace internal

absl::StatusOr<std::string> closeZonePatch(const Document &document, const std::string &zone, bool force)
{
    if (zone.empty()) {
        return absl::InvalidArgumentError("the name of the zone is empty");
    }
    const std::vector<core::PoolId> pools = poolsWithoutRoom(document, zone);
    if (!force && !pools.empty()) {
        const std::string names = absl::StrJoin(pools, ", ", [](std::string *text, const core::PoolId &pool) {
            absl::StrAppend(text, "'", pool.text(), "'");
        });
        return absl::FailedPreconditionError(absl::StrCat("not closed: zone '", zone, "' is the last open zone of ", names, "; --force closes it anyway"));
    }
    std::set<std::string> zones = document.closedZones;
    zones.insert(zone);
    return internal::closedZonesPatch(zones);
}

absl::StatusOr<std::string> openZonePatch(const Document &document, const std::string &zone)
{
    std::set<std::string> zones = document.closedZones;
    if (zones.erase(zone) == 0) {
        return absl::NotFoundError(absl::StrCat("zone '", zone, "' is not closed"));
    }
    return internal::closedZonesPatch(zones);
}

} // namespace oleanderwick::config

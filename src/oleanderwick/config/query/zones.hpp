#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "../document.hpp"

namespace oleanderwick::config
{

/** @brief State of an availability zone. */
struct ZoneSummary {
    std::size_t instances{0}; /**< Number of instances in the zone. */
    bool closed{false};

    [[nodiscard]] bool operator==(const ZoneSummary &) const = default;
};

/**
 * @brief Returns whether an instance may get new work.
 * @param document Document that the instance belongs to.
 * @param instance Instance to check.
 * @return False if the instance is leaving or its zone is closed.
 */
[[nodiscard]] bool acceptsWork(const Document &document, const Instance &instance);

/**
 * @brief Lists the pools that lose their last instance that accepts work when a zone is closed.
 * @param document Document before the zone is closed.
 * @param zone Availability zone; need not exist.
 * @return Pools in the order of their names; a pool without such an instance before is not listed.
 */
[[nodiscard]] std::vector<core::PoolId> poolsWithoutRoom(const Document &document, const std::string &zone);

/**
 * @brief Lists the availability zones.
 * @param document Document to read.
 * @return State by zone: zones of instances, and closed zones without instances.
 */
[[nodiscard]] std::map<std::string, ZoneSummary> zoneSummaries(const Document &document);

} // namespace oleanderwick::config

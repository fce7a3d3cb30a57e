#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "../document.hpp"

namespace oleanderwick::config
{

/**
 * @brief Creates the patch that closes an availability zone.
 * @param document Current document.
 * @param zone Zone to close; it need not have instances yet.
 * @param force True to close it even if a pool has no instance that accepts work afterwards.
 * @return Merge patch; `InvalidArgument` if the zone is empty; `FailedPrecondition` with the names of the pools that would have no
 * instance that accepts work.
 */
[[nodiscard]] absl::StatusOr<std::string> closeZonePatch(const Document &document, const std::string &zone, bool force);

/**
 * @brief Creates the patch that opens an availability zone.
 * @param document Current document.
 * @param zone Zone to open.
 * @return Merge patch, or `NotFound` if the zone is not closed.
 */
[[nodiscard]] absl::StatusOr<std::string> openZonePatch(const Document &document, const std::string &zone);

} // namespace oleanderwick::config

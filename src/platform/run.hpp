#pragma once

#include <absl/status/status.h>

#include "oleanderwick/settings/job_settings.hpp"

namespace oleanderwick::platform
{

/**
 * @brief Runs a node on the platform until SIGTERM or SIGINT has stopped it.
 * @param settings Settings of the node.
 * @return Ok after a stop, or an error if the node cannot listen on one of its addresses.
 */
[[nodiscard]] absl::Status run(const settings::JobSettings &settings);

} // namespace oleanderwick::platform

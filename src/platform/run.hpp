#pragma once

#include <absl/status/status.h>

#include "oleanderwick/settings/job_settings.hpp"

namespace oleanderwick::platform
{

/**
 * @brief Runs a node on the platform until it is asked to stop.
 * @param settings Settings of the node.
 * @return Why it could not run, or ok.
 */
[[nodiscard]] absl::Status run(const settings::JobSettings &settings);

} // namespace oleanderwick::platform

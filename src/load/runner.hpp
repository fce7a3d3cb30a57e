#pragma once

#include <absl/status/statusor.h>

#include "options.hpp"
#include "report.hpp"

namespace oleanderwick::load
{

/**
 * @brief Sends the streams and counts the answers.
 * @param options What to send; every address has to be on loopback.
 * @return The report, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<Report> run(const Options &options);

} // namespace oleanderwick::load

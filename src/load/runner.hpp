#pragma once

#include <absl/status/statusor.h>

#include "options.hpp"
#include "report.hpp"

namespace oleanderwick::load
{

/**
 * @brief Sends the streams of requests and counts the responses; returns when the last one has ended.
 * @param options What to send; every address has to be on loopback.
 * @return Report by stream; `InvalidArgument` without an address, stream or connection, or for an address outside 127.0.0.0/8.
 */
[[nodiscard]] absl::StatusOr<Report> run(const Options &options);

} // namespace oleanderwick::load

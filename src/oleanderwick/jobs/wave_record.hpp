#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "maintenance_controller.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Serializes the progress of a wave for the store.
 * @param progress Progress to serialize.
 * @return JSON text, in which invalid UTF-8 of names is replaced.
 */
[[nodiscard]] std::string toRecord(const WaveProgress &progress);

/**
 * @brief Parses the stored progress of a wave.
 * @param text JSON text that `toRecord` wrote; earlier versions wrote no commanded instances.
 * @return The progress, or `InvalidArgument` if the text is malformed.
 */
[[nodiscard]] absl::StatusOr<WaveProgress> waveProgressFromRecord(const std::string &text);

} // namespace oleanderwick::jobs

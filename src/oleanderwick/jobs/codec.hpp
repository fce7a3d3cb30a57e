#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "model.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Writes a job for the store.
 * @param job Job to write.
 * @return JSON text.
 */
[[nodiscard]] std::string toRecord(const Job &job);

/**
 * @brief Reads a job from the store.
 * @param text JSON text.
 * @return The job, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<Job> jobFromRecord(const std::string &text);

/**
 * @brief Writes a job's progress for the store.
 * @param record Progress to write.
 * @return JSON text.
 */
[[nodiscard]] std::string toRecord(const JobRecord &record);

/**
 * @brief Reads a job's progress from the store.
 * @param text JSON text.
 * @return The progress, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<JobRecord> progressFromRecord(const std::string &text);

} // namespace oleanderwick::jobs

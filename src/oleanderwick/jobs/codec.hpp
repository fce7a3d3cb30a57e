#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "model.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Serializes a job for the store.
 * @param job Job to serialize.
 * @return JSON text, in which invalid UTF-8 of the job's texts is replaced.
 */
[[nodiscard]] std::string toRecord(const Job &job);

/**
 * @brief Parses a stored job.
 * @param text JSON text that `toRecord` wrote.
 * @return The job, or `InvalidArgument` if the text is malformed or the size of a step is out of range.
 */
[[nodiscard]] absl::StatusOr<Job> jobFromRecord(const std::string &text);

/**
 * @brief Serializes a job's progress for the store.
 * @param record Progress to serialize.
 * @return JSON text, in which invalid UTF-8 of checkpoints is replaced.
 */
[[nodiscard]] std::string toRecord(const JobRecord &record);

/**
 * @brief Parses the stored progress of a job.
 * @param text JSON text that `toRecord` wrote.
 * @return The progress, or `InvalidArgument` if the text is malformed or the state is unknown.
 */
[[nodiscard]] absl::StatusOr<JobRecord> progressFromRecord(const std::string &text);

} // namespace oleanderwick::jobs

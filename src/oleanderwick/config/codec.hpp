#pragma once

#include <string>

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include "record.hpp"

namespace oleanderwick::config
{

/**
 * @brief Writes a document as JSON.
 * @param document Document to write.
 * @return JSON object.
 */
[[nodiscard]] nlohmann::json toJson(const Document &document);

/**
 * @brief Reads a document; unknown fields are errors.
 * @param json JSON object.
 * @return The document, or `InvalidArgument` naming each bad field by its path, one a line.
 */
[[nodiscard]] absl::StatusOr<Document> documentFromJson(const nlohmann::json &json);

/**
 * @brief Writes a record as the store keeps it.
 * @param record Record to write.
 * @return JSON text.
 */
[[nodiscard]] std::string toText(const Record &record);

/**
 * @brief Writes the history of a record.
 * @param record Record whose history is written.
 * @return JSON array.
 */
[[nodiscard]] nlohmann::json historyToJson(const Record &record);

/**
 * @brief Reads a record.
 * @param text JSON text.
 * @return The record, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<Record> recordFromText(const std::string &text);

} // namespace oleanderwick::config

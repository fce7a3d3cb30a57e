#pragma once

#include <string>

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include "record.hpp"

namespace oleanderwick::config
{

/**
 * @brief Serializes a document.
 * @param document Document to serialize.
 * @return JSON object with the members `pools`, `instances`, `teams` and `queues`, and `closedZones` if a zone is closed.
 */
[[nodiscard]] nlohmann::json toJson(const Document &document);

/**
 * @brief Parses and validates a document; unknown fields are errors.
 * @param json JSON object; absent optional fields take their defaults.
 * @return The document, or `InvalidArgument` with one line per error, starting with the path of the field.
 */
[[nodiscard]] absl::StatusOr<Document> documentFromJson(const nlohmann::json &json);

/**
 * @brief Serializes a record in the format that is kept in the store.
 * @param record Record to serialize.
 * @return JSON text.
 */
[[nodiscard]] std::string toText(const Record &record);

/**
 * @brief Serializes the history of a record.
 * @param record Record with the history.
 * @return JSON array, oldest change first.
 */
[[nodiscard]] nlohmann::json historyToJson(const Record &record);

/**
 * @brief Parses a record.
 * @param text JSON text as written by `toText`.
 * @return The record, or `InvalidArgument` if the text is malformed or the document invalid.
 */
[[nodiscard]] absl::StatusOr<Record> recordFromText(const std::string &text);

} // namespace oleanderwick::config

#pragma once

#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "../core/core.hpp"
#include "../http/http.hpp"

namespace oleanderwick::node
{

/** @brief What the store keeps for one `Idempotency-Key` of a team on a queue. */
struct KeyedRecord {
    std::string owner; /**< Id of the request that claimed the key. */
    std::string fingerprint; /**< Digest of that request; a repeat has to be the same. */
    std::optional<http::Response> answer; /**< Its answer, once there is one. */

    [[nodiscard]] bool operator==(const KeyedRecord &) const = default;
};

/** @brief Longest body that is kept with a key. */
inline constexpr std::size_t maxKeptBody = 256U << 10U;

/**
 * @brief Gives the name under which a key is kept.
 * @param team Team that shows the key.
 * @param queue Queue of the request.
 * @param key Value of `Idempotency-Key`.
 * @return Hex digest.
 */
[[nodiscard]] std::string keyedName(const core::TeamId &team, const core::QueueId &queue, const std::string &key);

/**
 * @brief Digests what makes two requests the same.
 * @param request Request as it came in.
 * @return Hex digest of method, target and body.
 */
[[nodiscard]] std::string fingerprintOf(const http::Request &request);

/**
 * @brief Writes a record.
 * @param record Record to write; a body that is too long is replaced by a refusal that says so.
 * @return JSON text.
 */
[[nodiscard]] std::string toText(const KeyedRecord &record);

/**
 * @brief Reads a record.
 * @param text JSON text.
 * @return The record, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<KeyedRecord> keyedFromText(const std::string &text);

} // namespace oleanderwick::node

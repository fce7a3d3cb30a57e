#pragma once

#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "../core/core.hpp"
#include "../http/http.hpp"

namespace oleanderwick::node
{

/** @brief Stored record of one `Idempotency-Key` of a team on a queue. */
struct IdempotencyRecord {
    std::string owner; /**< Id of the request that claimed the key; empty if the key was released. */
    std::string fingerprint; /**< Digest of that request; a retry has to have the same. */
    std::optional<http::Response> answer; /**< Response to that request, or std::nullopt while there is none. */

    [[nodiscard]] bool operator==(const IdempotencyRecord &) const = default;
};

/** @brief Maximum size in bytes of a response body that is kept with a key. */
inline constexpr std::size_t maxKeptBody = 256U << 10U;

/**
 * @brief Computes the name under which a key is stored.
 * @param team Team of the caller.
 * @param queue Queue of the request.
 * @param key Value of `Idempotency-Key`.
 * @return 64 hex digits.
 */
[[nodiscard]] std::string idempotencyRecordName(const core::TeamId &team, const core::QueueId &queue, const std::string &key);

/**
 * @brief Computes the digest by which a retry is recognised as the same request.
 * @param request Request as received.
 * @return Hex digest of method, target and body; headers do not count.
 */
[[nodiscard]] std::string fingerprintOf(const http::Request &request);

/**
 * @brief Serializes a record.
 * @param record Record to serialize; a response whose body exceeds `maxKeptBody` is replaced by a 502 response with reason `answer_not_kept`.
 * @return JSON text.
 */
[[nodiscard]] std::string toText(const IdempotencyRecord &record);

/**
 * @brief Parses a record.
 * @param text JSON text as written by `toText`.
 * @return The record, or `InvalidArgument` if the text is malformed.
 */
[[nodiscard]] absl::StatusOr<IdempotencyRecord> idempotencyRecordFromText(const std::string &text);

} // namespace oleanderwick::node

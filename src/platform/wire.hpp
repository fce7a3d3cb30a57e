#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include "oleanderwick/http/message.hpp"
#include "oleanderwick/http/upstream_links.hpp"
#include "oleanderwick/jobs/jobs.hpp"

/** @brief Conversion between the protocol of the Glacierline platform and the project's own types. */
namespace oleanderwick::platform
{

using nlohmann::json;

/** @name Headers of the platform */
/** @{ */
inline constexpr const char *apiKeyHeader = "Api-Key";
inline constexpr const char *timeoutHeader = "X-Deadline-Ms"; /**< Time for which the submitter waits for the response, in milliseconds. */
inline constexpr const char *expectedWorkerHeader = "X-Expect-Instance"; /**< Id of the worker that the call is for, which the platform calls an instance. */
inline constexpr const char *leaseHolderHeader = "X-Lease-Holder";
inline constexpr const char *fencingTokenHeader = "X-Fencing-Token";
/** @} */

/**
 * @brief Parses a JSON object without throwing.
 * @param text Text to parse.
 * @return The object; JSON null if the text is malformed or another type of value.
 */
[[nodiscard]] json parseObject(std::string_view text);

/**
 * @brief Parses a JSON object.
 * @param text Text to parse.
 * @return The object; `InvalidArgument` with a printable reason if the text can't be parsed or is another type of value.
 */
[[nodiscard]] absl::StatusOr<json> readObject(std::string_view text);

/**
 * @brief Reads an integer field; rounds a floating-point number to the nearest integer.
 * @param object Object to read from; JSON null reads as empty.
 * @param name Name of the field.
 * @param fallback Value if the field is missing or of another type.
 * @return The number, or the fallback.
 */
[[nodiscard]] std::int64_t readInteger(const json &object, const char *name, std::int64_t fallback = 0);

/**
 * @brief Reads a string field.
 * @param object Object to read from; JSON null reads as empty.
 * @param name Name of the field.
 * @return The string; empty if the field is missing or of another type.
 */
[[nodiscard]] std::string readString(const json &object, const char *name);

/**
 * @brief Reads a boolean field.
 * @param object Object to read from; JSON null reads as empty.
 * @param name Name of the field.
 * @param fallback Value if the field is missing or of another type.
 * @return The value, or the fallback.
 */
[[nodiscard]] bool readBool(const json &object, const char *name, bool fallback = false);

/**
 * @brief Reads resource amounts: the capacity of a worker, the demand of a task or the limit of a team.
 * @param object Object with the fields `cpu`, `mem_mb` and `gpu`.
 * @return The amounts; 0 for each missing field.
 */
[[nodiscard]] jobs::Resources readResources(const json &object);

/**
 * @brief Prepares an HTTP call with a JSON body.
 * @param address IP address and port of the service.
 * @param method HTTP method.
 * @param target Path and query.
 * @param body Body; JSON null for none.
 * @param timeout Maximum time until the response is complete.
 * @return The exchange, not started yet.
 */
[[nodiscard]] http::Exchange makeExchange(const std::string &address, const char *method, std::string target, const json &body, core::Duration timeout);

/**
 * @brief Checks whether an exchange failed before any byte of the request was sent.
 * @param outcome Outcome of the exchange.
 * @return True if the other side certainly received nothing of the request.
 */
[[nodiscard]] bool certainlyNotSent(routing::ExchangeOutcome outcome) noexcept;

} // namespace oleanderwick::platform

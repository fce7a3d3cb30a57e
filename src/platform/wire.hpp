#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "oleanderwick/http/message.hpp"
#include "oleanderwick/http/upstream_links.hpp"
#include "oleanderwick/jobs/jobs.hpp"

/** @brief Translation between the Glacierline platform's protocol and the project's own types. */
namespace oleanderwick::platform
{

using nlohmann::json;

/** @name Headers of the platform */
/** @{ */
inline constexpr const char *keyHeader = "Api-Key";
inline constexpr const char *deadlineHeader = "X-Deadline-Ms"; /**< Time for which the submitter waits, in milliseconds. */
inline constexpr const char *expectedWorkerHeader = "X-Expect-Instance"; /**< Names a worker, not an instance in our sense. */
inline constexpr const char *holderHeader = "X-Lease-Holder";
inline constexpr const char *tokenHeader = "X-Fencing-Token";
/** @} */

/**
 * @brief Parses a JSON object without throwing.
 * @param text Text to parse.
 * @return The object; null if the text is no object.
 */
[[nodiscard]] json parseObject(std::string_view text);

/**
 * @brief Reads a whole number.
 * @param object Object that may hold it.
 * @param name Name of the field.
 * @param otherwise Value if the field is missing or of another type.
 * @return The number.
 */
[[nodiscard]] std::int64_t numberIn(const json &object, const char *name, std::int64_t otherwise = 0);

/**
 * @brief Reads a text.
 * @param object Object that may hold it.
 * @param name Name of the field.
 * @return The text; empty if the field is missing or of another type.
 */
[[nodiscard]] std::string textIn(const json &object, const char *name);

/**
 * @brief Reads a truth value.
 * @param object Object that may hold it.
 * @param name Name of the field.
 * @param otherwise Value if the field is missing or of another type.
 * @return The value.
 */
[[nodiscard]] bool flagIn(const json &object, const char *name, bool otherwise = false);

/**
 * @brief Reads what a worker has, a task takes, or a team may have running.
 * @param object Object with the platform's names of the parts.
 * @return The amounts; parts that are missing are 0.
 */
[[nodiscard]] jobs::Resources resourcesIn(const json &object);

/**
 * @brief Makes a call with a JSON body.
 * @param address IP number and port.
 * @param method Method.
 * @param target Path and query.
 * @param body Body; null for none.
 * @param timeout Longest time until the whole answer.
 * @return The exchange.
 */
[[nodiscard]] http::Exchange makeExchange(const std::string &address, const char *method, std::string target, const json &body, core::Duration timeout);

/**
 * @brief Tells whether nothing of a call reached the other side.
 * @param end How the exchange ended.
 * @return True if it is certain.
 */
[[nodiscard]] bool nothingSent(routing::ExchangeOutcome end) noexcept;

} // namespace oleanderwick::platform

#pragma once

#include <cstddef>
#include <string_view>

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace oleanderwick::core
{

/** @brief Levels of arrays and objects that a JSON text may have; copying, comparing and writing a value recurse once a level. */
inline constexpr std::size_t maxJsonDepth = 48;
/** @brief Values that a JSON text may have together, since a value of two bytes takes many times its size in memory. */
inline constexpr std::size_t maxJsonValues = 400'000;

/**
 * @brief Parses a JSON text that may come from anyone; the value is safe to copy, to compare, to write and to convert to 64-bit integers.
 * @param text Text to parse.
 * @param maxValues Number of values, including arrays and objects, that it may have.
 * @return The value; `InvalidArgument` with a printable reason if the text is malformed, nested deeper than `maxJsonDepth` levels, has more than
 * `maxJsonValues` values, or contains a number that a signed 64-bit integer or a finite floating-point number of that range can't hold.
 */
[[nodiscard]] absl::StatusOr<nlohmann::json> parseJson(std::string_view text, std::size_t maxValues = maxJsonValues);

/**
 * @brief Parses a JSON text like `parseJson()`, for readers to which the reason does not matter.
 * @param text Text to parse.
 * @param maxValues Number of values, including arrays and objects, that it may have.
 * @return The value; a discarded value, which is of no type, if the text can't be parsed.
 */
[[nodiscard]] nlohmann::json parseJsonOrDiscard(std::string_view text, std::size_t maxValues = maxJsonValues);

} // namespace oleanderwick::core

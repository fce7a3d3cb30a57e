#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace oleanderwick::store
{

/**
 * @brief Encodes bytes in standard base64 with padding.
 * @param bytes Bytes to encode.
 * @return The text.
 */
[[nodiscard]] std::string toBase64(std::string_view bytes);

/**
 * @brief Decodes standard base64 with padding.
 * @param text Text to decode.
 * @return The bytes, or nothing if the text is malformed.
 */
[[nodiscard]] std::optional<std::string> fromBase64(std::string_view text);

/**
 * @brief Gives the end of the range of all keys with a prefix.
 * @param prefix Start of the keys.
 * @return First key after them.
 */
[[nodiscard]] std::string prefixEnd(std::string prefix);

} // namespace oleanderwick::store

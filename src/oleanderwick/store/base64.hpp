#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace oleanderwick::store
{

/**
 * @brief Encodes bytes in standard base64 with padding.
 * @param bytes Bytes to encode.
 * @return The encoded text.
 */
[[nodiscard]] std::string toBase64(std::string_view bytes);

/**
 * @brief Decodes standard base64 with padding.
 * @param text Text to decode.
 * @return The bytes, or `std::nullopt` if the text is malformed.
 */
[[nodiscard]] std::optional<std::string> fromBase64(std::string_view text);

/**
 * @brief Computes the exclusive end of the key range that has a prefix.
 * @param prefix Prefix of the keys.
 * @return First key after the range; a single zero byte, which etcd reads as unbounded, if the prefix is empty or all bytes are 0xFF.
 */
[[nodiscard]] std::string prefixEnd(std::string prefix);

} // namespace oleanderwick::store

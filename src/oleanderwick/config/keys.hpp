#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "document.hpp"

namespace oleanderwick::config
{

/** @brief API key as a caller sends it, in the form `id.secret`. */
struct PresentedKey {
    core::KeyId id; /**< Public part. */
    std::string secret; /**< Secret part, known to the caller only. */

    [[nodiscard]] bool operator==(const PresentedKey &) const = default;
};

/**
 * @brief Splits an API key into id and secret.
 * @param text Text after `Bearer `.
 * @return The key, or std::nullopt if the text is malformed or longer than 256 characters.
 */
[[nodiscard]] std::optional<PresentedKey> parseKey(std::string_view text);

/**
 * @brief Computes the SHA-256 hash of a text.
 * @param text Text to hash, such as the secret part of a key.
 * @return 64 lower-case hex digits.
 */
[[nodiscard]] std::string sha256Hex(std::string_view text);

/**
 * @brief Compares the hash of a secret with a stored hash in constant time.
 * @param secret Secret part of a caller's key, or an operator's whole key.
 * @param hash Stored hash in lower-case hex digits.
 * @return True if it is the hash of the secret.
 */
[[nodiscard]] bool matchesHash(std::string_view secret, std::string_view hash);

/**
 * @brief Generates 32 random bytes from the system's random source, for secrets and unique ids.
 * @return The bytes as 64 lower-case hex digits.
 */
[[nodiscard]] std::string randomHex();

} // namespace oleanderwick::config

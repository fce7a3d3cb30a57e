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
 * @brief Computes the SHA-256 digest of a secret.
 * @param secret Secret part of a key.
 * @return 64 lower-case hex digits.
 */
[[nodiscard]] std::string hashSecret(std::string_view secret);

/**
 * @brief Compares a secret with a stored digest in constant time.
 * @param secret Secret part of a key.
 * @param hash Stored digest in hex digits.
 * @return True if it is the digest of the secret.
 */
[[nodiscard]] bool matchesHash(std::string_view secret, std::string_view hash);

/**
 * @brief Generates a secret from the system's random source.
 * @return Hex digits of 32 random bytes.
 */
[[nodiscard]] std::string makeSecret();

} // namespace oleanderwick::config

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "document.hpp"

namespace oleanderwick::config
{

/** @brief Key as its holder shows it: `id.secret`. */
struct PresentedKey {
    core::KeyId id; /**< Public part. */
    std::string secret; /**< Part that only the holder knows. */

    [[nodiscard]] bool operator==(const PresentedKey &) const = default;
};

/**
 * @brief Splits the text of a key.
 * @param text Text after `Bearer `.
 * @return The key, or nothing if the text has not that form.
 */
[[nodiscard]] std::optional<PresentedKey> parseKey(std::string_view text);

/**
 * @brief Digests a secret for the configuration.
 * @param secret Secret part of a key.
 * @return 64 lower-case hex digits.
 */
[[nodiscard]] std::string hashSecret(std::string_view secret);

/**
 * @brief Compares a secret with a stored digest in constant time.
 * @param secret Secret part of a key.
 * @param hash Digest as stored.
 * @return True if they belong together.
 */
[[nodiscard]] bool matchesHash(std::string_view secret, std::string_view hash);

/**
 * @brief Makes a secret from the system's random source.
 * @return Hex digits of 32 random bytes.
 */
[[nodiscard]] std::string makeSecret();

} // namespace oleanderwick::config

#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "../membership/membership.hpp"

namespace oleanderwick::peer
{

/** @brief Version of the messages between peers; another one is refused. */
inline constexpr int messageVersion = 1;

/**
 * @brief Writes a digest for a peer.
 * @param digest Digest to write.
 * @return JSON text.
 */
[[nodiscard]] std::string toText(const membership::Digest &digest);

/**
 * @brief Reads a digest.
 * @param text JSON text from a peer.
 * @return The digest, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<membership::Digest> digestFromText(const std::string &text);

} // namespace oleanderwick::peer

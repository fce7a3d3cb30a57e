#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "../membership/membership.hpp"

namespace oleanderwick::peer
{

/** @brief Version of the messages between peers; digests of other versions are rejected. */
inline constexpr int messageVersion = 1;

/**
 * @brief Serializes a digest for a peer.
 * @param digest Digest to serialize.
 * @return JSON text.
 */
[[nodiscard]] std::string toText(const membership::Digest &digest);

/**
 * @brief Parses a digest.
 * @param text JSON text from a peer.
 * @return The digest, or `InvalidArgument` if the text is malformed or of another message version.
 */
[[nodiscard]] absl::StatusOr<membership::Digest> digestFromText(const std::string &text);

} // namespace oleanderwick::peer

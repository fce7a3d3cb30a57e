#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "../record.hpp"

namespace oleanderwick::config
{

/** @brief Format of the body of a patch. */
enum class PatchFormat : std::uint8_t {
    JsonPatch, /**< RFC 6902, `application/json-patch+json`. */
    MergePatch, /**< RFC 7396, `application/merge-patch+json`. */
};

/** @brief Change that an operator requests to one version of the configuration. */
struct Patch {
    std::string id; /**< Identifier chosen by the client; retries repeat it, so that the patch is applied once. */
    std::string author; /**< Name of the operator. */
    Version base{}; /**< Version that the patch is based on. */
    PatchFormat format{PatchFormat::MergePatch};
    std::string body; /**< JSON text in the given format. */

    [[nodiscard]] bool operator==(const Patch &) const = default;
};

/**
 * @brief Applies a patch to a record, either completely or not at all.
 * @param record Current record.
 * @param patch Patch to apply.
 * @return The record of the next version; the unchanged record if its history contains the patch already; `FailedPrecondition` if
 * the patch is based on another version; `InvalidArgument` with one line per invalid field.
 */
[[nodiscard]] absl::StatusOr<Record> applyPatch(const Record &record, const Patch &patch);

} // namespace oleanderwick::config

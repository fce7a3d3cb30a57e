#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "../record.hpp"

namespace oleanderwick::config
{

/** @brief Form of a patch's body. */
enum class PatchFormat : std::uint8_t {
    JsonPatch, /**< RFC 6902, `application/json-patch+json`. */
    MergePatch, /**< RFC 7396, `application/merge-patch+json`. */
};

/** @brief Operator's change against one numbered configuration. */
struct Patch {
    std::string id; /**< The writer's own mark; the same when sent again. */
    std::string author; /**< Operator who sent it. */
    Version base{}; /**< Number it is made against. */
    PatchFormat format{PatchFormat::MergePatch};
    std::string body; /**< JSON text. */

    [[nodiscard]] bool operator==(const Patch &) const = default;
};

/**
 * @brief Applies a patch to a record.
 * @param record Record in force.
 * @param patch Patch to apply.
 * @return The next record; the record itself if it holds the patch already; `FailedPrecondition` if the number has moved on;
 * `InvalidArgument` naming each bad field. Nothing is applied in part.
 */
[[nodiscard]] absl::StatusOr<Record> applyPatch(const Record &record, const Patch &patch);

} // namespace oleanderwick::config

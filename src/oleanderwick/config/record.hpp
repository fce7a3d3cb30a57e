#pragma once

#include <string>
#include <vector>

#include "document.hpp"
#include "fwd.hpp"

namespace oleanderwick::config
{

/** @brief History entry of one accepted patch. */
struct Change {
    Version version{}; /**< Version that the patch created. */
    std::string patchId; /**< Identifier of the patch, by which a retry is recognised. */
    std::string author; /**< Name of the operator who sent the patch. */
    std::vector<std::string> paths; /**< Changed paths of the document; the first 16, followed by `...` if there are more. */

    [[nodiscard]] bool operator==(const Change &) const = default;
};

/** @brief Stored configuration: a document, its version and the latest changes. */
struct Record {
    Version version{}; /**< Version of the document. */
    Document document; /**< Configuration of this version. */
    std::vector<Change> history; /**< Latest changes, oldest first. */

    [[nodiscard]] bool operator==(const Record &) const = default;
};

/** @brief Maximum number of changes in the history of a record. */
inline constexpr std::size_t maxHistory = 128;

/**
 * @brief Looks up the history entry of a patch.
 * @param record Record to search.
 * @param patchId Identifier of the patch.
 * @return The entry, or null if the history does not contain the patch.
 */
[[nodiscard]] const Change *findChange(const Record &record, const std::string &patchId) noexcept;

} // namespace oleanderwick::config

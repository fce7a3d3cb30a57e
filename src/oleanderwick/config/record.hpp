#pragma once

#include <string>
#include <vector>

#include "document.hpp"
#include "fwd.hpp"

namespace oleanderwick::config
{

/** @brief One accepted patch, as the history shows it. */
struct Change {
    Version version{}; /**< Number that the patch made. */
    std::string patchId; /**< The writer's own mark, by which a repeat is recognised. */
    std::string author; /**< Operator who sent it. */
    std::vector<std::string> paths; /**< Paths of the document that it changed. */

    [[nodiscard]] bool operator==(const Change &) const = default;
};

/** @brief What the store holds: a document, its number and the latest changes. */
struct Record {
    Version version{}; /**< Number of the document. */
    Document document; /**< The configuration itself. */
    std::vector<Change> history; /**< Latest changes, oldest first. */

    [[nodiscard]] bool operator==(const Record &) const = default;
};

/** @brief Most changes kept in a record. */
inline constexpr std::size_t maxHistory = 128;

/**
 * @brief Finds the change that a patch made.
 * @param record Record to search.
 * @param patchId The writer's mark.
 * @return The change, or null if the record does not hold it.
 */
[[nodiscard]] const Change *findChange(const Record &record, const std::string &patchId) noexcept;

} // namespace oleanderwick::config

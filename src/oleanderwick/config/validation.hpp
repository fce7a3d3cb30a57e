#pragma once

#include <string>
#include <vector>

#include "document.hpp"

namespace oleanderwick::config
{

/**
 * @brief Checks references between the parts of a document, addresses, key hashes, value ranges, names of closed zones, and that addresses and key ids are
 * unique.
 * @param document Document to check.
 * @return One line per error, starting with the path of the field; empty if the document is valid.
 */
[[nodiscard]] std::vector<std::string> validate(const Document &document);

} // namespace oleanderwick::config

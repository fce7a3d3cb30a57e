#pragma once

#include <string>
#include <vector>

#include "document.hpp"

namespace oleanderwick::config
{

/**
 * @brief Checks what a document's parts owe each other.
 * @param document Document to check.
 * @return One text for each error, with the path of the bad field; empty when the document is sound.
 */
[[nodiscard]] std::vector<std::string> validate(const Document &document);

} // namespace oleanderwick::config

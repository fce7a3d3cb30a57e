#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace oleanderwick::jobnode
{

/** @brief Value of the owner's key. */
struct OwnerRecord {
    std::string name; /**< Name of the node, unique to one run of its process. */
    std::int64_t lease{0}; /**< Lease that the key is bound to. */
    std::string address; /**< Address for notices; empty if the owner takes none. */

    [[nodiscard]] bool operator==(const OwnerRecord &) const = default;
};

/**
 * @brief Formats the value of the owner's key.
 * @param record Owner; its address contains no slash.
 * @return `NAME/LEASE`, followed by `/ADDRESS` if there is one.
 */
[[nodiscard]] std::string toText(const OwnerRecord &record);

/**
 * @brief Parses the value of the owner's key.
 * @param text Value.
 * @return The owner; without an address if the text has none or cannot be parsed.
 */
[[nodiscard]] OwnerRecord ownerFromText(std::string_view text);

} // namespace oleanderwick::jobnode

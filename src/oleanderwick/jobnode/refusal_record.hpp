#pragma once

#include <cstdint>
#include <string>

#include "../jobs/ports.hpp"

namespace oleanderwick::jobnode
{

/** @brief Record of a refused job, kept under `keys::refusalPrefix` while an earlier attempt to store the job may still take effect. */
struct RefusalRecord {
    std::int64_t firstMs{0}; /**< Unix time of the first refusal; 0 if it is unknown. */
    std::int64_t revision{0}; /**< Store revision of the record; 0 if there is none. */

    [[nodiscard]] bool operator==(const RefusalRecord &) const = default;
};

/**
 * @brief Serializes the record of a refusal; the revision is not part of the text.
 * @param record Record to serialize.
 * @return JSON text.
 */
[[nodiscard]] std::string toText(const RefusalRecord &record);

/**
 * @brief Parses the record of a refusal.
 * @param item Item of the store.
 * @return The record; without the time of the first refusal if the value is malformed, since its existence and revision still count.
 */
[[nodiscard]] RefusalRecord refusalFromItem(const jobs::StoreItem &item);

} // namespace oleanderwick::jobnode

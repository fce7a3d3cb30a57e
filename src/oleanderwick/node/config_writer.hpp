#pragma once

#include "../store/store.hpp"
#include "messages.hpp"
#include "store_keys.hpp"

namespace oleanderwick::node
{

/** @brief Configuration record with its revision in the store. */
struct StoredRecord {
    config::Record record;
    store::Revision revision{};
};

/**
 * @brief Reads the configuration record.
 * @param store Store to read.
 * @param keys Store keys of the fleet.
 * @return The record, an empty one with revision 0 if there is none yet, or the error of the store or of `recordFromText`.
 */
[[nodiscard]] absl::StatusOr<StoredRecord> readConfig(store::Store &store, const StoreKeys &keys);

/**
 * @brief Writes a patch to the store; applied at most once, even if replies of the store are lost.
 * @param store Store to write.
 * @param keys Store keys of the fleet.
 * @param patch Operator's patch.
 * @param accepted Set to the current record if the outcome is `Accepted`.
 * @return Outcome of the patch.
 */
[[nodiscard]] PatchOutcome writePatch(store::Store &store, const StoreKeys &keys, const config::Patch &patch, config::Record &accepted);

} // namespace oleanderwick::node

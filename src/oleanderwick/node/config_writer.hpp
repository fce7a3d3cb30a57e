#pragma once

#include "../store/store.hpp"
#include "messages.hpp"
#include "store_keys.hpp"

namespace oleanderwick::node
{

/** @brief Configuration record with the revision at which the store holds it. */
struct StoredRecord {
    config::Record record;
    store::Revision revision{};
};

/**
 * @brief Reads the configuration record.
 * @param store Store to read.
 * @param keys Keys in use.
 * @return The record, the empty one if there is none yet, or an error.
 */
[[nodiscard]] absl::StatusOr<StoredRecord> readConfig(store::Store &store, const StoreKeys &keys);

/**
 * @brief Has a patch accepted by the store, once, whatever answers are lost.
 * @param store Store to write.
 * @param keys Keys in use.
 * @param patch Operator's patch.
 * @param accepted Set to the record in force when the patch is in it.
 * @return What became of it.
 */
[[nodiscard]] PatchOutcome writePatch(store::Store &store, const StoreKeys &keys, const config::Patch &patch, config::Record &accepted);

} // namespace oleanderwick::node

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "../allotment/allotment.hpp"
#include "../config/config.hpp"
#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::membership
{

/** @brief What a node tells a peer about itself, as often as the settings say. */
struct Digest {
    core::NodeId node; /**< Sender; unique for one run of its process. */
    std::uint64_t sequence{}; /**< Grows with every digest of the sender. */
    config::Version version{}; /**< Number of the sender's configuration. */
    bool leaving{false}; /**< The sender is stopping. */
    std::int64_t storeAgeMs{}; /**< Time since the sender last heard from the store, in milliseconds. */
    std::vector<core::NodeId> alive; /**< Nodes that the sender counts as alive. */
    std::vector<allotment::TeamDemand> demands; /**< What runs and waits on the sender. */
    std::vector<allotment::PermitRequest> wants; /**< Rights that the sender lacks. */
    std::vector<std::uint64_t> sequences; /**< Sequence of each shard of the ledger as the sender knows it. */

    [[nodiscard]] bool operator==(const Digest &) const = default;
};

} // namespace oleanderwick::membership

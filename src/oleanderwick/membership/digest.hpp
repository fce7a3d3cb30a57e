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

/** @brief State of a node that it sends to its peers at the configured interval. */
struct Digest {
    core::NodeId node; /**< Name of the sender, unique to one run of its process. */
    std::uint64_t sequence{}; /**< Increases with every digest of the sender. */
    config::Version version{}; /**< Version of the sender's configuration. */
    bool leaving{false}; /**< The sender is shutting down. */
    std::int64_t storeAgeMs{}; /**< Time since the sender's last direct contact with the store, in milliseconds. */
    std::vector<core::NodeId> alive; /**< Nodes that the sender considers alive, itself included. */
    std::vector<allotment::TeamDemand> demands; /**< Running and waiting requests on the sender, by pool and team. */
    std::vector<allotment::PermitRequest> permitRequests; /**< Permits that the sender lacks. */
    std::vector<std::uint64_t> ledgerSequences; /**< Sequence number of each shard of the quota ledger, as known to the sender. */

    [[nodiscard]] bool operator==(const Digest &) const = default;
};

} // namespace oleanderwick::membership

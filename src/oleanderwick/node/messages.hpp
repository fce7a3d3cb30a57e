#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "../allotment/allotment.hpp"
#include "../config/config.hpp"
#include "../dispatch/dispatch.hpp"
#include "../maintenance/maintenance.hpp"
#include "../membership/membership.hpp"
#include "../telemetry/telemetry.hpp"
#include "fwd.hpp"

namespace oleanderwick::node
{

/** @brief Periodic event that advances the time of the dispatcher. */
struct Tick {
};

/** @brief This node has a configuration of a later version. */
struct ConfigUpdated {
    config::SnapshotPtr snapshot;
};

/** @brief A peer sent its digest. */
struct PeerDigestReceived {
    membership::Digest digest;
};

/** @brief A peer replied to this node's digest. */
struct PeerReplyReceived {
    membership::Digest digest;
    core::TimePoint sentAt; /**< Time at which this node's digest was sent. */
};

/** @brief A read of a ledger shard has completed. */
struct LedgerReadDone {
    std::size_t shard{};
    std::optional<allotment::StoredLedger> stored; /**< std::nullopt if the shard could not be read or parsed. */
};

/** @brief A write of a ledger shard has completed or failed. */
struct LedgerWriteDone {
    std::size_t shard{};
    allotment::WriteOutcome outcome{allotment::WriteOutcome::Unknown};
    std::optional<allotment::StoredLedger> current; /**< Stored ledger after the call, if known. */
};

/** @brief The store confirmed this node's lease and the configuration's revision. */
struct StoreContacted {
    core::TimePoint sentAt; /**< Time at which the calls were started. */
};

/** @brief List of nodes that are registered in the store. */
struct RegisteredNodes {
    std::set<core::NodeId> nodes;
};

/** @brief Instances that get no new work because of maintenance. */
struct OutOfService {
    std::set<core::InstanceId> instances;
};

/** @brief The node is to accept no more requests and to return its permits as they become unused. */
struct Leave {
};

/** @brief The thread of the duty is to end. */
struct Quit {
};

/** @brief Event for the decision duty. */
using DecisionEvent = std::variant<Tick,
                                   Quit,
                                   Leave,
                                   dispatch::Arrival,
                                   dispatch::AttemptResult,
                                   ConfigUpdated,
                                   PeerDigestReceived,
                                   PeerReplyReceived,
                                   LedgerReadDone,
                                   LedgerWriteDone,
                                   StoreContacted,
                                   RegisteredNodes,
                                   OutOfService>;

/** @brief Outcome of an operator's patch. */
struct PatchOutcome {
    /** @brief Kind of outcome. */
    enum class Kind : std::uint8_t {
        Accepted, /**< The patch is part of the configuration. */
        Conflict, /**< The patch is based on another version than the current one. */
        Invalid, /**< The patch is invalid and was not applied. */
        NotApplied, /**< Not applied: the store could not be reached, or other writes came first in every attempt. */
        Unknown, /**< The patch may have been applied; send it again with the same id. */
    };

    Kind kind{Kind::NotApplied};
    config::Version version{}; /**< Version that an accepted patch created, otherwise the current one; 0 if unknown. */
    std::string detail; /**< Error message, if there is one. */
};

/** @brief Task of the store duty to apply an operator's patch. */
struct PatchTask {
    config::Patch patch;
    std::function<void(PatchOutcome)> done;
};

/** @brief Task of the store duty to apply an operator's change to the waves. */
struct WaveTask {
    std::function<absl::StatusOr<maintenance::WaveList>(maintenance::WaveList)>
        change; /**< May be called again after a conflicting write or an error of the store. */
    std::function<void(absl::StatusOr<maintenance::WaveList>)> done;
};

/** @brief Task of the store duty. */
using StoreTask = std::variant<Quit, allotment::LedgerRead, allotment::LedgerWrite, PatchTask, WaveTask>;

/** @brief Item of the telemetry duty. */
using TelemetryItem = std::variant<Quit, dispatch::Completion, telemetry::Event>;

/** @brief Ring of the decision duty. */
using DecisionRing = core::BoundedRing<DecisionEvent>;
/** @brief Number of queued events from which ticks and digests sent by peers are dropped; the remaining capacity is for other events. */
inline constexpr std::size_t maxQueuedBeforeDrop = 1024;
/** @brief Ring of the store duty. */
using StoreRing = core::BoundedRing<StoreTask>;
/** @brief Ring of the telemetry duty. */
using TelemetryRing = core::BoundedRing<TelemetryItem>;

} // namespace oleanderwick::node

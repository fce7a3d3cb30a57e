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

/** @brief Time has passed. */
struct Tick {
};

/** @brief A larger configuration is in force on this node. */
struct ConfigArrived {
    config::SnapshotPtr snapshot;
};

/** @brief A peer sent its digest. */
struct PeerHeard {
    membership::Digest digest;
};

/** @brief A peer answered this node's digest. */
struct PeerReplied {
    membership::Digest digest;
    core::TimePoint sentAt;
};

/** @brief A shard of the ledger was read. */
struct LedgerReadDone {
    std::size_t shard{};
    std::optional<allotment::StoredLedger> stored;
};

/** @brief A write of a shard has ended. */
struct LedgerWriteDone {
    std::size_t shard{};
    allotment::WriteOutcome end{allotment::WriteOutcome::Unknown};
    std::optional<allotment::StoredLedger> current;
};

/** @brief The store confirmed this node's lease and the configuration's number. */
struct StoreHeard {
    core::TimePoint sentAt;
};

/** @brief Nodes that are registered in the store. */
struct NodesSeen {
    std::set<core::NodeId> nodes;
};

/** @brief Instances that get no new work because of maintenance. */
struct OutOfService {
    std::set<core::InstanceId> instances;
};

/** @brief The node gives back its rights when its work has ended. */
struct Leave {
};

/** @brief The duty ends. */
struct Quit {
};

/** @brief What the decision duty takes. */
using DecisionEvent = std::variant<Tick,
                                   Quit,
                                   Leave,
                                   dispatch::Arrival,
                                   dispatch::AttemptResult,
                                   ConfigArrived,
                                   PeerHeard,
                                   PeerReplied,
                                   LedgerReadDone,
                                   LedgerWriteDone,
                                   StoreHeard,
                                   NodesSeen,
                                   OutOfService>;

/** @brief Outcome of an operator's patch. */
struct PatchOutcome {
    /** @brief What became of it. */
    enum class Kind : std::uint8_t {
        Accepted,
        Conflict, /**< The number has moved on. */
        Invalid, /**< Nothing was applied. */
        NotApplied, /**< The store could not be asked. */
        Unknown, /**< It may be in force; send it again with the same id. */
    };

    Kind kind{Kind::NotApplied};
    config::Version version{}; /**< Number in force, as far as known. */
    std::string detail;
};

/** @brief Operator's patch on its way to the store. */
struct PatchTask {
    config::Patch patch;
    std::function<void(PatchOutcome)> done;
};

/** @brief Operator's change of the waves on its way to the store. */
struct WaveTask {
    std::function<absl::StatusOr<maintenance::WaveList>(maintenance::WaveList)> change; /**< May be called again after a race. */
    std::function<void(absl::StatusOr<maintenance::WaveList>)> done;
};

/** @brief What the store duty takes. */
using StoreTask = std::variant<Quit, allotment::LedgerRead, allotment::LedgerWrite, PatchTask, WaveTask>;

/** @brief What the telemetry duty takes. */
using TelemetryItem = std::variant<Quit, dispatch::Completion, telemetry::Event>;

/** @brief Ring of the decision duty. */
using DecisionRing = core::BoundedRing<DecisionEvent>;
/** @brief Events that come by themselves are dropped while the decision ring holds this many; the room is the requests'. */
inline constexpr std::size_t mostBeforeDrops = 1024;
/** @brief Ring of the store duty. */
using StoreRing = core::BoundedRing<StoreTask>;
/** @brief Ring of the telemetry duty. */
using TelemetryRing = core::BoundedRing<TelemetryItem>;

} // namespace oleanderwick::node

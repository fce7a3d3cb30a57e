#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace oleanderwick::jobs
{

/**
 * @brief Why a task that is ready has no run, in the order in which a placement checks the conditions.
 *
 * From `Unlisted` to `NoRoom` the reason concerns one worker; that of a step is then the one of the worker that comes closest to a start.
 */
enum class WaitReason : std::uint8_t {
    NotDue, /**< No occurrence of the job is due. */
    Unopened, /**< There are too many open tasks; another task of the job comes first. */
    Command, /**< A start or a stop has no final reply yet. */
    FormerRuns, /**< Runs of a former owner in the pool may be unknown. */
    BackOff, /**< The task is not started again before some time has passed. */
    Verdict, /**< The task may crash workers, and the fate of one is unknown or not stored. */
    UnsoundTurn, /**< Another unsound task of the job is running. */
    TeamLimit, /**< The team would exceed its limit. */
    NoWorker, /**< The pool has no worker. */
    Unlisted, /**< The worker is not in the registry any more. */
    Draining, /**< The worker is leaving. */
    ZoneClosed, /**< Operators have closed the worker's zone. */
    Cordoned, /**< The worker is about to be maintained or moved. */
    Silent, /**< The worker has not replied to the last poll. */
    Unreported, /**< The worker has not reported in this term. */
    ClockUnknown, /**< The time of the worker's clock is unknown. */
    NotStored, /**< The stored list of used workers lacks the worker. */
    Label, /**< The worker lacks the label that the step requires. */
    TooSmall, /**< The worker's capacity is below the demand. */
    Quarantined, /**< The worker failed or refused, and is kept from starts or probed with one run. */
    JobFailures, /**< Tasks of the job have just failed on the worker. */
    WorkerLimit, /**< The worker has as many tasks of the step as it may have. */
    Spread, /**< The worker would have more than half of a new continuous step. */
    Ticket, /**< There is no valid ticket for the worker. */
    Reserved, /**< The worker is reserved for a suspect. */
    StrayRuns, /**< Runs that belong to no task take up the room, or an unknown part of it. */
    Promised, /**< The room is promised to tasks for which late work was stopped. */
    NoRoom, /**< Other runs take up the room. */
    GangRoom, /**< There is room for a part of the gang only. */
    Isolation, /**< The task may crash its worker, and none can be isolated for it. */
    Retry, /**< The task failed, and waits for a worker that has proved sound. */
    RackWait, /**< The task waits for room on the rack of its data. */
    Order, /**< A worker has room: other tasks come first, or the next placement starts it. */
};

/** Number of reasons. */
inline constexpr std::size_t waitReasonCount = static_cast<std::size_t>(WaitReason::Order) + 1;

/** Number of examined waits by reason, indexed by `WaitReason`. */
using WaitCounts = std::array<std::uint64_t, waitReasonCount>;

/**
 * @brief Returns the name of a reason.
 * @param reason The reason.
 * @return The name in snake case, as in the log and in the metrics.
 */
[[nodiscard]] std::string_view toText(WaitReason reason) noexcept;

} // namespace oleanderwick::jobs

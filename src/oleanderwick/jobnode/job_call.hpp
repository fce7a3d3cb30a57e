#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "job_service.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

inline constexpr core::Duration minRetryDelay = std::chrono::milliseconds{40};
/** Conflicts with records of refusals after which a submission waits before it is repeated, or a refusal is given up. */
inline constexpr int maxImmediateRepeats = 3;

/** Returns the item of a key, or null if the reply has none. */
inline const jobs::StoreItem *findItem(const jobs::StoreReply &reply, const std::string &key)
{
    const auto item = std::find_if(reply.items.begin(), reply.items.end(), [&key](const jobs::StoreItem &candidate) {
        return candidate.key == key;
    });
    return item == reply.items.end() ? nullptr : &*item;
}

/** Returns the team of a stored job, or nothing if the record can't be read. */
inline std::optional<std::string> teamOf(const jobs::StoreItem &item)
{
    absl::StatusOr<jobs::Job> job = jobs::jobFromRecord(item.value);
    return job.ok() ? std::optional<std::string>{std::move(job->team)} : std::nullopt;
}

/** Checks whether a caller may see and cancel a job; those of queues that are open to all belong to whoever knows the id. */
inline bool mayAccess(const std::string &team, const std::optional<std::string> &jobTeam)
{
    return jobTeam.has_value() && (jobTeam->empty() || *jobTeam == team);
}

} // namespace internal

/** @brief Call of a submitter in progress. */
struct JobService::Call {
    std::string kind;
    std::string id; /**< Id of the job; name of the queue for a call of pending(). */
    jobs::StoreChange change;
    std::int64_t revision{0}; /**< Store revision at which the change was found or written; 0 if unknown. */
    core::TimePoint startedAt;
    core::TimePoint deadline;
    core::Duration retryDelay{internal::minRetryDelay};
    bool outcomeUnknown{false}; /**< A write got no usable reply, or a read failed; the call is then not reported as NotStored. */
    int attempts{0};
    std::optional<jobs::Job> job; /**< Job of a submission. */
    std::string team; /**< Team of the caller; empty on queues that are open to all. */
    bool isWithdrawalCounted{false}; /**< The cancellation of an unknown job has been taken from the quota. */
    RefusalRecord refusal; /**< Record of an earlier refusal on which the change depends. */
    OnReply onReply;
};

} // namespace oleanderwick::jobnode

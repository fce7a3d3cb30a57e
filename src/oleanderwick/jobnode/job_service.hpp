#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "../core/core.hpp"
#include "../jobs/codec.hpp"
#include "../jobs/ports.hpp"
#include "log_sink.hpp"
#include "owner_notice.hpp"
#include "record_lease.hpp"
#include "refusal_record.hpp"
#include "withdrawal_quota.hpp"

namespace oleanderwick::jobnode
{

/** @brief Result of a call of a submitter. */
enum class JobCallOutcome : std::uint8_t {
    Done,
    NotFound, /**< The job does not exist. */
    NotStored, /**< Certainly nothing was stored. */
    Unknown, /**< The change may have been stored, or a read did not succeed in time. */
    Refused, /**< The job is not stored, and no earlier attempt to store it can take effect any more. */
    NotRefused, /**< The refusal could not be recorded, so the submitter must not be told of one. */
    OtherTeam, /**< The id belongs to a job of another team; the caller's job is not stored. */
    Withdrawn, /**< The job was cancelled before it was stored; it is not stored, and no earlier attempt to store it can take effect any more. */
};

/** @brief Reply to a submitter. */
struct JobReply {
    JobCallOutcome outcome{JobCallOutcome::Unknown};
    jobs::JobState state{jobs::JobState::Queued}; /**< Only set by status(). */
    std::int64_t pending{0}; /**< Number of waiting jobs; only set by pending(). */
    std::int64_t retryAfterS{0}; /**< Time until the submitter should return, in seconds; 0 if unknown. */
    std::string reason{}; /**< Why the job has failed; only set by status(), empty if unknown. */
    bool beyondRate{false}; /**< Reason of a refusal: the team is beyond its rate; otherwise even a job within it would be too late. */
};

/** @brief Handles submissions, cancellations and queries on any node; a change that it acknowledges is in the store. */
class JobService
{
public:
    using OnReply = std::function<void(JobReply)>;

    /**
     * @brief Creates the service.
     * @param executor Runs the retries.
     * @param store Store of the jobs.
     * @param log Receives the log events.
     * @param heedsRefusals Submissions depend on the records that `refuse()` writes; must be set on all nodes if any node refuses jobs.
     */
    JobService(core::Executor &executor, jobs::CoordinationStore &store, LogSink &log, bool heedsRefusals = false);

    /**
     * @brief Sets what is called after a submission or a cancellation was found stored and its caller was answered.
     * @param onStored Receives a notice of it; empty for none.
     */
    void setOnStored(std::function<void(const OwnerNotice &)> onStored);

    /**
     * @brief Stores a job; if a job with this id is stored already, the call succeeds and changes nothing.
     * @param job Job to store.
     * @param deadline Time at which the submitter gives up.
     * @param onReply Called once with the reply.
     * @param refusal Record of an earlier refusal of this job, if it is known; the job then counts as submitted at the time of its first refusal.
     */
    void submit(const jobs::Job &job, core::TimePoint deadline, OnReply onReply, const RefusalRecord &refusal = {});

    /** @brief Receives the record of a refusal; its revision is 0 if there is none or the read failed. */
    using OnRefusal = std::function<void(const RefusalRecord &)>;

    /**
     * @brief Looks for a refusal of a job.
     *
     * A read that fails needs no repetition: the conditions of `submit()` and `refuse()` fail if there is a record that they don't know.
     * @param id Id of the job.
     * @param onRefusal Called once.
     */
    void findRefusal(const std::string &id, OnRefusal onRefusal);

    /**
     * @brief Records that a job is refused, so that no earlier attempt to store it can take effect any more.
     *
     * The reply is `Done` if the job is stored already; `Refused` if the refusal holds; `NotRefused` if it could not be recorded, which leaves `submit()`
     * possible; `Unknown` if it was recorded too late for the submitter.
     * @param id Id of the job.
     * @param deadline Time at which the submitter gives up.
     * @param onReply Called once with the reply.
     * @param refusal Record of an earlier refusal, if it is known; the time of the first refusal is kept.
     */
    void refuse(const std::string &id, core::TimePoint deadline, OnReply onReply, const RefusalRecord &refusal = {});

    /**
     * @brief Cancels a job; that of another team is not found.
     *
     * The reply is `NotFound` if the job does not exist; this is recorded for a time in which delayed submissions of the job may still arrive, so that none of
     * them is stored. It is `NotStored` if the team has cancelled too many unknown jobs.
     * @param id Id of the job.
     * @param team Team of the caller; empty on queues that are open to all.
     * @param deadline Time at which the submitter gives up.
     * @param onReply Called once with the reply.
     */
    void cancel(const std::string &id, const std::string &team, core::TimePoint deadline, OnReply onReply);

    /**
     * @brief Reads the state of a job; that of another team's job is not found.
     * @param id Id of the job.
     * @param team Team of the caller; empty on queues that are open to all.
     * @param deadline Time at which the submitter gives up.
     * @param onReply Called once with the reply.
     */
    void status(const std::string &id, const std::string &team, core::TimePoint deadline, OnReply onReply);

    /**
     * @brief Counts the accepted jobs of a queue of which no worker has started a task.
     *
     * The count comes from the store alone, so it is true also while the owner is overloaded or replaced.
     * @param queue Name of the queue.
     * @param deadline Time at which the submitter gives up.
     * @param onReply Called once with the reply.
     */
    void pending(const std::string &queue, core::TimePoint deadline, OnReply onReply);

private:
    struct Call;

    [[nodiscard]] std::shared_ptr<Call> makeCall(std::string kind, std::string id, core::TimePoint deadline, OnReply onReply) const;
    void commit(const std::shared_ptr<Call> &call);
    void read(const std::shared_ptr<Call> &call, const std::string &key, std::function<void(const jobs::StoreReply &)> onFound);
    void countQueued(const std::shared_ptr<Call> &call, const std::string &after, std::int64_t counted);
    void prepareSubmission(Call &call) const;
    void handleSubmitConflict(const std::shared_ptr<Call> &call, const jobs::StoreReply &reply);
    void lookUpConflict(const std::shared_ptr<Call> &call);
    void repeatSubmission(const std::shared_ptr<Call> &call, const RefusalRecord &refusal);
    void writeRefusal(const std::shared_ptr<Call> &call, const RecordLease::Grant &grant);
    void handleRefusalReply(const std::shared_ptr<Call> &call, const RecordLease::Grant &grant, const jobs::StoreReply &reply);
    void lookUpRefusal(const std::shared_ptr<Call> &call);
    void handleCancelConflict(const std::shared_ptr<Call> &call, const jobs::StoreReply &reply);
    void handleWithdrawalReply(const std::shared_ptr<Call> &call, const RecordLease::Grant &grant, const jobs::StoreReply &reply);
    void cancelKnown(const std::shared_ptr<Call> &call, std::int64_t jobRevision);
    void withdraw(const std::shared_ptr<Call> &call);
    void writeWithdrawal(const std::shared_ptr<Call> &call, std::int64_t withdrawnRevision, const RecordLease::Grant &grant);
    void lookUpJob(const std::shared_ptr<Call> &call);
    void finishStored(Call &call, const jobs::StoreItem &job);
    void finishStatus(const std::shared_ptr<Call> &call, const JobReply &found, const std::optional<std::string> &team);
    void finish(Call &call, const JobReply &reply);
    void retry(const std::shared_ptr<Call> &call, std::function<void(const std::shared_ptr<Call> &)> attempt);

    core::Executor &m_executor;
    jobs::CoordinationStore &m_store;
    LogSink &m_log;
    bool m_heedsRefusals;
    RecordLease m_refusalLease;
    RecordLease m_withdrawalLease;
    WithdrawalQuota m_withdrawals;
    std::function<void(const OwnerNotice &)> m_onStored;
};

} // namespace oleanderwick::jobnode

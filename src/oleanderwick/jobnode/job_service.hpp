#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "../core/core.hpp"
#include "../jobs/codec.hpp"
#include "../jobs/ports.hpp"
#include "log_sink.hpp"
#include "owner_notice.hpp"

namespace oleanderwick::jobnode
{

/** @brief Result of a call of a submitter. */
enum class JobCallOutcome : std::uint8_t {
    Done,
    NotFound, /**< The job does not exist. */
    NotStored, /**< Certainly nothing was stored. */
    Unknown, /**< The change may have been stored, or a read did not succeed in time. */
};

/** @brief Reply to a submitter. */
struct JobReply {
    JobCallOutcome outcome{JobCallOutcome::Unknown};
    jobs::JobState state{jobs::JobState::Queued}; /**< Only set by status(). */
    std::int64_t pending{0}; /**< Number of waiting jobs; only set by pending(). */
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
     */
    JobService(core::Executor &executor, jobs::CoordinationStore &store, LogSink &log);

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
     */
    void submit(const jobs::Job &job, core::TimePoint deadline, OnReply onReply);

    /**
     * @brief Cancels a job.
     * @param id Id of the job.
     * @param deadline Time at which the submitter gives up.
     * @param onReply Called once with the reply.
     */
    void cancel(const std::string &id, core::TimePoint deadline, OnReply onReply);

    /**
     * @brief Reads the state of a job.
     * @param id Id of the job.
     * @param deadline Time at which the submitter gives up.
     * @param onReply Called once with the reply.
     */
    void status(const std::string &id, core::TimePoint deadline, OnReply onReply);

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
    void finish(Call &call, JobReply reply);
    void retry(const std::shared_ptr<Call> &call, std::function<void(const std::shared_ptr<Call> &)> attempt);

    core::Executor &m_executor;
    jobs::CoordinationStore &m_store;
    LogSink &m_log;
    std::function<void(const OwnerNotice &)> m_onStored;
};

} // namespace oleanderwick::jobnode

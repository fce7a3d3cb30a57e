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

namespace oleanderwick::jobnode
{

/** @brief How a call of a submitter ended. */
enum class DeskOutcome : std::uint8_t {
    Done,
    NotFound, /**< No such job. */
    NotRun, /**< Proved: nothing was stored. */
    Unknown, /**< It may have been stored. */
};

/** @brief Answer to a submitter. */
struct DeskAnswer {
    DeskOutcome outcome{DeskOutcome::Unknown};
    jobs::JobState state{jobs::JobState::Queued};
    std::int64_t pending{0};
};

/** @brief Takes submissions, cancellations and questions on any node; what it acknowledges is in the store. */
class JobDesk
{
public:
    using OnAnswer = std::function<void(DeskAnswer)>;

    /**
     * @brief Opens the desk.
     * @param executor Runs its work.
     * @param store Store that keeps the jobs.
     * @param log Takes the log lines.
     */
    JobDesk(core::Executor &executor, jobs::CoordinationStore &store, LogSink &log);

    /**
     * @brief Stores a job; the same id is one job for ever.
     * @param job The job.
     * @param deadline When the submitter gives up.
     * @param onAnswer Takes the answer, once.
     */
    void submit(const jobs::Job &job, core::TimePoint deadline, OnAnswer onAnswer);

    /**
     * @brief Cancels a job.
     * @param id Name of the job.
     * @param deadline When the submitter gives up.
     * @param onAnswer Takes the answer, once.
     */
    void cancel(const std::string &id, core::TimePoint deadline, OnAnswer onAnswer);

    /**
     * @brief Reads the state of a job.
     * @param id Name of the job.
     * @param deadline When the submitter gives up.
     * @param onAnswer Takes the answer, once.
     */
    void status(const std::string &id, core::TimePoint deadline, OnAnswer onAnswer);

    /**
     * @brief Reads how many jobs of a queue wait.
     * @param queue Name of the queue.
     * @param deadline When the submitter gives up.
     * @param onAnswer Takes the answer, once.
     */
    void pending(const std::string &queue, core::TimePoint deadline, OnAnswer onAnswer);

private:
    struct Call;

    [[nodiscard]] std::shared_ptr<Call> makeCall(std::string kind, std::string id, core::TimePoint deadline, OnAnswer onAnswer) const;
    void commit(const std::shared_ptr<Call> &call);
    void read(const std::shared_ptr<Call> &call, const std::string &key, std::function<void(const jobs::StoreReply &)> onFound);
    void finish(Call &call, DeskAnswer answer);
    void retry(const std::shared_ptr<Call> &call, std::function<void(const std::shared_ptr<Call> &)> again);

    core::Executor &m_executor;
    jobs::CoordinationStore &m_store;
    LogSink &m_log;
};

} // namespace oleanderwick::jobnode

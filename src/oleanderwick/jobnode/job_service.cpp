#include "job_service.hpp"

#include <algorithm>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration minRetryDelay = std::chrono::milliseconds{40};
constexpr core::Duration maxRetryDelay = std::chrono::milliseconds{320};
/** After this time without success the store counts as unavailable, and a change that is certainly not stored is refused. */
constexpr core::Duration refusalTimeout = std::chrono::milliseconds{500};
/** Time reserved before the submitter's deadline for the transfer of the reply. */
constexpr core::Duration replyMargin = std::chrono::milliseconds{150};

} // namespace internal

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
    OnReply onReply;
};

JobService::JobService(core::Executor &executor, jobs::CoordinationStore &store, LogSink &log)
    : m_executor{executor}
    , m_store{store}
    , m_log{log}
{
}

std::shared_ptr<JobService::Call> JobService::makeCall(std::string kind, std::string id, core::TimePoint deadline, OnReply onReply) const
{
    std::shared_ptr<Call> call = std::make_shared<Call>();
    call->kind = std::move(kind);
    call->id = std::move(id);
    call->startedAt = m_executor.now();
    call->deadline = deadline;
    call->onReply = std::move(onReply);
    return call;
}

void JobService::submit(const jobs::Job &job, core::TimePoint deadline, OnReply onReply)
{
    const std::shared_ptr<Call> call = makeCall("submit", job.id, deadline, std::move(onReply));
    const std::string key = keys::jobPrefix + job.id;
    const std::string marker = keys::queuedPrefixOf(job.queue) + job.id;
    // The condition for the marker lets the store's client repeat the change, as it then only creates keys.
    call->change.conditions = {{key, 0}, {marker, 0}};
    call->change.writes = {{key, jobs::toRecord(job), 0}, {marker, "1", 0}};
    commit(call);
}

void JobService::commit(const std::shared_ptr<Call> &call)
{
    ++call->attempts;
    m_store.commit(call->change, [this, call](const jobs::StoreReply &reply) {
        if (reply.outcome == jobs::StoreOutcome::Done || reply.outcome == jobs::StoreOutcome::Conflict) {
            call->revision = reply.revision;
            // A conflict means that the record exists already, from an earlier attempt or from the same call on another node.
            finish(*call, JobReply{JobCallOutcome::Done, {}, 0});
            return;
        }
        call->outcomeUnknown = call->outcomeUnknown || reply.outcome == jobs::StoreOutcome::Unknown;
        retry(call, [this](const std::shared_ptr<Call> &retried) {
            commit(retried);
        });
    });
}

void JobService::retry(const std::shared_ptr<Call> &call, std::function<void(const std::shared_ptr<Call> &)> attempt)
{
    const core::TimePoint now = m_executor.now();
    const bool isLate = now + call->retryDelay >= call->deadline - internal::replyMargin;
    const bool isRefused = !call->outcomeUnknown && now - call->startedAt >= internal::refusalTimeout;
    if (isLate || isRefused) {
        finish(*call, JobReply{call->outcomeUnknown ? JobCallOutcome::Unknown : JobCallOutcome::NotStored, {}, 0});
        return;
    }
    const core::Duration delay = call->retryDelay;
    call->retryDelay = std::min(internal::maxRetryDelay, call->retryDelay * 2);
    m_executor.after(delay, [call, attempt = std::move(attempt)] {
        attempt(call);
    });
}

void JobService::finish(Call &call, JobReply reply)
{
    const core::Duration elapsed = m_executor.now() - call.startedAt;
    const bool isLogged = call.kind != "status" || reply.outcome != JobCallOutcome::Done;
    if (isLogged) {
        telemetry::Event event{call.kind};
        event.with("job", call.id).with("outcome", static_cast<std::int64_t>(reply.outcome)).with("attempts", call.attempts);
        event.with("took_ms", core::milliseconds(elapsed));
        m_log.add(call.kind, event);
    }
    call.onReply(reply);
    const bool isCancel = call.kind == "cancel";
    if (m_onStored && reply.outcome == JobCallOutcome::Done && (isCancel || call.kind == "submit")) {
        m_onStored(OwnerNotice{isCancel ? OwnerNotice::Kind::Cancel : OwnerNotice::Kind::Job, call.id, call.revision, 0});
    }
}

void JobService::setOnStored(std::function<void(const OwnerNotice &)> onStored)
{
    m_onStored = std::move(onStored);
}

void JobService::read(const std::shared_ptr<Call> &call, const std::string &key, std::function<void(const jobs::StoreReply &)> onFound)
{
    ++call->attempts;
    m_store.read(key, [this, call, key, found = std::move(onFound)](const jobs::StoreReply &reply) {
        if (reply.outcome == jobs::StoreOutcome::Done || reply.outcome == jobs::StoreOutcome::NotFound) {
            found(reply);
            return;
        }
        // A failed read is not refused early: it changes nothing, and is retried until shortly before the submitter's deadline; the outcome is then Unknown.
        call->outcomeUnknown = true;
        retry(call, [this, key, found](const std::shared_ptr<Call> &retried) {
            read(retried, key, found);
        });
    });
}

void JobService::cancel(const std::string &id, core::TimePoint deadline, OnReply onReply)
{
    const std::shared_ptr<Call> call = makeCall("cancel", id, deadline, std::move(onReply));
    read(call, keys::jobPrefix + id, [this, call](const jobs::StoreReply &reply) {
        if (reply.outcome == jobs::StoreOutcome::NotFound) {
            finish(*call, JobReply{JobCallOutcome::NotFound, {}, 0});
            return;
        }
        call->change.conditions.push_back({keys::cancelPrefix + call->id, 0});
        call->change.writes.push_back({keys::cancelPrefix + call->id, "1", 0});
        commit(call);
    });
}

void JobService::status(const std::string &id, core::TimePoint deadline, OnReply onReply)
{
    const std::shared_ptr<Call> call = makeCall("status", id, deadline, std::move(onReply));
    read(call, keys::statePrefix + id, [this, call](const jobs::StoreReply &reply) {
        if (reply.outcome == jobs::StoreOutcome::Done && !reply.items.empty()) {
            const absl::StatusOr<jobs::JobRecord> record = jobs::progressFromRecord(reply.items.front().value);
            if (record.ok()) {
                finish(*call, JobReply{JobCallOutcome::Done, record->state, 0});
                return;
            }
            m_log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("job", call->id).with("error", std::string{record.status().message()}));
        }
        // The owner has not stored a state yet, the state is unreadable, or the job does not exist.
        read(call, keys::jobPrefix + call->id, [this, call](const jobs::StoreReply &job) {
            const bool found = job.outcome == jobs::StoreOutcome::Done;
            finish(*call, JobReply{found ? JobCallOutcome::Done : JobCallOutcome::NotFound, jobs::JobState::Queued, 0});
        });
    });
}

void JobService::pending(const std::string &queue, core::TimePoint deadline, OnReply onReply)
{
    countQueued(makeCall("pending", queue, deadline, std::move(onReply)), {}, 0);
}

void JobService::countQueued(const std::shared_ptr<Call> &call, const std::string &after, std::int64_t counted)
{
    ++call->attempts;
    const std::string prefix = keys::queuedPrefixOf(call->id);
    m_store.list(prefix, after, [this, call, after, counted, prefix](const jobs::StoreReply &reply) {
        if (reply.outcome != jobs::StoreOutcome::Done) {
            call->outcomeUnknown = true;
            retry(call, [this, after, counted](const std::shared_ptr<Call> &retried) {
                countQueued(retried, after, counted);
            });
            return;
        }
        // The name of another queue may continue this one's after a slash; ids of jobs contain none.
        const std::int64_t total = counted + std::count_if(reply.items.begin(), reply.items.end(), [&prefix](const jobs::StoreItem &item) {
                                       return item.key.find('/', prefix.size()) == std::string::npos;
                                   });
        if (reply.more && !reply.items.empty()) {
            countQueued(call, reply.items.back().key, total);
            return;
        }
        finish(*call, JobReply{JobCallOutcome::Done, {}, total});
    });
}

} // namespace oleanderwick::jobnode

#include "job_service.hpp"

#include <algorithm>
#include <charconv>

#include "job_call.hpp"
#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration maxRetryDelay = std::chrono::milliseconds{320};
/** After this time without success the store counts as unavailable, and a change that is certainly not stored is refused. */
constexpr core::Duration refusalTimeout = std::chrono::milliseconds{500};
/** Time reserved before the submitter's deadline for the transfer of the reply. */
constexpr core::Duration replyMargin = std::chrono::milliseconds{150};
/** A write takes effect at most about 6 s late; the minimum is twice this for attempts that were sent shortly before the refusal, and a margin for clocks. */
constexpr RecordLease::Lifetime refusalLifetime{std::chrono::seconds{60}, std::chrono::seconds{15}, std::chrono::seconds{15}};
/** A submission that its client has given up may be on its way for as long as a process is paused or a write is delayed. */
constexpr RecordLease::Lifetime withdrawalLifetime{std::chrono::seconds{120}, std::chrono::seconds{30}, std::chrono::seconds{90}};
/** With the lifetime above, a node has at most five periods of records in the store at a time. */
constexpr WithdrawalQuota::Limits withdrawalLimits{std::chrono::seconds{30}, 300, 600};

/** Time in seconds until the record of a withdrawal expires, by the clock of the node that wrote it; at least 1. */
std::int64_t secondsUntilExpiry(const jobs::StoreItem &withdrawal, std::int64_t wallMs)
{
    std::int64_t expiresMs = 0;
    (void)std::from_chars(withdrawal.value.data(), withdrawal.value.data() + withdrawal.value.size(), expiresMs);
    const std::int64_t remainingMs = std::clamp<std::int64_t>(expiresMs - wallMs, 0, core::milliseconds(withdrawalLifetime.record + withdrawalLifetime.use));
    return std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(std::chrono::milliseconds{remainingMs}).count());
}

} // namespace internal

JobService::JobService(core::Executor &executor, jobs::CoordinationStore &store, LogSink &log, bool heedsRefusals)
    : m_executor{executor}
    , m_store{store}
    , m_log{log}
    , m_heedsRefusals{heedsRefusals}
    , m_refusalLease{executor, store, internal::refusalLifetime}
    , m_withdrawalLease{executor, store, internal::withdrawalLifetime}
    , m_withdrawals{internal::withdrawalLimits}
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

void JobService::submit(const jobs::Job &job, core::TimePoint deadline, OnReply onReply, const RefusalRecord &refusal)
{
    const std::shared_ptr<Call> call = makeCall("submit", job.id, deadline, std::move(onReply));
    call->job = job;
    call->refusal = refusal;
    prepareSubmission(*call);
    commit(call);
}

void JobService::commit(const std::shared_ptr<Call> &call)
{
    ++call->attempts;
    m_store.commit(call->change, [this, call](const jobs::StoreReply &reply) {
        if (reply.outcome == jobs::StoreOutcome::Conflict) {
            if (call->job.has_value()) {
                handleSubmitConflict(call, reply);
            } else {
                handleCancelConflict(call, reply);
            }
            return;
        }
        if (reply.outcome == jobs::StoreOutcome::Done) {
            call->revision = reply.revision;
            finish(*call, JobReply{JobCallOutcome::Done, {}, 0});
            return;
        }
        call->outcomeUnknown = call->outcomeUnknown || reply.outcome == jobs::StoreOutcome::Unknown;
        retry(call, [this](const std::shared_ptr<Call> &retried) {
            commit(retried);
        });
    });
}

void JobService::prepareSubmission(Call &call) const
{
    jobs::Job job = *call.job;
    if (call.refusal.firstMs > 0) {
        job.submittedMs = std::min(job.submittedMs, call.refusal.firstMs);
    }
    const std::string key = keys::jobPrefix + job.id;
    const std::string marker = keys::queuedPrefixOf(job.queue) + job.id;
    call.change = {};
    // The condition for the marker lets the store's client repeat the change, as it then only creates keys.
    call.change.conditions = {{key, 0}, {marker, 0}, {keys::withdrawnKeyOf(job.team, job.id), 0}};
    call.change.writes = {{key, jobs::toRecord(job), 0}, {marker, "1", 0}};
    if (m_heedsRefusals) {
        call.change.conditions.push_back({keys::refusalPrefix + job.id, call.refusal.revision});
    }
    if (m_heedsRefusals && call.refusal.revision != 0) {
        call.change.removals = {keys::refusalPrefix + job.id};
    }
}

void JobService::handleSubmitConflict(const std::shared_ptr<Call> &call, const jobs::StoreReply &reply)
{
    const jobs::StoreItem *refusal = internal::findItem(reply, keys::refusalPrefix + call->id);
    const bool isRefusalNew = refusal != nullptr && refusal->revision != call->refusal.revision;
    const jobs::StoreItem *stored = internal::findItem(reply, keys::jobPrefix + call->id);
    const bool hasJob = stored != nullptr;
    const bool hasMarker = internal::findItem(reply, keys::queuedPrefixOf(call->job->queue) + call->id) != nullptr;
    const jobs::StoreItem *withdrawal = internal::findItem(reply, keys::withdrawnKeyOf(call->job->team, call->id));
    if (hasJob) {
        call->revision = reply.revision;
        finishStored(*call, *stored);
    } else if (hasMarker && !isRefusalNew && withdrawal == nullptr) {
        call->revision = reply.revision;
        finish(*call, JobReply{JobCallOutcome::Done, {}, 0});
    } else if (withdrawal != nullptr) {
        finish(*call, JobReply{JobCallOutcome::Withdrawn, {}, 0, internal::secondsUntilExpiry(*withdrawal, m_executor.wallMs())});
    } else if (isRefusalNew) {
        repeatSubmission(call, refusalFromItem(*refusal));
    } else {
        // The record of the refusal or withdrawal has expired or was removed, or the reply came without its items.
        lookUpConflict(call);
    }
}

void JobService::lookUpConflict(const std::shared_ptr<Call> &call)
{
    read(call, keys::jobPrefix + call->id, [this, call](const jobs::StoreReply &job) {
        if (!job.items.empty()) {
            call->revision = job.items.front().revision;
            finishStored(*call, job.items.front());
            return;
        }
        read(call, keys::withdrawnKeyOf(call->job->team, call->id), [this, call](const jobs::StoreReply &withdrawal) {
            if (!withdrawal.items.empty()) {
                const std::int64_t seconds = internal::secondsUntilExpiry(withdrawal.items.front(), m_executor.wallMs());
                finish(*call, JobReply{JobCallOutcome::Withdrawn, {}, 0, seconds});
                return;
            }
            lookUpRefusal(call);
        });
    });
}

void JobService::lookUpRefusal(const std::shared_ptr<Call> &call)
{
    if (!m_heedsRefusals) {
        repeatSubmission(call, call->refusal);
        return;
    }
    read(call, keys::refusalPrefix + call->id, [this, call](const jobs::StoreReply &refusal) {
        const bool isFound = refusal.outcome == jobs::StoreOutcome::Done && !refusal.items.empty();
        repeatSubmission(call, isFound ? refusalFromItem(refusal.items.front()) : RefusalRecord{call->refusal.firstMs, 0});
    });
}

void JobService::repeatSubmission(const std::shared_ptr<Call> &call, const RefusalRecord &refusal)
{
    call->refusal = refusal;
    prepareSubmission(*call);
    if (call->attempts <= internal::maxImmediateRepeats) {
        commit(call);
        return;
    }
    retry(call, [this](const std::shared_ptr<Call> &retried) {
        commit(retried);
    });
}

void JobService::findRefusal(const std::string &id, OnRefusal onRefusal)
{
    m_store.read(keys::refusalPrefix + id, [found = std::move(onRefusal)](const jobs::StoreReply &reply) {
        const bool isFound = reply.outcome == jobs::StoreOutcome::Done && !reply.items.empty();
        found(isFound ? refusalFromItem(reply.items.front()) : RefusalRecord{});
    });
}

void JobService::refuse(const std::string &id, core::TimePoint deadline, OnReply onReply, const RefusalRecord &refusal)
{
    const std::shared_ptr<Call> call = makeCall("refuse", id, deadline, std::move(onReply));
    call->refusal = refusal;
    m_refusalLease.obtain([this, call](const std::optional<RecordLease::Grant> &grant) {
        if (!m_heedsRefusals || !grant.has_value() || !m_refusalLease.lastsLongEnough(*grant, m_executor.now())) {
            finish(*call, JobReply{JobCallOutcome::NotRefused, {}, 0});
            return;
        }
        writeRefusal(call, *grant);
    });
}

void JobService::writeRefusal(const std::shared_ptr<Call> &call, const RecordLease::Grant &grant)
{
    ++call->attempts;
    const std::string key = keys::refusalPrefix + call->id;
    const std::int64_t wallMs = m_executor.wallMs();
    const std::int64_t firstMs = call->refusal.firstMs > 0 ? std::min(call->refusal.firstMs, wallMs) : wallMs;
    call->change = {};
    call->change.conditions = {{keys::jobPrefix + call->id, 0}, {key, call->refusal.revision}};
    call->change.writes = {{key, toText(RefusalRecord{firstMs, 0}), grant.lease}};
    m_store.commit(call->change, [this, call, grant](const jobs::StoreReply &reply) {
        handleRefusalReply(call, grant, reply);
    });
}

void JobService::handleRefusalReply(const std::shared_ptr<Call> &call, const RecordLease::Grant &grant, const jobs::StoreReply &reply)
{
    const core::TimePoint now = m_executor.now();
    JobCallOutcome outcome = JobCallOutcome::NotRefused;
    if (reply.outcome == jobs::StoreOutcome::Done) {
        // A process that was frozen must not report a refusal after its submitter may have submitted the job again elsewhere.
        const bool isLate = now >= call->deadline;
        const bool isHeld = m_refusalLease.lastsLongEnough(grant, now);
        outcome = isLate ? JobCallOutcome::Unknown : isHeld ? JobCallOutcome::Refused : JobCallOutcome::NotRefused;
    } else if (reply.outcome == jobs::StoreOutcome::Conflict) {
        const jobs::StoreItem *refusal = internal::findItem(reply, keys::refusalPrefix + call->id);
        if (internal::findItem(reply, keys::jobPrefix + call->id) != nullptr) {
            outcome = JobCallOutcome::Done;
        } else if (refusal != nullptr && call->attempts < internal::maxImmediateRepeats) {
            call->refusal = refusalFromItem(*refusal);
            writeRefusal(call, grant);
            return;
        }
    } else if (reply.outcome == jobs::StoreOutcome::NotFound) {
        m_refusalLease.discard(grant.lease);
    }
    finish(*call, JobReply{outcome, {}, 0});
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

void JobService::finish(Call &call, const JobReply &reply)
{
    const core::Duration elapsed = m_executor.now() - call.startedAt;
    // The node logs refusals itself, with what they were decided from.
    const bool isLogged = (call.kind != "status" || reply.outcome != JobCallOutcome::Done) && reply.outcome != JobCallOutcome::Refused;
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

void JobService::finishStored(Call &call, const jobs::StoreItem &job)
{
    // The record exists already: from an earlier attempt, from the same call on another node, or from another team, which uses the same id.
    const std::optional<std::string> team = internal::teamOf(job);
    const bool isOther = team.has_value() && *team != call.job->team;
    finish(call, JobReply{isOther ? JobCallOutcome::OtherTeam : JobCallOutcome::Done, {}, 0});
}

void JobService::status(const std::string &id, const std::string &team, core::TimePoint deadline, OnReply onReply)
{
    const std::shared_ptr<Call> call = makeCall("status", id, deadline, std::move(onReply));
    call->team = team;
    read(call, keys::statePrefix + id, [this, call](const jobs::StoreReply &reply) {
        if (reply.outcome == jobs::StoreOutcome::Done && !reply.items.empty()) {
            const absl::StatusOr<jobs::JobRecord> record = jobs::progressFromRecord(reply.items.front().value);
            if (record.ok()) {
                JobReply found{JobCallOutcome::Done, record->state, 0};
                found.reason = record->reason;
                finishStatus(call, found, record->team);
                return;
            }
            m_log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("job", call->id).with("error", std::string{record.status().message()}));
        }
        // The owner has not stored a state yet, the state is unreadable, or the job does not exist.
        finishStatus(call, JobReply{JobCallOutcome::Done, jobs::JobState::Queued, 0}, std::nullopt);
    });
}

void JobService::finishStatus(const std::shared_ptr<Call> &call, const JobReply &found, const std::optional<std::string> &team)
{
    const JobReply absent{JobCallOutcome::NotFound, {}, 0};
    if (team.has_value()) {
        finish(*call, internal::mayAccess(call->team, team) ? found : absent);
        return;
    }
    read(call, keys::jobPrefix + call->id, [this, call, found, absent](const jobs::StoreReply &job) {
        const bool isFound = !job.items.empty() && internal::mayAccess(call->team, internal::teamOf(job.items.front()));
        finish(*call, isFound ? found : absent);
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

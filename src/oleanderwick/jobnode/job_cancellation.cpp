#include <absl/strings/str_cat.h>

#include "job_call.hpp"
#include "keys.hpp"

namespace oleanderwick::jobnode
{

void JobService::cancel(const std::string &id, const std::string &team, core::TimePoint deadline, OnReply onReply)
{
    const std::shared_ptr<Call> call = makeCall("cancel", id, deadline, std::move(onReply));
    call->team = team;
    lookUpJob(call);
}

void JobService::lookUpJob(const std::shared_ptr<Call> &call)
{
    read(call, keys::jobPrefix + call->id, [this, call](const jobs::StoreReply &reply) {
        if (reply.items.empty()) {
            withdraw(call);
        } else if (internal::mayAccess(call->team, internal::teamOf(reply.items.front()))) {
            cancelKnown(call, reply.items.front().revision);
        } else {
            finish(*call, JobReply{JobCallOutcome::NotFound, {}, 0});
        }
    });
}

void JobService::cancelKnown(const std::shared_ptr<Call> &call, std::int64_t jobRevision)
{
    const std::string key = keys::cancelPrefix + call->id;
    call->change = {};
    // With the condition for the job, a delayed write leaves no record behind once the job's records are removed.
    call->change.conditions = {{key, 0}, {keys::jobPrefix + call->id, jobRevision}};
    call->change.writes = {{key, "1", 0}};
    commit(call);
}

void JobService::handleCancelConflict(const std::shared_ptr<Call> &call, const jobs::StoreReply &reply)
{
    if (internal::findItem(reply, keys::cancelPrefix + call->id) != nullptr) {
        call->revision = reply.revision;
        finish(*call, JobReply{JobCallOutcome::Done, {}, 0});
        return;
    }
    // The job's records were removed meanwhile, or the reply came without its items.
    retry(call, [this](const std::shared_ptr<Call> &retried) {
        lookUpJob(retried);
    });
}

void JobService::withdraw(const std::shared_ptr<Call> &call)
{
    const core::TimePoint now = m_executor.now();
    if (!call->isWithdrawalCounted && !m_withdrawals.take(call->team, now)) {
        finish(*call, JobReply{JobCallOutcome::NotStored, {}, 0, std::chrono::ceil<std::chrono::seconds>(m_withdrawals.untilNextPeriod(now)).count()});
        return;
    }
    call->isWithdrawalCounted = true;
    m_withdrawalLease.obtain([this, call](const std::optional<RecordLease::Grant> &grant) {
        if (grant.has_value() && m_withdrawalLease.lastsLongEnough(*grant, m_executor.now())) {
            writeWithdrawal(call, 0, *grant);
            return;
        }
        retry(call, [this](const std::shared_ptr<Call> &retried) {
            lookUpJob(retried);
        });
    });
}

void JobService::writeWithdrawal(const std::shared_ptr<Call> &call, std::int64_t withdrawnRevision, const RecordLease::Grant &grant)
{
    ++call->attempts;
    const std::string key = keys::withdrawnKeyOf(call->team, call->id);
    const std::int64_t expiresMs = m_executor.wallMs() + core::milliseconds(grant.validUntil - m_executor.now());
    call->change = {};
    call->change.conditions = {{keys::jobPrefix + call->id, 0}, {key, withdrawnRevision}};
    call->change.writes = {{key, absl::StrCat(expiresMs), grant.lease}};
    m_store.commit(call->change, [this, call, grant](const jobs::StoreReply &reply) {
        handleWithdrawalReply(call, grant, reply);
    });
}

void JobService::handleWithdrawalReply(const std::shared_ptr<Call> &call, const RecordLease::Grant &grant, const jobs::StoreReply &reply)
{
    if (reply.outcome == jobs::StoreOutcome::Done) {
        // A process that was paused must not say that the job doesn't exist on the strength of a record that is about to expire.
        const bool isHeld = m_withdrawalLease.lastsLongEnough(grant, m_executor.now());
        finish(*call, JobReply{isHeld ? JobCallOutcome::NotFound : JobCallOutcome::Unknown, {}, 0});
        return;
    }
    if (reply.outcome == jobs::StoreOutcome::Conflict) {
        const jobs::StoreItem *job = internal::findItem(reply, keys::jobPrefix + call->id);
        const jobs::StoreItem *withdrawal = internal::findItem(reply, keys::withdrawnKeyOf(call->team, call->id));
        if (job != nullptr && internal::mayAccess(call->team, internal::teamOf(*job))) {
            cancelKnown(call, job->revision);
            return;
        }
        if (job != nullptr) {
            finish(*call, JobReply{JobCallOutcome::NotFound, {}, 0});
            return;
        }
        if (withdrawal != nullptr && call->attempts <= internal::maxImmediateRepeats) {
            // An earlier cancellation: its record is replaced, so that it lasts for long enough after this one too.
            writeWithdrawal(call, withdrawal->revision, grant);
            return;
        }
    } else if (reply.outcome == jobs::StoreOutcome::NotFound) {
        m_withdrawalLease.discard(grant.lease);
    }
    call->outcomeUnknown = call->outcomeUnknown || reply.outcome == jobs::StoreOutcome::Unknown;
    retry(call, [this](const std::shared_ptr<Call> &retried) {
        lookUpJob(retried);
    });
}

} // namespace oleanderwick::jobnode

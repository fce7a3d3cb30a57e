#include "job_desk.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration firstRetry = std::chrono::milliseconds{40};
constexpr core::Duration longestRetry = std::chrono::milliseconds{320};
/** A store that refused for this long is away; a submission that is certainly not stored is refused then. */
constexpr core::Duration patience = std::chrono::milliseconds{500};
/** Left before the submitter's deadline for the answer's way. */
constexpr core::Duration answerMargin = std::chrono::milliseconds{150};

} // namespace internal

struct JobDesk::Call {
    std::string kind;
    std::string id;
    jobs::StoreChange change;
    core::TimePoint startedAt;
    core::TimePoint deadline;
    core::Duration pause{internal::firstRetry};
    bool mayBeStored{false}; /**< An attempt had no answer. */
    int attempts{0};
    OnAnswer onAnswer;
};

JobDesk::JobDesk(core::Executor &executor, jobs::CoordinationStore &store, LogSink &log)
    : m_executor{executor}
    , m_store{store}
    , m_log{log}
{
}

std::shared_ptr<JobDesk::Call> JobDesk::makeCall(std::string kind, std::string id, core::TimePoint deadline, OnAnswer onAnswer) const
{
    std::shared_ptr<Call> call = std::make_shared<Call>();
    call->kind = std::move(kind);
    call->id = std::move(id);
    call->startedAt = m_executor.now();
    call->deadline = deadline;
    call->onAnswer = std::move(onAnswer);
    return call;
}

void JobDesk::submit(const jobs::Job &job, core::TimePoint deadline, OnAnswer onAnswer)
{
    const std::shared_ptr<Call> call = makeCall("submit", job.id, deadline, std::move(onAnswer));
    call->change.conditions.push_back({keys::jobs + job.id, 0});
    call->change.writes.push_back({keys::jobs + job.id, jobs::toRecord(job), 0});
    commit(call);
}

void JobDesk::commit(const std::shared_ptr<Call> &call)
{
    ++call->attempts;
    m_store.commit(call->change, [this, call](const jobs::StoreReply &answer) {
        if (answer.outcome == jobs::StoreOutcome::Done || answer.outcome == jobs::StoreOutcome::Conflict) {
            // A conflict says that the record exists: by an earlier attempt, or by the same submission at another node.
            finish(*call, DeskAnswer{DeskOutcome::Done, {}, 0});
            return;
        }
        call->mayBeStored = call->mayBeStored || answer.outcome == jobs::StoreOutcome::Unknown;
        retry(call, [this](const std::shared_ptr<Call> &again) {
            commit(again);
        });
    });
}

void JobDesk::retry(const std::shared_ptr<Call> &call, std::function<void(const std::shared_ptr<Call> &)> again)
{
    const core::TimePoint now = m_executor.now();
    const bool late = now + call->pause >= call->deadline - internal::answerMargin;
    const bool refused = !call->mayBeStored && now - call->startedAt >= internal::patience;
    if (late || refused) {
        finish(*call, DeskAnswer{call->mayBeStored ? DeskOutcome::Unknown : DeskOutcome::NotRun, {}, 0});
        return;
    }
    const core::Duration pause = call->pause;
    call->pause = std::min(internal::longestRetry, call->pause * 2);
    m_executor.after(pause, [call, again = std::move(again)] {
        again(call);
    });
}

void JobDesk::finish(Call &call, DeskAnswer answer)
{
    const core::Duration took = m_executor.now() - call.startedAt;
    const bool unusual = call.kind != "status" || answer.outcome != DeskOutcome::Done;
    if (unusual) {
        telemetry::Event event{call.kind};
        event.with("job", call.id).with("outcome", static_cast<std::int64_t>(answer.outcome)).with("attempts", call.attempts);
        event.with("took_ms", core::milliseconds(took));
        m_log.add(call.kind, event);
    }
    call.onAnswer(answer);
}

void JobDesk::read(const std::shared_ptr<Call> &call, const std::string &key, std::function<void(const jobs::StoreReply &)> onFound)
{
    ++call->attempts;
    m_store.read(key, [this, call, key, found = std::move(onFound)](const jobs::StoreReply &answer) {
        if (answer.outcome == jobs::StoreOutcome::Done || answer.outcome == jobs::StoreOutcome::NotFound) {
            found(answer);
            return;
        }
        // Reading changes nothing, so it is tried until the submitter gives up.
        call->mayBeStored = true;
        retry(call, [this, key, found](const std::shared_ptr<Call> &again) {
            read(again, key, found);
        });
    });
}

void JobDesk::cancel(const std::string &id, core::TimePoint deadline, OnAnswer onAnswer)
{
    const std::shared_ptr<Call> call = makeCall("cancel", id, deadline, std::move(onAnswer));
    read(call, keys::jobs + id, [this, call](const jobs::StoreReply &answer) {
        if (answer.outcome == jobs::StoreOutcome::NotFound) {
            finish(*call, DeskAnswer{DeskOutcome::NotFound, {}, 0});
            return;
        }
        call->change.conditions.push_back({keys::cancels + call->id, 0});
        call->change.writes.push_back({keys::cancels + call->id, "1", 0});
        commit(call);
    });
}

void JobDesk::status(const std::string &id, core::TimePoint deadline, OnAnswer onAnswer)
{
    const std::shared_ptr<Call> call = makeCall("status", id, deadline, std::move(onAnswer));
    read(call, keys::states + id, [this, call](const jobs::StoreReply &answer) {
        if (answer.outcome == jobs::StoreOutcome::Done && !answer.items.empty()) {
            const absl::StatusOr<jobs::JobRecord> record = jobs::progressFromRecord(answer.items.front().value);
            if (record.ok()) {
                finish(*call, DeskAnswer{DeskOutcome::Done, record->state, 0});
                return;
            }
            m_log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("job", call->id).with("error", std::string{record.status().message()}));
        }
        // Its owner has not taken it in yet, or there is no such job.
        read(call, keys::jobs + call->id, [this, call](const jobs::StoreReply &job) {
            const bool found = job.outcome == jobs::StoreOutcome::Done;
            finish(*call, DeskAnswer{found ? DeskOutcome::Done : DeskOutcome::NotFound, jobs::JobState::Queued, 0});
        });
    });
}

void JobDesk::pending(const std::string &queue, core::TimePoint deadline, OnAnswer onAnswer)
{
    const std::shared_ptr<Call> call = makeCall("pending", queue, deadline, std::move(onAnswer));
    read(call, keys::pending, [this, call](const jobs::StoreReply &answer) {
        DeskAnswer result{DeskOutcome::Done, {}, 0};
        if (answer.outcome == jobs::StoreOutcome::Done && !answer.items.empty()) {
            const nlohmann::json value = nlohmann::json::parse(answer.items.front().value, nullptr, false);
            if (value.is_object() && value.contains(call->id) && value[call->id].is_number_integer()) {
                result.pending = value[call->id].get<std::int64_t>();
            }
        }
        finish(*call, result);
    });
}

} // namespace oleanderwick::jobnode

#include "failover_store.hpp"

#include <algorithm>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** An answer that is later than this is asked for through another node too; the store answers in some milliseconds. */
constexpr core::Duration hedgeAfter = std::chrono::milliseconds{350};
/** A store that failed is tried again this often. */
constexpr core::Duration probeEvery = std::chrono::milliseconds{500};

/** @brief Whether a call may be made twice. */
enum class Repeat : std::uint8_t {
    Harmless,
    IfNotDone, /**< Only if nothing was done the first time. */
};

bool isConclusive(const jobs::StoreReply &answer)
{
    return answer.outcome != jobs::StoreOutcome::Refused && answer.outcome != jobs::StoreOutcome::Unknown;
}

/** Only makes keys that must not exist: made twice, the second time is a conflict with the first. */
bool onlyCreates(const jobs::StoreChange &change)
{
    return change.removals.empty() && std::all_of(change.writes.begin(), change.writes.end(), [&change](const jobs::StoreChange::Write &write) {
               return write.lease == 0
                   && std::any_of(change.conditions.begin(), change.conditions.end(), [&write](const jobs::StoreChange::Condition &condition) {
                          return condition.key == write.key && condition.revision == 0;
                      });
           });
}

} // namespace internal

struct FailoverStore::State : std::enable_shared_from_this<FailoverStore::State> {
    /** Makes one call on a store. */
    using Send = std::function<void(jobs::CoordinationStore &, OnReply)>;

    struct Call {
        Send send;
        internal::Repeat repeat{internal::Repeat::IfNotDone};
        OnReply onAnswer;
        int outstanding{0};
        bool relayed{false};
        bool sentDirectly{false};
        bool mayBeDone{false};
        bool answered{false};
    };

    State(core::Executor &itsExecutor, jobs::CoordinationStore &itsDirect, LogSink &itsLog)
        : executor{itsExecutor}
        , direct{itsDirect}
        , log{itsLog}
    {
    }

    void start(Send send, internal::Repeat repeat, core::Duration hedgeAfter, OnReply onAnswer)
    {
        const std::shared_ptr<Call> call = std::make_shared<Call>();
        call->send = std::move(send);
        call->repeat = repeat;
        call->onAnswer = std::move(onAnswer);
        if (suspect && !relays.empty()) {
            sendThroughRelay(call);
            return;
        }
        sendDirectly(call);
        if (repeat == internal::Repeat::Harmless && !relays.empty()) {
            executor.after(hedgeAfter, [self = shared_from_this(), call] {
                if (!call->answered && !call->relayed && !self->relays.empty()) {
                    self->sendThroughRelay(call);
                }
            });
        }
    }

    void sendDirectly(const std::shared_ptr<Call> &call)
    {
        call->sentDirectly = true;
        ++call->outstanding;
        call->send(direct, [self = shared_from_this(), call](const jobs::StoreReply &answer) {
            self->judgeDirect(internal::isConclusive(answer));
            self->take(call, answer);
        });
    }

    void sendThroughRelay(const std::shared_ptr<Call> &call)
    {
        call->relayed = true;
        ++call->outstanding;
        const FailoverStore::Relay relay = relays[nextRelay % relays.size()];
        call->send(*relay, [self = shared_from_this(), call, relay](const jobs::StoreReply &answer) {
            if (!internal::isConclusive(answer)) {
                ++self->nextRelay;
            }
            self->take(call, answer);
        });
    }

    void take(const std::shared_ptr<Call> &call, const jobs::StoreReply &answer)
    {
        --call->outstanding;
        if (call->answered) {
            return;
        }
        if (internal::isConclusive(answer)) {
            finish(call, answer);
            return;
        }
        call->mayBeDone = call->mayBeDone || answer.outcome == jobs::StoreOutcome::Unknown;
        const bool again = call->repeat == internal::Repeat::Harmless || !call->mayBeDone;
        if (again && !call->relayed && !relays.empty()) {
            sendThroughRelay(call);
        } else if (again && !call->sentDirectly) {
            sendDirectly(call);
        } else if (call->outstanding == 0) {
            jobs::StoreReply failed;
            failed.outcome = call->mayBeDone ? jobs::StoreOutcome::Unknown : jobs::StoreOutcome::Refused;
            finish(call, failed);
        }
    }

    static void finish(const std::shared_ptr<Call> &call, const jobs::StoreReply &answer)
    {
        call->answered = true;
        const OnReply onAnswer = std::move(call->onAnswer);
        onAnswer(answer);
    }

    void judgeDirect(bool answered)
    {
        if (answered == !suspect) {
            return;
        }
        suspect = !answered;
        log.add("store_path", telemetry::Event{answered ? "store_path_regained" : "store_path_lost"}.with("relays", static_cast<std::int64_t>(relays.size())));
        if (suspect) {
            probe();
        }
    }

    void probe()
    {
        executor.after(internal::probeEvery, [self = shared_from_this()] {
            if (!self->suspect || self->stopped) {
                return;
            }
            self->direct.read(keys::owner, [self](const jobs::StoreReply &answer) {
                self->judgeDirect(internal::isConclusive(answer));
                if (self->suspect) {
                    self->probe();
                }
            });
        });
    }

    core::Executor &executor;
    jobs::CoordinationStore &direct;
    LogSink &log;
    std::vector<FailoverStore::Relay> relays;
    std::size_t nextRelay{0};
    bool suspect{false};
    bool stopped{false};
};

FailoverStore::FailoverStore(core::Executor &executor, jobs::CoordinationStore &direct, LogSink &log)
    : m_state{std::make_shared<State>(executor, direct, log)}
{
}

FailoverStore::~FailoverStore()
{
    m_state->stopped = true;
}

void FailoverStore::setRelays(std::vector<Relay> relays)
{
    m_state->relays = std::move(relays);
}

bool FailoverStore::isSuspect() const noexcept
{
    return m_state->suspect;
}

void FailoverStore::read(const std::string &key, OnReply onAnswer)
{
    const State::Send send = [key](jobs::CoordinationStore &store, OnReply answer) {
        store.read(key, std::move(answer));
    };
    m_state->start(send, internal::Repeat::Harmless, internal::hedgeAfter, std::move(onAnswer));
}

void FailoverStore::list(const std::string &prefix, const std::string &after, OnReply onAnswer)
{
    const State::Send send = [prefix, after](jobs::CoordinationStore &store, OnReply answer) {
        store.list(prefix, after, std::move(answer));
    };
    // A page may be large, and a node's link narrow.
    constexpr core::Duration usualPage = std::chrono::milliseconds{1000};
    m_state->start(send, internal::Repeat::Harmless, usualPage, std::move(onAnswer));
}

void FailoverStore::watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onAnswer)
{
    const State::Send send = [prefix, after, wait](jobs::CoordinationStore &store, OnReply answer) {
        store.watch(prefix, after, wait, std::move(answer));
    };
    m_state->start(send, internal::Repeat::Harmless, wait + internal::hedgeAfter, std::move(onAnswer));
}

void FailoverStore::commit(const jobs::StoreChange &change, OnReply onAnswer)
{
    const State::Send send = [change](jobs::CoordinationStore &store, OnReply answer) {
        store.commit(change, std::move(answer));
    };
    const internal::Repeat repeat = internal::onlyCreates(change) ? internal::Repeat::Harmless : internal::Repeat::IfNotDone;
    m_state->start(send, repeat, internal::hedgeAfter, std::move(onAnswer));
}

void FailoverStore::grant(core::Duration ttl, OnReply onAnswer)
{
    const State::Send send = [ttl](jobs::CoordinationStore &store, OnReply answer) {
        store.grant(ttl, std::move(answer));
    };
    m_state->start(send, internal::Repeat::IfNotDone, internal::hedgeAfter, std::move(onAnswer));
}

void FailoverStore::renew(std::int64_t lease, OnReply onAnswer)
{
    const State::Send send = [lease](jobs::CoordinationStore &store, OnReply answer) {
        store.renew(lease, std::move(answer));
    };
    m_state->start(send, internal::Repeat::Harmless, internal::hedgeAfter, std::move(onAnswer));
}

} // namespace oleanderwick::jobnode

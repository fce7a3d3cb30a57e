#include "failover_store.hpp"

#include <algorithm>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** Default time without a reply after which an idempotent call is also sent through another node; the store replies within a few milliseconds. */
constexpr core::Duration hedgeDelay = std::chrono::milliseconds{350};
/** Interval of the calls that test whether the direct path works again. */
constexpr core::Duration probeInterval = std::chrono::milliseconds{500};

/** @brief Whether a call may be sent twice. */
enum class RetryPolicy : std::uint8_t {
    Idempotent, /**< Always, also if the first one has been done or may still be done. */
    OnlyIfNotDone, /**< Only if the store has certainly done nothing the first time. */
};

bool isConclusive(const jobs::StoreReply &reply)
{
    return reply.outcome != jobs::StoreOutcome::Refused && reply.outcome != jobs::StoreOutcome::Unknown;
}

/** Returns whether a change only creates keys, without a lease, that must not exist yet: sent twice, the second change fails with a conflict. */
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
    /** Sends one call to a store. */
    using Send = std::function<void(jobs::CoordinationStore &, OnReply)>;

    struct Call {
        Send send;
        internal::RetryPolicy retryPolicy{internal::RetryPolicy::OnlyIfNotDone};
        OnReply onReply;
        int inFlight{0};
        bool sentToRelay{false};
        bool sentDirectly{false};
        bool mayBeDone{false};
        bool finished{false};
    };

    State(core::Executor &itsExecutor, jobs::CoordinationStore &itsDirect, LogSink &itsLog)
        : executor{itsExecutor}
        , direct{itsDirect}
        , log{itsLog}
    {
    }

    void start(Send send, internal::RetryPolicy retryPolicy, core::Duration hedgeDelay, OnReply onReply)
    {
        const std::shared_ptr<Call> call = std::make_shared<Call>();
        call->send = std::move(send);
        call->retryPolicy = retryPolicy;
        call->onReply = std::move(onReply);
        if (directPathLost && !relays.empty()) {
            sendThroughRelay(call);
            return;
        }
        sendDirectly(call);
        if (retryPolicy == internal::RetryPolicy::Idempotent && !relays.empty()) {
            executor.after(hedgeDelay, [self = shared_from_this(), call] {
                if (!call->finished && !call->sentToRelay && !self->relays.empty()) {
                    self->sendThroughRelay(call);
                }
            });
        }
    }

    void sendDirectly(const std::shared_ptr<Call> &call)
    {
        call->sentDirectly = true;
        ++call->inFlight;
        call->send(direct, [self = shared_from_this(), call](const jobs::StoreReply &reply) {
            self->updateDirectPath(internal::isConclusive(reply));
            self->handleReply(call, reply);
        });
    }

    void sendThroughRelay(const std::shared_ptr<Call> &call)
    {
        call->sentToRelay = true;
        ++call->inFlight;
        const FailoverStore::Relay relay = relays[nextRelay % relays.size()];
        call->send(*relay, [self = shared_from_this(), call, relay](const jobs::StoreReply &reply) {
            if (!internal::isConclusive(reply)) {
                ++self->nextRelay;
            }
            self->handleReply(call, reply);
        });
    }

    void handleReply(const std::shared_ptr<Call> &call, const jobs::StoreReply &reply)
    {
        --call->inFlight;
        if (call->finished) {
            return;
        }
        if (internal::isConclusive(reply)) {
            finish(call, reply);
            return;
        }
        call->mayBeDone = call->mayBeDone || reply.outcome == jobs::StoreOutcome::Unknown;
        const bool mayRetry = call->retryPolicy == internal::RetryPolicy::Idempotent || !call->mayBeDone;
        if (mayRetry && !call->sentToRelay && !relays.empty()) {
            sendThroughRelay(call);
        } else if (mayRetry && !call->sentDirectly) {
            sendDirectly(call);
        } else if (call->inFlight == 0) {
            jobs::StoreReply failure;
            failure.outcome = call->mayBeDone ? jobs::StoreOutcome::Unknown : jobs::StoreOutcome::Refused;
            finish(call, failure);
        }
    }

    static void finish(const std::shared_ptr<Call> &call, const jobs::StoreReply &reply)
    {
        call->finished = true;
        const OnReply onReply = std::move(call->onReply);
        onReply(reply);
    }

    void updateDirectPath(bool succeeded)
    {
        if (succeeded == !directPathLost) {
            return;
        }
        directPathLost = !succeeded;
        log.add("store_path", telemetry::Event{succeeded ? "store_path_regained" : "store_path_lost"}.with("relays", static_cast<std::int64_t>(relays.size())));
        if (directPathLost) {
            probe();
        }
    }

    void probe()
    {
        executor.after(internal::probeInterval, [self = shared_from_this()] {
            if (!self->directPathLost || self->stopped) {
                return;
            }
            self->direct.read(keys::owner, [self](const jobs::StoreReply &reply) {
                self->updateDirectPath(internal::isConclusive(reply));
                if (self->directPathLost) {
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
    bool directPathLost{false};
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

bool FailoverStore::isDirectPathLost() const noexcept
{
    return m_state->directPathLost;
}

void FailoverStore::read(const std::string &key, OnReply onReply)
{
    const State::Send send = [key](jobs::CoordinationStore &store, OnReply callback) {
        store.read(key, std::move(callback));
    };
    m_state->start(send, internal::RetryPolicy::Idempotent, internal::hedgeDelay, std::move(onReply));
}

void FailoverStore::list(const std::string &prefix, const std::string &after, OnReply onReply)
{
    const State::Send send = [prefix, after](jobs::CoordinationStore &store, OnReply callback) {
        store.list(prefix, after, std::move(callback));
    };
    // A page can be large and the link of a node slow.
    constexpr core::Duration pageHedgeDelay = std::chrono::milliseconds{1000};
    m_state->start(send, internal::RetryPolicy::Idempotent, pageHedgeDelay, std::move(onReply));
}

void FailoverStore::watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onReply)
{
    const State::Send send = [prefix, after, wait](jobs::CoordinationStore &store, OnReply callback) {
        store.watch(prefix, after, wait, std::move(callback));
    };
    m_state->start(send, internal::RetryPolicy::Idempotent, wait + internal::hedgeDelay, std::move(onReply));
}

void FailoverStore::commit(const jobs::StoreChange &change, OnReply onReply)
{
    const State::Send send = [change](jobs::CoordinationStore &store, OnReply callback) {
        store.commit(change, std::move(callback));
    };
    const internal::RetryPolicy retryPolicy = internal::onlyCreates(change) ? internal::RetryPolicy::Idempotent : internal::RetryPolicy::OnlyIfNotDone;
    m_state->start(send, retryPolicy, internal::hedgeDelay, std::move(onReply));
}

void FailoverStore::grant(core::Duration ttl, OnReply onReply)
{
    const State::Send send = [ttl](jobs::CoordinationStore &store, OnReply callback) {
        store.grant(ttl, std::move(callback));
    };
    m_state->start(send, internal::RetryPolicy::OnlyIfNotDone, internal::hedgeDelay, std::move(onReply));
}

void FailoverStore::renew(std::int64_t lease, OnReply onReply)
{
    const State::Send send = [lease](jobs::CoordinationStore &store, OnReply callback) {
        store.renew(lease, std::move(callback));
    };
    m_state->start(send, internal::RetryPolicy::Idempotent, internal::hedgeDelay, std::move(onReply));
}

} // namespace oleanderwick::jobnode

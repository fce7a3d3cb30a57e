#include "ownership.hpp"

#include <algorithm>
#include <random>

#include <absl/strings/str_cat.h>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** Long enough for a short stall of the store, short enough for a quick successor. */
constexpr core::Duration leaseTtl = std::chrono::milliseconds{1500};
constexpr core::Duration renewEvery = std::chrono::milliseconds{350};
/** Left at the end of the lease for an order that is just being sent. */
constexpr core::Duration sendMargin = std::chrono::milliseconds{200};
constexpr core::Duration retryAcquire = std::chrono::milliseconds{300};
/** Candidates do not all ask at once. */
constexpr int spreadMs = 60;
constexpr core::Duration watchWait = std::chrono::milliseconds{1500};

} // namespace internal

struct Ownership::State : std::enable_shared_from_this<Ownership::State> {
    State(core::Executor &itsExecutor,
          jobs::CoordinationStore &itsStore,
          std::string itsName,
          core::Duration itsHandicap,
          LogSink &itsLog,
          Callbacks itsCallbacks)
        : executor{itsExecutor}
        , store{itsStore}
        , self{std::move(itsName)}
        , handicap{itsHandicap}
        , log{itsLog}
        , callbacks{std::move(itsCallbacks)}
        , random{std::hash<std::string>{}(self)}
    {
    }

    void tryLater(core::Duration least)
    {
        if (attempting || resigned || token != 0) {
            return;
        }
        attempting = true;
        const core::Duration spread = std::chrono::milliseconds{std::uniform_int_distribution<int>{0, internal::spreadMs}(random)};
        executor.after(least + handicap + spread, [me = shared_from_this()] {
            me->attempting = false;
            me->acquire();
        });
    }

    void acquire()
    {
        if (stopped || resigned || token != 0 || taken || attempting) {
            return;
        }
        attempting = true;
        const core::TimePoint sentAt = executor.now();
        store.grant(internal::leaseTtl, [me = shared_from_this(), sentAt](const jobs::StoreReply &answer) {
            if (me->stopped || answer.outcome != jobs::StoreOutcome::Done) {
                me->attempting = false;
                me->tryLater(internal::retryAcquire);
                return;
            }
            me->claim(answer.lease, sentAt, answer.ttl);
        });
    }

    void claim(std::int64_t newLease, core::TimePoint sentAt, core::Duration newTtl)
    {
        const std::string mark = absl::StrCat(self, "/", newLease);
        const jobs::StoreChange change{{{keys::owner, 0}}, {{keys::owner, mark, newLease}}, {}};
        store.commit(change, [me = shared_from_this(), newLease, sentAt, newTtl, mark](const jobs::StoreReply &answer) {
            if (answer.outcome == jobs::StoreOutcome::Done) {
                me->acquired(answer.revision, newLease, sentAt, newTtl);
            } else if (answer.outcome == jobs::StoreOutcome::Unknown) {
                me->findOut(newLease, sentAt, newTtl, mark);
            } else {
                me->attempting = false;
                me->tryLater(internal::retryAcquire);
            }
        });
    }

    /** Reads the key after a claim whose answer was lost. */
    void findOut(std::int64_t newLease, core::TimePoint sentAt, core::Duration newTtl, const std::string &mark)
    {
        store.read(keys::owner, [me = shared_from_this(), newLease, sentAt, newTtl, mark](const jobs::StoreReply &answer) {
            const bool mine = answer.outcome == jobs::StoreOutcome::Done && !answer.items.empty() && answer.items.front().value == mark;
            if (mine) {
                me->acquired(answer.items.front().revision, newLease, sentAt, newTtl);
                return;
            }
            me->attempting = false;
            me->tryLater(internal::retryAcquire);
        });
    }

    void acquired(std::int64_t revision, std::int64_t newLease, core::TimePoint sentAt, core::Duration newTtl)
    {
        attempting = false;
        if (stopped || resigned) {
            return;
        }
        token = revision;
        lease = newLease;
        ttl = newTtl;
        validUntil = sentAt + ttl - internal::sendMargin;
        log.add("ownership_taken", telemetry::Event{"ownership_taken"}.with("token", token).with("lease", lease));
        callbacks.onAcquired(token);
        scheduleRenewal(token);
    }

    void scheduleRenewal(std::int64_t ofToken)
    {
        executor.after(internal::renewEvery, [me = shared_from_this(), ofToken] {
            if (!me->stopped && me->token == ofToken) {
                me->renew(ofToken);
            }
        });
    }

    void renew(std::int64_t ofToken)
    {
        const core::TimePoint sentAt = executor.now();
        store.renew(lease, [me = shared_from_this(), ofToken, sentAt](const jobs::StoreReply &answer) {
            if (me->stopped || me->token != ofToken) {
                return;
            }
            if (answer.outcome == jobs::StoreOutcome::NotFound) {
                me->lose("lease_ended");
                return;
            }
            if (answer.outcome == jobs::StoreOutcome::Done) {
                const bool lapsed = me->executor.now() >= me->validUntil;
                me->validUntil = std::max(me->validUntil, sentAt + me->ttl - internal::sendMargin);
                if (lapsed) {
                    me->log.add("ownership_resumed", telemetry::Event{"ownership_resumed"}.with("token", me->token));
                }
            }
            me->scheduleRenewal(ofToken);
        });
    }

    void lose(const char *why)
    {
        if (token == 0) {
            return;
        }
        log.add("ownership_lost", telemetry::Event{"ownership_lost"}.with("token", token).with("reason", why));
        token = 0;
        validUntil = {};
        callbacks.onLost();
        tryLater(internal::retryAcquire);
    }

    void takeOwner(const jobs::StoreItem &item)
    {
        if (item.key != keys::owner) {
            return;
        }
        taken = true;
        if (token != 0 && item.revision > token) {
            lose("other_owner");
        }
    }

    core::Executor &executor;
    jobs::CoordinationStore &store;
    std::string self;
    core::Duration handicap;
    LogSink &log;
    Callbacks callbacks;
    std::mt19937_64 random;
    std::unique_ptr<Watcher> watcher;
    bool stopped{false};
    bool resigned{false};
    bool attempting{false};
    bool taken{false}; /**< The key exists. */
    std::int64_t token{0};
    std::int64_t lease{0};
    core::Duration ttl{};
    core::TimePoint validUntil;
};

Ownership::Ownership(core::Executor &executor, jobs::CoordinationStore &store, std::string self, core::Duration handicap, LogSink &log, Callbacks callbacks)
    : m_state{std::make_shared<State>(executor, store, std::move(self), handicap, log, std::move(callbacks))}
{
    State *state = m_state.get();
    Watcher::Callbacks seen;
    seen.onItem = [state](const jobs::StoreItem &item) {
        state->takeOwner(item);
    };
    seen.onRemoved = [state](const std::string &key) {
        if (key == keys::owner) {
            state->taken = false;
            state->tryLater({});
        }
    };
    seen.onListed = [state] {
        if (!state->taken) {
            state->tryLater({});
        }
    };
    m_state->watcher = std::make_unique<Watcher>(executor, store, keys::ownerPrefix, internal::watchWait, std::move(seen));
}

Ownership::~Ownership()
{
    m_state->stopped = true;
    m_state->watcher.reset();
}

bool Ownership::holds(core::TimePoint now) const noexcept
{
    return m_state->token != 0 && now < m_state->validUntil;
}

std::int64_t Ownership::token() const noexcept
{
    return m_state->token;
}

void Ownership::lose()
{
    m_state->lose("condition_failed");
}

void Ownership::resign()
{
    m_state->resigned = true;
    if (m_state->token == 0) {
        return;
    }
    const jobs::StoreChange change{{{keys::owner, m_state->token}}, {}, {keys::owner}};
    m_state->lose("resigned");
    m_state->store.commit(change, [](const jobs::StoreReply &) {
        // A lost answer leaves the key to its lease.
    });
}

} // namespace oleanderwick::jobnode

#include "ownership.hpp"

#include <algorithm>
#include <random>

#include <absl/strings/str_cat.h>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** Outlasts a short stall of the store, and still lets a successor take over quickly. */
constexpr core::Duration leaseTtl = std::chrono::milliseconds{1500};
constexpr core::Duration renewInterval = std::chrono::milliseconds{350};
/** Reserved at the end of the lease for a command that is being sent. */
constexpr core::Duration commandMargin = std::chrono::milliseconds{200};
constexpr core::Duration acquireRetryDelay = std::chrono::milliseconds{300};
/** Random delay, so that candidates do not claim the key all at once. */
constexpr int maxJitterMs = 60;
constexpr core::Duration watchTimeout = std::chrono::milliseconds{1500};

} // namespace internal

struct Ownership::State : std::enable_shared_from_this<Ownership::State> {
    State(core::Executor &itsExecutor,
          jobs::CoordinationStore &itsStore,
          std::string itsName,
          core::Duration itsElectionDelay,
          LogSink &itsLog,
          Callbacks itsCallbacks,
          std::string itsAddress)
        : executor{itsExecutor}
        , store{itsStore}
        , nodeName{std::move(itsName)}
        , electionDelay{itsElectionDelay}
        , log{itsLog}
        , callbacks{std::move(itsCallbacks)}
        , address{std::move(itsAddress)}
        , random{std::hash<std::string>{}(nodeName)}
    {
    }

    void acquireLater(core::Duration minDelay)
    {
        if (acquirePending || resigned || token != 0) {
            return;
        }
        acquirePending = true;
        const core::Duration jitter = std::chrono::milliseconds{std::uniform_int_distribution<int>{0, internal::maxJitterMs}(random)};
        executor.after(minDelay + electionDelay + jitter, [self = shared_from_this()] {
            self->acquirePending = false;
            self->acquire();
        });
    }

    void acquire()
    {
        if (stopped || resigned || token != 0 || keyExists || acquirePending) {
            return;
        }
        acquirePending = true;
        const core::TimePoint sentAt = executor.now();
        store.grant(internal::leaseTtl, [self = shared_from_this(), sentAt](const jobs::StoreReply &reply) {
            if (self->stopped || reply.outcome != jobs::StoreOutcome::Done) {
                self->acquirePending = false;
                self->acquireLater(internal::acquireRetryDelay);
                return;
            }
            self->claim(reply.lease, sentAt, reply.ttl);
        });
    }

    void claim(std::int64_t newLease, core::TimePoint sentAt, core::Duration newTtl)
    {
        const std::string keyValue = toText(OwnerRecord{nodeName, newLease, address});
        const jobs::StoreChange change{{{keys::owner, 0}}, {{keys::owner, keyValue, newLease}}, {}};
        store.commit(change, [self = shared_from_this(), newLease, sentAt, newTtl, keyValue](const jobs::StoreReply &reply) {
            if (reply.outcome == jobs::StoreOutcome::Done) {
                self->handleAcquired(reply.revision, newLease, sentAt, newTtl);
            } else if (reply.outcome == jobs::StoreOutcome::Unknown) {
                self->checkClaim(newLease, sentAt, newTtl, keyValue);
            } else {
                self->acquirePending = false;
                self->acquireLater(internal::acquireRetryDelay);
            }
        });
    }

    /** Reads the key after a claim whose reply was lost. */
    void checkClaim(std::int64_t newLease, core::TimePoint sentAt, core::Duration newTtl, const std::string &keyValue)
    {
        store.read(keys::owner, [self = shared_from_this(), newLease, sentAt, newTtl, keyValue](const jobs::StoreReply &reply) {
            const bool isOwnKey = reply.outcome == jobs::StoreOutcome::Done && !reply.items.empty() && reply.items.front().value == keyValue;
            if (isOwnKey) {
                self->handleAcquired(reply.items.front().revision, newLease, sentAt, newTtl);
                return;
            }
            self->acquirePending = false;
            self->acquireLater(internal::acquireRetryDelay);
        });
    }

    void handleAcquired(std::int64_t revision, std::int64_t newLease, core::TimePoint sentAt, core::Duration newTtl)
    {
        acquirePending = false;
        if (stopped || resigned) {
            return;
        }
        token = revision;
        lease = newLease;
        ttl = newTtl;
        validUntil = sentAt + ttl - internal::commandMargin;
        log.add("ownership_taken", telemetry::Event{"ownership_taken"}.with("token", token).with("lease", lease));
        callbacks.onAcquired(token);
        scheduleRenewal(token);
    }

    void scheduleRenewal(std::int64_t renewedToken)
    {
        executor.after(internal::renewInterval, [self = shared_from_this(), renewedToken] {
            if (!self->stopped && self->token == renewedToken) {
                self->renew(renewedToken);
            }
        });
    }

    void renew(std::int64_t renewedToken)
    {
        const core::TimePoint sentAt = executor.now();
        store.renew(lease, [self = shared_from_this(), renewedToken, sentAt](const jobs::StoreReply &reply) {
            if (self->stopped || self->token != renewedToken) {
                return;
            }
            if (reply.outcome == jobs::StoreOutcome::NotFound) {
                self->handleLoss("lease_ended");
                return;
            }
            if (reply.outcome == jobs::StoreOutcome::Done) {
                const bool hadExpired = self->executor.now() >= self->validUntil;
                self->validUntil = std::max(self->validUntil, sentAt + self->ttl - internal::commandMargin);
                if (hadExpired) {
                    self->log.add("ownership_resumed", telemetry::Event{"ownership_resumed"}.with("token", self->token));
                }
            }
            self->scheduleRenewal(renewedToken);
        });
    }

    void handleLoss(const char *reason)
    {
        if (token == 0) {
            return;
        }
        log.add("ownership_lost", telemetry::Event{"ownership_lost"}.with("token", token).with("reason", reason));
        token = 0;
        validUntil = {};
        callbacks.onLost();
        acquireLater(internal::acquireRetryDelay);
    }

    void handleOwnerKey(const jobs::StoreItem &item)
    {
        if (item.key != keys::owner) {
            return;
        }
        keyExists = true;
        if (token != 0 && item.revision > token) {
            handleLoss("other_owner");
        }
        const OwnerRecord owner = ownerFromText(item.value);
        if (!address.empty() && owner.address == address && owner.name != nodeName && item.revision != removedRevision) {
            removeFormer(item.revision);
        }
        if (callbacks.onOwner) {
            callbacks.onOwner(owner);
        }
    }

    /** Removes the key of an owner at this node's own address: it has ended, since two processes can't listen there, so nobody waits for its lease. */
    void removeFormer(std::int64_t revision)
    {
        removedRevision = revision;
        log.add("former_ownership_removed", telemetry::Event{"former_ownership_removed"}.with("token", revision));
        store.commit({{{keys::owner, revision}}, {}, {keys::owner}}, [](const jobs::StoreReply &) {
            // If the call fails, the key expires with its lease.
        });
    }

    void handleOwnerRemoval()
    {
        keyExists = false;
        acquireLater({});
        if (callbacks.onOwner) {
            callbacks.onOwner(std::nullopt);
        }
    }

    core::Executor &executor;
    jobs::CoordinationStore &store;
    std::string nodeName;
    core::Duration electionDelay;
    LogSink &log;
    Callbacks callbacks;
    std::string address;
    std::mt19937_64 random;
    std::unique_ptr<Watcher> watcher;
    bool stopped{false};
    bool resigned{false};
    bool acquirePending{false};
    bool keyExists{false}; /**< The key of some owner is in the store. */
    std::int64_t removedRevision{0}; /**< Last revision of the key that this node has tried to remove. */
    std::int64_t token{0};
    std::int64_t lease{0};
    core::Duration ttl{};
    core::TimePoint validUntil;
};

Ownership::Ownership(core::Executor &executor,
                     jobs::CoordinationStore &store,
                     std::string nodeName,
                     core::Duration electionDelay,
                     LogSink &log,
                     Callbacks callbacks,
                     std::string address)
    : m_state{std::make_shared<State>(executor, store, std::move(nodeName), electionDelay, log, std::move(callbacks), std::move(address))}
{
    State *state = m_state.get();
    Watcher::Callbacks watcherCallbacks;
    watcherCallbacks.onItem = [state](const jobs::StoreItem &item) {
        state->handleOwnerKey(item);
    };
    watcherCallbacks.onRemoved = [state](const std::string &key) {
        if (key == keys::owner) {
            state->handleOwnerRemoval();
        }
    };
    watcherCallbacks.onListed = [state] {
        if (!state->keyExists) {
            state->acquireLater({});
        }
    };
    m_state->watcher = std::make_unique<Watcher>(executor, store, keys::ownerPrefix, internal::watchTimeout, std::move(watcherCallbacks));
}

Ownership::~Ownership()
{
    m_state->stopped = true;
    m_state->watcher.reset();
}

bool Ownership::isHeld(core::TimePoint now) const noexcept
{
    return m_state->token != 0 && now < m_state->validUntil;
}

core::TimePoint Ownership::validUntil() const noexcept
{
    return m_state->token == 0 ? core::TimePoint::min() : m_state->validUntil;
}

std::int64_t Ownership::token() const noexcept
{
    return m_state->token;
}

void Ownership::lookUp(std::function<void(bool)> onDone)
{
    State *state = m_state.get();
    m_state->watcher->fetch(keys::owner, [state, done = std::move(onDone)](FetchResult result, const jobs::StoreItem &item) {
        if (result == FetchResult::Found) {
            state->handleOwnerKey(item);
        } else if (result == FetchResult::Absent) {
            state->handleOwnerRemoval();
        }
        done(result != FetchResult::Failed);
    });
}

void Ownership::handleLoss()
{
    m_state->handleLoss("condition_failed");
}

void Ownership::resign()
{
    m_state->resigned = true;
    if (m_state->token == 0) {
        return;
    }
    const jobs::StoreChange change{{{keys::owner, m_state->token}}, {}, {keys::owner}};
    m_state->handleLoss("resigned");
    m_state->store.commit(change, [](const jobs::StoreReply &) {
        // If the call fails, the key expires with its lease.
    });
}

} // namespace oleanderwick::jobnode

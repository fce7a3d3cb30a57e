#include "watcher.hpp"

#include <algorithm>

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration minRetryDelay = std::chrono::milliseconds{50};
constexpr core::Duration maxRetryDelay = std::chrono::milliseconds{500};

} // namespace internal

struct Watcher::State : std::enable_shared_from_this<Watcher::State> {
    State(core::Executor &itsExecutor,
          jobs::CoordinationStore &itsStore,
          std::string itsPrefix,
          core::Duration itsWait,
          Callbacks itsCallbacks,
          core::Duration itsBatchDelay)
        : executor{itsExecutor}
        , store{itsStore}
        , prefix{std::move(itsPrefix)}
        , wait{itsWait}
        , callbacks{std::move(itsCallbacks)}
        , batchDelay{itsBatchDelay}
    {
    }

    void list(const std::string &after)
    {
        store.list(prefix, after, [self = shared_from_this(), first = after.empty()](const jobs::StoreReply &reply) {
            if (!self->stopped) {
                self->handlePage(reply, first);
            }
        });
    }

    void handlePage(const jobs::StoreReply &reply, bool first)
    {
        if (!recordResult(reply)) {
            retryLater([](State &state) {
                state.list("");
            });
            return;
        }
        if (first) {
            listedKeys.clear();
            revision = reply.revision;
        }
        for (const jobs::StoreItem &item : reply.items) {
            listedKeys.insert(item.key);
            callbacks.onItem(item);
        }
        if (reply.more && !reply.items.empty()) {
            list(reply.items.back().key);
            return;
        }
        for (const std::string &key : knownKeys) {
            if (!listedKeys.contains(key)) {
                callbacks.onRemoved(key);
            }
        }
        knownKeys = listedKeys;
        callbacks.onListed();
        watch();
    }

    void watch()
    {
        if (stopped) {
            return;
        }
        store.watch(prefix, revision, wait, [self = shared_from_this()](const jobs::StoreReply &reply) {
            if (!self->stopped) {
                self->handleChanges(reply);
            }
        });
    }

    void handleChanges(const jobs::StoreReply &reply)
    {
        if (reply.outcome == jobs::StoreOutcome::Compacted) {
            list("");
            return;
        }
        if (!recordResult(reply)) {
            retryLater([](State &state) {
                state.watch();
            });
            return;
        }
        for (const jobs::StoreItem &item : reply.items) {
            knownKeys.insert(item.key);
            callbacks.onItem(item);
        }
        for (const std::string &key : reply.removed) {
            knownKeys.erase(key);
            callbacks.onRemoved(key);
        }
        revision = std::max(revision, reply.revision);
        const bool isEmpty = reply.items.empty() && reply.removed.empty();
        if (isEmpty || batchDelay == core::Duration::zero()) {
            watch();
            return;
        }
        executor.after(batchDelay, [self = shared_from_this()] {
            self->watch();
        });
    }

    /** Updates the retry delay and reports whether a call succeeded. */
    bool recordResult(const jobs::StoreReply &reply)
    {
        const bool succeeded = reply.outcome == jobs::StoreOutcome::Done;
        retryDelay = succeeded ? internal::minRetryDelay : std::min(internal::maxRetryDelay, retryDelay * 2);
        if (callbacks.onCallResult) {
            callbacks.onCallResult(succeeded);
        }
        return succeeded;
    }

    void retryLater(std::function<void(State &)> call)
    {
        executor.after(retryDelay, [self = shared_from_this(), retried = std::move(call)] {
            if (!self->stopped) {
                retried(*self);
            }
        });
    }

    core::Executor &executor;
    jobs::CoordinationStore &store;
    std::string prefix;
    core::Duration wait;
    Callbacks callbacks;
    core::Duration batchDelay;
    bool stopped{false};
    core::Duration retryDelay{internal::minRetryDelay};
    std::int64_t revision{0};
    std::set<std::string> knownKeys;
    std::set<std::string> listedKeys;
};

Watcher::Watcher(core::Executor &executor,
                 jobs::CoordinationStore &store,
                 std::string prefix,
                 core::Duration wait,
                 Callbacks callbacks,
                 core::Duration batchDelay)
    : m_state{std::make_shared<State>(executor, store, std::move(prefix), wait, std::move(callbacks), batchDelay)}
{
    m_state->list("");
}

Watcher::~Watcher()
{
    m_state->stopped = true;
}

} // namespace oleanderwick::jobnode

#include "watcher.hpp"

#include <algorithm>
#include <map>

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration minRetryDelay = std::chrono::milliseconds{50};
constexpr core::Duration maxRetryDelay = std::chrono::milliseconds{500};
/** Before it compacts its history, the store delivers nothing for 1 to 3.4 s; a watch that is only slow delivers more often. */
constexpr core::Duration minSilence = std::chrono::milliseconds{1000};

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
        , lastChangesAt{itsExecutor.now()}
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
            supersedeFetches(item.key);
            callbacks.onItem(item);
        }
        if (reply.more && !reply.items.empty()) {
            list(reply.items.back().key);
            return;
        }
        // A key that was fetched at a later revision than that of the listing is not missing; the watch delivers it.
        std::erase_if(fetchedKeys, [this](const std::pair<const std::string, std::int64_t> &fetched) {
            return fetched.second <= revision;
        });
        for (const std::string &key : knownKeys) {
            if (fetchedKeys.contains(key)) {
                listedKeys.insert(key);
            } else if (!listedKeys.contains(key)) {
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
        const bool isEmpty = reply.items.empty() && reply.removed.empty();
        const bool wasSilent = executor.now() - lastChangesAt >= internal::minSilence;
        lastChangesAt = isEmpty ? lastChangesAt : executor.now();
        for (const jobs::StoreItem &item : reply.items) {
            knownKeys.insert(item.key);
            const bool wasFetched = fetchedKeys.contains(item.key) || fetches.contains(item.key);
            overtakenFetches += wasFetched && !wasSilent ? 1 : 0;
            supersedeFetches(item.key);
            callbacks.onItem(item);
        }
        for (const std::string &key : reply.removed) {
            knownKeys.erase(key);
            supersedeFetches(key);
            callbacks.onRemoved(key);
        }
        revision = std::max(revision, reply.revision);
        if (isEmpty || batchDelay == core::Duration::zero()) {
            watch();
            return;
        }
        executor.after(batchDelay, [self = shared_from_this()] {
            self->watch();
        });
    }

    void fetch(const std::string &key, OnFetched onFetched)
    {
        const std::shared_ptr<bool> superseded = std::make_shared<bool>(false);
        fetches.emplace(key, superseded);
        store.read(key, [self = shared_from_this(), key, superseded, fetched = std::move(onFetched)](const jobs::StoreReply &reply) {
            std::erase_if(self->fetches, [&superseded](const std::pair<const std::string, std::shared_ptr<bool>> &item) {
                return item.second == superseded;
            });
            if (!self->stopped) {
                self->handleFetched(key, *superseded, reply, fetched);
            }
        });
    }

    void handleFetched(const std::string &key, bool superseded, const jobs::StoreReply &reply, const OnFetched &onFetched)
    {
        if (superseded) {
            onFetched(FetchResult::Superseded, {});
        } else if (reply.outcome == jobs::StoreOutcome::Done && !reply.items.empty()) {
            knownKeys.insert(key);
            fetchedKeys[key] = reply.items.front().revision;
            onFetched(FetchResult::Found, reply.items.front());
        } else {
            onFetched(reply.outcome == jobs::StoreOutcome::NotFound ? FetchResult::Absent : FetchResult::Failed, {});
        }
    }

    /** Discards the results of fetches of a key that was delivered. */
    void supersedeFetches(const std::string &key)
    {
        fetchedKeys.erase(key);
        const auto range = fetches.equal_range(key);
        for (auto fetch = range.first; fetch != range.second; ++fetch) {
            *fetch->second = true;
        }
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
    core::TimePoint lastChangesAt;
    std::uint64_t overtakenFetches{0};
    std::multimap<std::string, std::shared_ptr<bool>> fetches; /**< Fetches in flight, with whether their key was delivered meanwhile. */
    std::map<std::string, std::int64_t> fetchedKeys; /**< Revisions of fetched keys that the watch has not delivered yet. */
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

void Watcher::fetch(const std::string &key, OnFetched onFetched)
{
    m_state->fetch(key, std::move(onFetched));
}

core::TimePoint Watcher::lastChangesAt() const noexcept
{
    return m_state->lastChangesAt;
}

std::uint64_t Watcher::overtakenFetches() const noexcept
{
    return m_state->overtakenFetches;
}

} // namespace oleanderwick::jobnode

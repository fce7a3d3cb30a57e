#include "watcher.hpp"

#include <algorithm>

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration firstRetry = std::chrono::milliseconds{50};
constexpr core::Duration longestRetry = std::chrono::milliseconds{500};

} // namespace internal

struct Watcher::State : std::enable_shared_from_this<Watcher::State> {
    State(core::Executor &itsExecutor, jobs::CoordinationStore &itsStore, std::string itsPrefix, core::Duration itsWait, Callbacks itsCallbacks)
        : executor{itsExecutor}
        , store{itsStore}
        , prefix{std::move(itsPrefix)}
        , wait{itsWait}
        , callbacks{std::move(itsCallbacks)}
    {
    }

    void list(const std::string &after)
    {
        store.list(prefix, after, [self = shared_from_this(), first = after.empty()](const jobs::StoreReply &answer) {
            if (!self->stopped) {
                self->takePage(answer, first);
            }
        });
    }

    void takePage(const jobs::StoreReply &answer, bool first)
    {
        if (!contact(answer)) {
            again([](State &state) {
                state.list("");
            });
            return;
        }
        if (first) {
            listed.clear();
            revision = answer.revision;
        }
        for (const jobs::StoreItem &item : answer.items) {
            listed.insert(item.key);
            callbacks.onItem(item);
        }
        if (answer.more && !answer.items.empty()) {
            list(answer.items.back().key);
            return;
        }
        for (const std::string &key : known) {
            if (!listed.contains(key)) {
                callbacks.onRemoved(key);
            }
        }
        known = listed;
        callbacks.onListed();
        watch();
    }

    void watch()
    {
        if (stopped) {
            return;
        }
        store.watch(prefix, revision, wait, [self = shared_from_this()](const jobs::StoreReply &answer) {
            if (!self->stopped) {
                self->takeChanges(answer);
            }
        });
    }

    void takeChanges(const jobs::StoreReply &answer)
    {
        if (answer.outcome == jobs::StoreOutcome::Compacted) {
            list("");
            return;
        }
        if (!contact(answer)) {
            again([](State &state) {
                state.watch();
            });
            return;
        }
        for (const jobs::StoreItem &item : answer.items) {
            known.insert(item.key);
            callbacks.onItem(item);
        }
        for (const std::string &key : answer.removed) {
            known.erase(key);
            callbacks.onRemoved(key);
        }
        revision = std::max(revision, answer.revision);
        watch();
    }

    /** Notes whether a call was answered. */
    bool contact(const jobs::StoreReply &answer)
    {
        const bool answered = answer.outcome == jobs::StoreOutcome::Done;
        retry = answered ? internal::firstRetry : std::min(internal::longestRetry, retry * 2);
        if (callbacks.onContact) {
            callbacks.onContact(answered);
        }
        return answered;
    }

    void again(std::function<void(State &)> call)
    {
        executor.after(retry, [self = shared_from_this(), todo = std::move(call)] {
            if (!self->stopped) {
                todo(*self);
            }
        });
    }

    core::Executor &executor;
    jobs::CoordinationStore &store;
    std::string prefix;
    core::Duration wait;
    Callbacks callbacks;
    bool stopped{false};
    core::Duration retry{internal::firstRetry};
    std::int64_t revision{0};
    std::set<std::string> known;
    std::set<std::string> listed;
};

Watcher::Watcher(core::Executor &executor, jobs::CoordinationStore &store, std::string prefix, core::Duration wait, Callbacks callbacks)
    : m_state{std::make_shared<State>(executor, store, std::move(prefix), wait, std::move(callbacks))}
{
    m_state->list("");
}

Watcher::~Watcher()
{
    m_state->stopped = true;
}

} // namespace oleanderwick::jobnode

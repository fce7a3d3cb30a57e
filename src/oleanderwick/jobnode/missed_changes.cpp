#include "missed_changes.hpp"

#include <map>
#include <set>

#include "expected_keys.hpp"
#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/**
 * With a grace of 5 checks a key is read 80 to 100 ms after it became expected: three times the usual latency of the watch (5 to 30 ms), and short
 * against the 300 ms in which a job is to be started.
 */
constexpr core::Duration checkInterval = std::chrono::milliseconds{20};
/** A worker whose entry does not exist is looked for again after 400 ms, the interval of the list of instances, then less and less often. */
constexpr std::uint32_t absentWorkerDelay = 20;
constexpr std::uint32_t maxAbsentWorkerDelay = 320;

ExpectedKeys::Policy workerPolicy()
{
    ExpectedKeys::Policy policy;
    policy.absentDelay = absentWorkerDelay;
    policy.maxAbsentDelay = maxAbsentWorkerDelay;
    return policy;
}

} // namespace internal

struct MissedChanges::State : std::enable_shared_from_this<MissedChanges::State> {
    /** Keys that one of the watchers should deliver. */
    struct Source {
        Watcher &watcher;
        ExpectedKeys expected;
        std::string prefix;
        const char *event; /**< Log event of a read. */
        core::TimePoint changesAt{}; /**< `Watcher::lastChangesAt` at the latest check. */
        std::uint64_t overtaken{0}; /**< `Watcher::overtakenFetches` at the latest check. */
        std::map<std::string, core::TimePoint> since{}; /**< Time since which each key is expected. */
    };

    State(core::Executor &itsExecutor, LogSink &itsLog, Watcher &jobWatcher, Watcher &workerWatcher, std::string workerPrefix, Callbacks itsCallbacks)
        : executor{itsExecutor}
        , log{itsLog}
        , jobs{jobWatcher, ExpectedKeys{ExpectedKeys::Policy{}}, keys::jobPrefix, "missed_job_read"}
        , workers{workerWatcher, ExpectedKeys{internal::workerPolicy()}, std::move(workerPrefix), "missed_worker_read"}
        , callbacks{std::move(itsCallbacks)}
    {
    }

    void expect(Source &source, const std::string &name)
    {
        const std::string key = source.prefix + name;
        if (source.expected.contains(key)) {
            return;
        }
        if (source.expected.empty()) {
            source.changesAt = source.watcher.lastChangesAt();
        }
        if (source.expected.expect(key)) {
            source.since.emplace(key, executor.now());
            scheduleCheck();
        }
    }

    void forget(Source &source, const std::string &name)
    {
        source.expected.forget(source.prefix + name);
        source.since.erase(source.prefix + name);
    }

    void scheduleCheck()
    {
        if (checkScheduled || (jobs.expected.empty() && workers.expected.empty())) {
            return;
        }
        checkScheduled = true;
        executor.after(internal::checkInterval, [self = shared_from_this()] {
            self->checkScheduled = false;
            if (!self->stopped) {
                self->checkAll();
                self->scheduleCheck();
            }
        });
    }

    void checkAll()
    {
        if (callbacks.isReady()) {
            check(jobs);
            check(workers);
        }
    }

    void check(Source &source)
    {
        if (source.changesAt != source.watcher.lastChangesAt()) {
            source.changesAt = source.watcher.lastChangesAt();
            source.expected.handleDelivery();
        }
        if (source.overtaken != source.watcher.overtakenFetches()) {
            source.overtaken = source.watcher.overtakenFetches();
            source.expected.handleOvertakenRead();
        }
        for (const std::string &key : source.expected.check()) {
            const std::string name = key.substr(source.prefix.size());
            if (&source == &jobs ? callbacks.isJobKnown(name) : callbacks.isWorkerRegistered(name)) {
                settle(source, name);
                continue;
            }
            log.metrics().count("owner_notice_read");
            source.watcher.fetch(key, [self = shared_from_this(), &source, name, key](FetchResult result, const jobs::StoreItem &item) {
                if (!self->stopped) {
                    self->handleFetched(source, name, key, result, item);
                }
            });
        }
    }

    void handleFetched(Source &source, const std::string &name, const std::string &key, FetchResult result, const jobs::StoreItem &item)
    {
        const core::TimePoint now = executor.now();
        const auto since = source.since.find(key);
        telemetry::Event event{source.event};
        event.with("key", key).with("result", static_cast<std::int64_t>(result)).with("revision", item.revision);
        event.with("expected_ms", since == source.since.end() ? 0 : core::milliseconds(now - since->second));
        event.with("watch_silent_ms", core::milliseconds(now - source.watcher.lastChangesAt()));
        log.add(source.event, event);
        source.expected.handleRead(key, result);
        if (result == FetchResult::Found) {
            (&source == &jobs ? callbacks.onJob : callbacks.onWorker)(item);
        }
        if (!source.expected.contains(key)) {
            settle(source, name);
        }
    }

    /** Stops expecting a key; a cancellation of its job is applied if the job is known by now, and dropped otherwise. */
    void settle(Source &source, const std::string &name)
    {
        forget(source, name);
        if (&source == &jobs && cancelled.erase(name) > 0 && callbacks.isJobKnown(name)) {
            callbacks.onCancel(name);
        }
    }

    void handleNotice(const OwnerNotice &notice)
    {
        const bool isCancel = notice.kind == OwnerNotice::Kind::Cancel;
        if (callbacks.isReady() && callbacks.isJobKnown(notice.id)) {
            if (isCancel) {
                callbacks.onCancel(notice.id);
            }
            return;
        }
        expect(jobs, notice.id);
        if (isCancel && jobs.expected.contains(jobs.prefix + notice.id)) {
            cancelled.insert(notice.id);
        }
    }

    void handleInstances(const jobs::InstancePort::Instances &instances)
    {
        std::set<std::string> missing;
        for (const std::pair<const std::string, jobs::InstanceEntry> &item : instances) {
            const std::string &worker = item.second.worker;
            if (item.second.state == jobs::InstanceState::Up && !worker.empty() && !callbacks.isWorkerRegistered(worker)) {
                missing.insert(worker);
                expect(workers, worker);
            }
        }
        for (const std::string &key : workers.expected.keys()) {
            const std::string name = key.substr(workers.prefix.size());
            if (!missing.contains(name)) {
                forget(workers, name);
            }
        }
    }

    core::Executor &executor;
    LogSink &log;
    Source jobs;
    Source workers;
    Callbacks callbacks;
    bool stopped{false};
    bool checkScheduled{false};
    std::set<std::string> cancelled; /**< Ids of expected jobs whose cancellation is in the store. */
};

MissedChanges::MissedChanges(core::Executor &executor, LogSink &log, Watcher &jobs, Watcher &workers, std::string workerPrefix, Callbacks callbacks)
    : m_state{std::make_shared<State>(executor, log, jobs, workers, std::move(workerPrefix), std::move(callbacks))}
{
}

MissedChanges::~MissedChanges()
{
    m_state->stopped = true;
}

void MissedChanges::handleNotices(const std::vector<OwnerNotice> &notices)
{
    m_state->log.metrics().count("owner_notice_received", notices.size());
    for (const OwnerNotice &notice : notices) {
        m_state->handleNotice(notice);
    }
}

void MissedChanges::handleJobKnown(const std::string &id)
{
    m_state->settle(m_state->jobs, id);
}

void MissedChanges::handleInstances(const jobs::InstancePort::Instances &instances)
{
    m_state->handleInstances(instances);
}

} // namespace oleanderwick::jobnode

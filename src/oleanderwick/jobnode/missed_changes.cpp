#include "missed_changes.hpp"

#include <algorithm>
#include <deque>
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
/** A job that the watch delivered is remembered for so long, to measure its delay when its notice arrives. */
constexpr core::Duration knownJobRetention = std::chrono::seconds{5};

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
            isReading = true;
            (&source == &jobs ? callbacks.onJob : callbacks.onWorker)(item);
            isReading = false;
        }
        if (!source.expected.contains(key)) {
            settle(source, name);
        }
    }

    /** Stops expecting a key; a cancellation of its job is applied if the job is known by now, and dropped otherwise. */
    void settle(Source &source, const std::string &name)
    {
        forget(source, name);
        if (&source != &jobs) {
            return;
        }
        jobsStoredAt.erase(name);
        if (cancelled.erase(name) > 0 && callbacks.isJobKnown(name)) {
            callbacks.onCancel(name);
        }
    }

    void handleNotice(const OwnerNotice &notice)
    {
        const bool isCancel = notice.kind == OwnerNotice::Kind::Cancel;
        const core::TimePoint storedAt = executor.now() - std::chrono::milliseconds{notice.ageMs};
        if (callbacks.isReady() && callbacks.isJobKnown(notice.id)) {
            if (isCancel) {
                callbacks.onCancel(notice.id);
                return;
            }
            const auto known = knownSince.find(notice.id);
            if (known != knownSince.end()) {
                log.metrics().recordIntake("watch", std::max(core::Duration::zero(), known->second - storedAt));
                knownSince.erase(known);
            }
            return;
        }
        expect(jobs, notice.id);
        if (!jobs.expected.contains(jobs.prefix + notice.id)) {
            return;
        }
        if (isCancel) {
            cancelled.insert(notice.id);
        } else {
            jobsStoredAt.emplace(notice.id, storedAt);
        }
    }

    void handleJobKnown(const std::string &id)
    {
        const core::TimePoint now = executor.now();
        const auto stored = jobsStoredAt.find(id);
        if (stored != jobsStoredAt.end()) {
            log.metrics().recordIntake(isReading ? "read" : "watch", now - stored->second);
        } else {
            knownSince.insert_or_assign(id, now);
            knownOrder.emplace_back(now, id);
        }
        while (!knownOrder.empty() && now - knownOrder.front().first > internal::knownJobRetention) {
            knownSince.erase(knownOrder.front().second);
            knownOrder.pop_front();
        }
        settle(jobs, id);
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
    bool isReading{false}; /**< A job that was read is being handled. */
    std::map<std::string, core::TimePoint> jobsStoredAt; /**< Expected jobs of notices, by id. */
    std::map<std::string, core::TimePoint> knownSince; /**< Jobs that the watch delivered recently and whose notice has not arrived, by id. */
    std::deque<std::pair<core::TimePoint, std::string>> knownOrder; /**< Those jobs in their order, and some whose notice has arrived. */
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
    m_state->handleJobKnown(id);
}

void MissedChanges::handleInstances(const jobs::InstancePort::Instances &instances)
{
    m_state->handleInstances(instances);
}

} // namespace oleanderwick::jobnode

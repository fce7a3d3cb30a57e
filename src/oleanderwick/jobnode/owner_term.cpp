#include "owner_term_state.hpp"

#include <algorithm>

#include "../jobs/wave_record.hpp"
#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration cycleInterval = std::chrono::milliseconds{50};
/** Under load, one cycle handles all events that arrive within this time. */
constexpr core::Duration minCycleInterval = std::chrono::milliseconds{3};
/** Reading a job takes tens of microseconds, so that this many delay a cancel or a renewal by a few milliseconds. */
constexpr std::size_t maxJobsPerCycle = 64;
constexpr core::Duration loadRetryDelay = std::chrono::milliseconds{100};
constexpr core::Duration watchTimeout = std::chrono::milliseconds{2000};
constexpr core::Duration jobBatchDelay = std::chrono::milliseconds{10};
/** Workers rewrite their entries with each heartbeat, hundreds of times a second in a large fleet. */
constexpr core::Duration workerBatchDelay = std::chrono::milliseconds{50};

} // namespace internal

OwnerTerm::State::State(core::Executor &itsExecutor,
                        const Ports &itsPorts,
                        Ownership &itsOwnership,
                        std::int64_t itsToken,
                        const OwnerOptions &itsOptions,
                        LogSink &itsLog)
    : executor{itsExecutor}
    , ports{itsPorts}
    , ownership{itsOwnership}
    , token{itsToken}
    , options{itsOptions}
    , log{itsLog}
    , scheduler{itsOptions.scheduler, itsExecutor.now()}
    , commandDelay{itsExecutor.now() + itsOptions.commandDelay + itsOptions.maxCommandFlight}
    , maintenance{commandDelay}
    , balancer{itsOptions.balancing, commandDelay}
    , startedAt{itsExecutor.now()}
    , commandedInstances{itsOptions.commandDelay, itsOptions.maxCommandFlight}
    , zoneClosures{itsPorts.translator.zoneClosurePrefix()}
{
}

bool OwnerTerm::State::isActive() const
{
    return !stopped && ownership.token() == token;
}

void OwnerTerm::State::begin()
{
    // All loads run at the same time: each call may take long, and the records of former owners no longer change.
    loadUsedWorkers();
    loadCommandedInstances();
    loadRecords();
    startWatchers();
}

void OwnerTerm::State::handleLoaded()
{
    --pendingLoads;
    restoreOnceLoaded();
}

void OwnerTerm::State::loadUsedWorkers()
{
    ports.store.read(keys::usedWorkers, [self = shared_from_this()](const jobs::StoreReply &reply) {
        if (!self->isActive()) {
            return;
        }
        if (reply.outcome != jobs::StoreOutcome::Done && reply.outcome != jobs::StoreOutcome::NotFound) {
            self->executor.after(internal::loadRetryDelay, [self] {
                self->loadUsedWorkers();
            });
            return;
        }
        if (!reply.items.empty()) {
            self->revisions[keys::usedWorkers] = reply.items.front().revision;
            self->restoreUsedWorkers(reply.items.front().value);
        }
        self->handleLoaded();
    });
}

void OwnerTerm::State::loadCommandedInstances()
{
    ports.store.read(keys::commandedInstances, [self = shared_from_this()](const jobs::StoreReply &reply) {
        if (!self->isActive()) {
            return;
        }
        if (reply.outcome != jobs::StoreOutcome::Done && reply.outcome != jobs::StoreOutcome::NotFound) {
            self->executor.after(internal::loadRetryDelay, [self] {
                self->loadCommandedInstances();
            });
            return;
        }
        if (reply.items.empty()) {
            // No owner has ever sent a command to an instance.
            self->commandDelay.limitTo({});
        } else {
            self->revisions[keys::commandedInstances] = reply.items.front().revision;
            self->restoreCommandedInstances(reply.items.front().value);
        }
        self->handleLoaded();
    });
}

void OwnerTerm::State::restoreCommandedInstances(const std::string &text)
{
    std::optional<CommandedInstances::EndTimes> endTimes = commandedInstances.restore(text, startedAt);
    if (!endTimes.has_value()) {
        // The command delay then applies to all instances.
        log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("key", keys::commandedInstances));
        return;
    }
    log.add("ordered_instances", telemetry::Event{"ordered_instances"}.with("count", static_cast<std::int64_t>(endTimes->size())));
    commandDelay.limitTo(*std::move(endTimes));
}

void OwnerTerm::State::loadAll(const std::string &prefix, const std::string &after, const OnItem &onItem, const std::function<void()> &onComplete)
{
    ports.store.list(prefix, after, [self = shared_from_this(), prefix, after, onItem, onComplete](const jobs::StoreReply &reply) {
        if (!self->isActive()) {
            return;
        }
        if (reply.outcome != jobs::StoreOutcome::Done) {
            self->executor.after(internal::loadRetryDelay, [self, prefix, after, onItem, onComplete] {
                self->loadAll(prefix, after, onItem, onComplete);
            });
            return;
        }
        for (const jobs::StoreItem &item : reply.items) {
            self->revisions[item.key] = item.revision;
            onItem(item);
        }
        if (reply.more && !reply.items.empty()) {
            self->loadAll(prefix, reply.items.back().key, onItem, onComplete);
        } else {
            onComplete();
        }
    });
}

void OwnerTerm::State::loadRecords()
{
    const OnItem onWave = [this](const jobs::StoreItem &item) {
        handleWaveItem(item);
    };
    const OnItem onState = [this](const jobs::StoreItem &item) {
        handleStateItem(item);
    };
    loadAll(keys::wavePrefix, "", onWave, [this] {
        handleLoaded();
    });
    loadAll(keys::statePrefix, "", onState, [this] {
        handleLoaded();
    });
}

void OwnerTerm::State::handleWaveItem(const jobs::StoreItem &item)
{
    const std::int64_t number = std::strtoll(item.key.c_str() + keys::wavePrefix.size(), nullptr, 10);
    absl::StatusOr<jobs::WaveProgress> progress = jobs::waveProgressFromRecord(item.value);
    if (progress.ok()) {
        storedWaves[number] = *std::move(progress);
    } else {
        // Its instances then count as down only where the platform's list shows it.
        log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("key", item.key).with("error", std::string{progress.status().message()}));
    }
}

void OwnerTerm::State::handleStateItem(const jobs::StoreItem &item)
{
    const std::string id = item.key.substr(keys::statePrefix.size());
    absl::StatusOr<jobs::JobRecord> record = jobs::progressFromRecord(item.value);
    if (record.ok()) {
        storedStates[id] = *std::move(record);
    } else {
        log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("job", id).with("error", std::string{record.status().message()}));
    }
}

void OwnerTerm::State::startWatchers()
{
    // The watchers belong to this state and are destroyed before it.
    const auto ignoreRemoval = [](const std::string &) {
        // Only the owner removes these records, and only those of ended jobs.
    };
    Watcher::Callbacks cancels;
    cancels.onItem = [this](const jobs::StoreItem &item) {
        handleCancel(item.key.substr(keys::cancelPrefix.size()));
    };
    cancels.onRemoved = ignoreRemoval;
    cancels.onListed = [this] {
        cancelsListed = true;
        restoreOnceLoaded();
    };
    Watcher::Callbacks submittedJobs;
    submittedJobs.onItem = [this](const jobs::StoreItem &item) {
        handleSubmittedJob(item);
    };
    submittedJobs.onRemoved = ignoreRemoval;
    submittedJobs.onListed = [this] {
        jobsListed = true;
        restoreOnceLoaded();
    };
    Watcher::Callbacks workers;
    workers.onItem = [this](const jobs::StoreItem &item) {
        handleWorkerItem(item);
    };
    workers.onRemoved = [this](const std::string &key) {
        handleWorkerRemoval(key);
    };
    workers.onListed = [this] {
        workersListed = true;
        restoreOnceLoaded();
    };
    zoneClosures.follow(executor, ports.store, [this] {
        scheduler.setClosedZones(zoneClosures.zones());
        restoreOnceLoaded();
        scheduleCycle();
    });
    cancelWatcher = std::make_unique<Watcher>(executor, ports.store, keys::cancelPrefix, internal::watchTimeout, std::move(cancels));
    jobWatcher = std::make_unique<Watcher>(executor, ports.store, keys::jobPrefix, internal::watchTimeout, std::move(submittedJobs), internal::jobBatchDelay);
    workerWatcher = std::make_unique<Watcher>(
        executor, ports.store, ports.translator.workerPrefix(), internal::watchTimeout, std::move(workers), internal::workerBatchDelay);
    if (options.notifyOwner) {
        watchMissedChanges();
    }
}

void OwnerTerm::State::watchMissedChanges()
{
    MissedChanges::Callbacks callbacks;
    callbacks.isReady = [this] {
        return ready && isActive();
    };
    callbacks.isJobKnown = [this](const std::string &id) {
        return isJobKnown(id);
    };
    callbacks.onCancel = [this](const std::string &id) {
        cancelJob(id);
    };
    callbacks.onJob = [this](const jobs::StoreItem &item) {
        handleSubmittedJob(item);
    };
    callbacks.isWorkerRegistered = [this](const std::string &name) {
        const auto worker = scheduler.workers().find(name);
        return worker != scheduler.workers().end() && worker->second.registered;
    };
    callbacks.onWorker = [this](const jobs::StoreItem &item) {
        handleWorkerItem(item);
    };
    missedChanges = std::make_unique<MissedChanges>(executor, log, *jobWatcher, *workerWatcher, ports.translator.workerPrefix(), std::move(callbacks));
}

void OwnerTerm::State::restoreOnceLoaded()
{
    if (ready || pendingLoads > 0 || !cancelsListed || !jobsListed || !workersListed || !zoneClosures.isListed()) {
        return;
    }
    if (!configured) {
        // Without a configuration, the limits of teams and the kinds of pools are unknown.
        log.add("tenure_waits", telemetry::Event{"tenure_waits"}.with("token", token).with("reason", "no_configuration"));
        return;
    }
    ready = true;
    for (const std::pair<const std::string, std::pair<jobs::Job, std::int64_t>> &item : storedJobs) {
        restoreJob(item.first);
    }
    for (const std::string &id : storedCancels) {
        scheduler.cancelJob(id, executor.wallMs(), executor.now());
    }
    for (const std::pair<const std::int64_t, jobs::MaintenanceWave> &wave : waves) {
        const auto progress = storedWaves.find(wave.first);
        maintenance.addWave(
            wave.second, progress == storedWaves.end() ? std::nullopt : std::optional<jobs::WaveProgress>{progress->second}, executor.wallMs(), executor.now());
    }
    telemetry::Event event{"tenure_ready"};
    event.with("token", token).with("jobs", static_cast<std::int64_t>(storedJobs.size())).with("states", static_cast<std::int64_t>(storedStates.size()));
    event.with("workers", static_cast<std::int64_t>(scheduler.workers().size())).with("took_ms", core::milliseconds(executor.now() - startedAt));
    log.add("tenure_ready", event);
    storedJobs.clear();
    storedStates.clear();
    storedCancels.clear();
    runPeriodically();
}

void OwnerTerm::State::runPeriodically()
{
    if (!isActive()) {
        return;
    }
    runCycle();
    executor.after(internal::cycleInterval, [self = shared_from_this()] {
        self->runPeriodically();
    });
}

void OwnerTerm::State::restoreJob(const std::string &id)
{
    const std::pair<jobs::Job, std::int64_t> &stored = storedJobs[id];
    const auto state = storedStates.find(id);
    if (state == storedStates.end()) {
        scheduler.addJob(stored.first, std::nullopt, stored.second < token, startedAt);
        return;
    }
    if (jobs::isFinal(state->second.state)) {
        endedJobs[id] = state->second.endedMs;
    }
    scheduler.addJob(stored.first, state->second, stored.second < token, startedAt);
}

bool OwnerTerm::State::isJobKnown(const std::string &id) const
{
    return intake.contains(id) || endedJobs.contains(id) || scheduler.findJob(id) != nullptr;
}

void OwnerTerm::State::cancelJob(const std::string &id)
{
    if (!endedJobs.contains(id)) {
        scheduler.cancelJob(id, executor.wallMs(), executor.now());
        scheduleCycle();
    }
}

void OwnerTerm::State::handleCancel(const std::string &id)
{
    if (ready) {
        cancelJob(id);
    } else {
        storedCancels.insert(id);
    }
}

void OwnerTerm::State::handleSubmittedJob(const jobs::StoreItem &item)
{
    const std::string id = item.key.substr(keys::jobPrefix.size());
    // A listing after a compaction delivers all jobs again; most of them are known.
    if (ready && isJobKnown(id)) {
        return;
    }
    if (ready) {
        intake.add(id, item);
        if (missedChanges != nullptr) {
            missedChanges->handleJobKnown(id);
        }
        scheduleCycle();
        return;
    }
    std::optional<jobs::Job> job = parseJob(item);
    if (job.has_value()) {
        storedJobs.insert_or_assign(job->id, std::pair{*job, item.revision});
    }
}

std::optional<jobs::Job> OwnerTerm::State::parseJob(const jobs::StoreItem &item)
{
    absl::StatusOr<jobs::Job> job = jobs::jobFromRecord(item.value);
    if (!job.ok()) {
        log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("key", item.key).with("error", std::string{job.status().message()}));
        return std::nullopt;
    }
    return *std::move(job);
}

void OwnerTerm::State::addSubmittedJobs()
{
    for (const jobs::StoreItem &item : intake.take(internal::maxJobsPerCycle)) {
        std::optional<jobs::Job> job = parseJob(item);
        if (job.has_value()) {
            scheduler.addJob(*std::move(job), std::nullopt, item.revision < token, executor.now());
        }
    }
    if (!intake.isEmpty()) {
        scheduleCycle();
    }
}

void OwnerTerm::State::scheduleCycle()
{
    if (cycleScheduled || !ready || stopped) {
        return;
    }
    cycleScheduled = true;
    const core::Duration sinceCycle = executor.now() - lastCycleAt;
    // Cycles take up half of the time at most, so that what arrives meanwhile, such as cancels, is read without a growing delay.
    const core::Duration interval = std::max(internal::minCycleInterval, 2 * lastCycleDuration);
    const std::function<void()> work = [self = shared_from_this()] {
        self->cycleScheduled = false;
        self->runCycle();
    };
    if (sinceCycle >= interval) {
        executor.post(work);
    } else {
        executor.after(interval - sinceCycle, work);
    }
}

OwnerTerm::OwnerTerm(core::Executor &executor, const Ports &ports, Ownership &ownership, std::int64_t token, const OwnerOptions &options, LogSink &log)
    : m_state{std::make_shared<State>(executor, ports, ownership, token, options, log)}
{
    m_state->begin();
}

OwnerTerm::~OwnerTerm()
{
    m_state->stopped = true;
    m_state->log.metrics().setTeamFigures({});
    m_state->missedChanges.reset();
    m_state->cancelWatcher.reset();
    m_state->jobWatcher.reset();
    m_state->workerWatcher.reset();
    m_state->zoneClosures.stop();
}

void OwnerTerm::applyUpdate(const OperatorUpdate &update)
{
    if (update.config.has_value()) {
        m_state->scheduler.configure(*update.config);
        m_state->configured = true;
        m_state->restoreOnceLoaded();
        m_state->scheduleCycle();
    }
    if (update.wave.has_value()) {
        m_state->waves[update.wave->number] = *update.wave;
        if (m_state->ready) {
            const auto progress = m_state->storedWaves.find(update.wave->number);
            m_state->maintenance.addWave(*update.wave,
                                         progress == m_state->storedWaves.end() ? std::nullopt : std::optional<jobs::WaveProgress>{progress->second},
                                         m_state->executor.wallMs(),
                                         m_state->executor.now());
        }
    }
}

jobs::OpenTaskFigures OwnerTerm::openTasks() const noexcept
{
    return m_state->scheduler.openTasks();
}

void OwnerTerm::handleNotices(const std::vector<OwnerNotice> &notices)
{
    if (m_state->missedChanges != nullptr) {
        m_state->missedChanges->handleNotices(notices);
    }
}

} // namespace oleanderwick::jobnode

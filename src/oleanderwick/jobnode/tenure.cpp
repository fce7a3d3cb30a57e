#include "tenure_state.hpp"

#include <nlohmann/json.hpp>

#include <absl/strings/str_cat.h>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration pumpEvery = std::chrono::milliseconds{50};
/** Under load, events that come close together are decided on together. */
constexpr core::Duration gather = std::chrono::milliseconds{3};
constexpr core::Duration retryLoad = std::chrono::milliseconds{100};
constexpr core::Duration watchWait = std::chrono::milliseconds{2000};

} // namespace internal

Tenure::State::State(core::Executor &itsExecutor,
                     const Ports &itsPorts,
                     Ownership &itsOwnership,
                     std::int64_t itsToken,
                     const TenureLimits &itsLimits,
                     LogSink &itsLog)
    : executor{itsExecutor}
    , ports{itsPorts}
    , ownership{itsOwnership}
    , token{itsToken}
    , limits{itsLimits}
    , log{itsLog}
    , scheduler{itsLimits.scheduler, itsExecutor.now()}
    , pause{itsExecutor.now() + itsLimits.orderPause}
    , upkeep{pause}
    , balancer{itsLimits.balancing, pause}
    , startedAt{itsExecutor.now()}
{
}

bool Tenure::State::active() const
{
    return !stopped && ownership.token() == token;
}

void Tenure::State::begin()
{
    // All at once: each call may take long, and what former owners wrote no longer changes.
    loadUsedWorkers();
    loadOrderedInstances();
    loadRecords();
    follow();
}

void Tenure::State::loaded()
{
    --pendingLoads;
    restored();
}

void Tenure::State::loadUsedWorkers()
{
    ports.store.read(keys::usedWorkers, [self = shared_from_this()](const jobs::StoreAnswer &answer) {
        if (!self->active()) {
            return;
        }
        if (answer.outcome != jobs::StoreOutcome::Done && answer.outcome != jobs::StoreOutcome::NotFound) {
            self->executor.after(internal::retryLoad, [self] {
                self->loadUsedWorkers();
            });
            return;
        }
        if (!answer.items.empty()) {
            self->revisions[keys::usedWorkers] = answer.items.front().revision;
            self->takeUsedWorkers(answer.items.front().value);
        }
        self->loaded();
    });
}

void Tenure::State::loadOrderedInstances()
{
    ports.store.read(keys::orderedInstances, [self = shared_from_this()](const jobs::StoreAnswer &answer) {
        if (!self->active()) {
            return;
        }
        if (answer.outcome != jobs::StoreOutcome::Done && answer.outcome != jobs::StoreOutcome::NotFound) {
            self->executor.after(internal::retryLoad, [self] {
                self->loadOrderedInstances();
            });
            return;
        }
        if (answer.items.empty()) {
            // No owner has ever ordered an instance.
            self->pause.limitTo({});
        } else {
            self->revisions[keys::orderedInstances] = answer.items.front().revision;
            self->takeOrderedInstances(answer.items.front().value);
        }
        self->loaded();
    });
}

void Tenure::State::takeOrderedInstances(const std::string &text)
{
    const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_array()) {
        // The pause holds for all instances.
        log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("key", keys::orderedInstances));
        return;
    }
    std::set<std::string> ordered;
    for (const nlohmann::json &instance : value) {
        if (instance.is_string()) {
            ordered.insert(instance.get<std::string>());
            orderedInstances[instance.get<std::string>()] = startedAt;
        }
    }
    log.add("ordered_instances", telemetry::Event{"ordered_instances"}.with("count", static_cast<std::int64_t>(ordered.size())));
    pause.limitTo(std::move(ordered));
}

void Tenure::State::takeUsedWorkers(const std::string &text)
{
    const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (!value.is_object()) {
        log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("key", keys::usedWorkers));
        return;
    }
    for (auto item = value.begin(); item != value.end(); ++item) {
        if (item.value().is_string()) {
            savedUsedWorkers[item.key()] = item.value().get<std::string>();
            scheduler.expectWorker(item.key(), item.value().get<std::string>());
        }
    }
}

void Tenure::State::loadAll(const std::string &prefix, const std::string &after, const OnItem &onItem, const std::function<void()> &then)
{
    ports.store.list(prefix, after, [self = shared_from_this(), prefix, after, onItem, then](const jobs::StoreAnswer &answer) {
        if (!self->active()) {
            return;
        }
        if (answer.outcome != jobs::StoreOutcome::Done) {
            self->executor.after(internal::retryLoad, [self, prefix, after, onItem, then] {
                self->loadAll(prefix, after, onItem, then);
            });
            return;
        }
        for (const jobs::StoreItem &item : answer.items) {
            self->revisions[item.key] = item.revision;
            onItem(item);
        }
        if (answer.more && !answer.items.empty()) {
            self->loadAll(prefix, answer.items.back().key, onItem, then);
        } else {
            then();
        }
    });
}

void Tenure::State::loadRecords()
{
    const OnItem onWave = [this](const jobs::StoreItem &item) {
        takeWave(item);
    };
    const OnItem onState = [this](const jobs::StoreItem &item) {
        takeState(item);
    };
    loadAll(keys::waves, "", onWave, [this] {
        loaded();
    });
    loadAll(keys::states, "", onState, [this] {
        loaded();
    });
}

void Tenure::State::takeWave(const jobs::StoreItem &item)
{
    const nlohmann::json value = nlohmann::json::parse(item.value, nullptr, false);
    const std::int64_t number = std::strtoll(item.key.c_str() + keys::waves.size(), nullptr, 10);
    if (value.is_object()) {
        jobs::WaveProgress &progress = storedWaves[number];
        progress.completed = value.value("completed", false);
        progress.deadlineMs = value.value("deadline", std::int64_t{0});
        progress.startedInstances = value.value("begun", std::set<std::string>{});
    }
}

void Tenure::State::takeState(const jobs::StoreItem &item)
{
    const std::string id = item.key.substr(keys::states.size());
    absl::StatusOr<jobs::JobRecord> record = jobs::progressFromRecord(item.value);
    if (record.ok()) {
        storedStates[id] = *std::move(record);
    } else {
        log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("job", id).with("error", std::string{record.status().message()}));
    }
}

void Tenure::State::follow()
{
    // The watchers are owned by this state, and end before it does.
    Watcher::Callbacks intake;
    intake.onItem = [this](const jobs::StoreItem &item) {
        takeIntake(item);
    };
    intake.onRemoved = [](const std::string &) {
        // Only this owner removes records, of jobs that have ended.
    };
    intake.onListed = [this] {
        intakeListed = true;
        restored();
    };
    Watcher::Callbacks workers;
    workers.onItem = [this](const jobs::StoreItem &item) {
        takeWorker(item);
    };
    workers.onRemoved = [this](const std::string &key) {
        takeWorkerRemoval(key);
    };
    workers.onListed = [this] {
        workersListed = true;
        restored();
    };
    intakeWatcher = std::make_unique<Watcher>(executor, ports.store, keys::intake, internal::watchWait, std::move(intake));
    workerWatcher = std::make_unique<Watcher>(executor, ports.store, ports.translator.workerPrefix(), internal::watchWait, std::move(workers));
}

void Tenure::State::restored()
{
    if (ready || pendingLoads > 0 || !intakeListed || !workersListed) {
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
        upkeep.addWave(wave.second, progress == storedWaves.end() ? std::nullopt : std::optional<jobs::WaveProgress>{progress->second}, executor.wallMs());
    }
    telemetry::Event event{"tenure_ready"};
    event.with("token", token).with("jobs", static_cast<std::int64_t>(storedJobs.size())).with("states", static_cast<std::int64_t>(storedStates.size()));
    event.with("workers", static_cast<std::int64_t>(scheduler.workers().size())).with("took_ms", core::milliseconds(executor.now() - startedAt));
    log.add("tenure_ready", event);
    storedJobs.clear();
    storedStates.clear();
    storedCancels.clear();
    tick();
}

void Tenure::State::tick()
{
    if (!active()) {
        return;
    }
    pump();
    executor.after(internal::pumpEvery, [self = shared_from_this()] {
        self->tick();
    });
}

void Tenure::State::restoreJob(const std::string &id)
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

void Tenure::State::takeIntake(const jobs::StoreItem &item)
{
    if (item.key.starts_with(keys::cancels)) {
        const std::string id = item.key.substr(keys::cancels.size());
        if (ready && !endedJobs.contains(id)) {
            scheduler.cancelJob(id, executor.wallMs(), executor.now());
            schedulePump();
        } else if (!ready) {
            storedCancels.insert(id);
        }
        return;
    }
    if (!item.key.starts_with(keys::jobs)) {
        return;
    }
    absl::StatusOr<jobs::Job> job = jobs::jobFromRecord(item.value);
    if (!job.ok()) {
        log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("key", item.key).with("error", std::string{job.status().message()}));
        return;
    }
    if (!ready) {
        storedJobs.insert_or_assign(job->id, std::pair{*job, item.revision});
        return;
    }
    if (!endedJobs.contains(job->id) && scheduler.findJob(job->id) == nullptr) {
        scheduler.addJob(*std::move(job), std::nullopt, item.revision < token, executor.now());
        schedulePump();
    }
}

void Tenure::State::takeWorker(const jobs::StoreItem &item)
{
    const std::optional<jobs::WorkerEntry> entry = ports.translator.readWorker(item);
    if (!entry.has_value()) {
        log.add("worker_unreadable", telemetry::Event{"worker_unreadable"}.with("key", item.key));
        return;
    }
    scheduler.listWorker(*entry, executor.now());
    schedulePump();
}

void Tenure::State::takeWorkerRemoval(const std::string &key)
{
    scheduler.unlistWorker(key.substr(ports.translator.workerPrefix().size()));
}

void Tenure::State::schedulePump()
{
    if (pumpPosted || !ready || stopped) {
        return;
    }
    pumpPosted = true;
    const core::Duration sincePump = executor.now() - pumpedAt;
    const std::function<void()> work = [self = shared_from_this()] {
        self->pumpPosted = false;
        self->pump();
    };
    if (sincePump >= internal::gather) {
        executor.post(work);
    } else {
        executor.after(internal::gather - sincePump, work);
    }
}

void Tenure::State::logDecisions()
{
    for (const jobs::Decision &decision : scheduler.takeDecisions()) {
        const jobs::JobEntry *entry = decision.event == "job_ended" ? scheduler.findJob(decision.job) : nullptr;
        if (entry != nullptr) {
            log.metrics().recordJob(entry->job.team, entry->job.queue, std::chrono::milliseconds{entry->endedMs - entry->job.submittedMs});
        }
        logDecision(decision);
    }
    for (const jobs::Decision &decision : balancer.takeDecisions()) {
        logDecision(decision);
    }
}

void Tenure::State::logDecision(const jobs::Decision &decision)
{
    telemetry::Event event{decision.event};
    if (!decision.job.empty()) {
        event.with("job", decision.job);
    }
    if (!decision.worker.empty()) {
        event.with("worker", decision.worker);
    }
    event.append(decision.detail);
    log.add(decision.event, event);
}

Tenure::Tenure(core::Executor &executor, const Ports &ports, Ownership &ownership, std::int64_t token, const TenureLimits &limits, LogSink &log)
    : m_state{std::make_shared<State>(executor, ports, ownership, token, limits, log)}
{
    m_state->begin();
}

Tenure::~Tenure()
{
    m_state->stopped = true;
    m_state->intakeWatcher.reset();
    m_state->workerWatcher.reset();
}

void Tenure::take(const OperatorNews &news)
{
    if (news.config.has_value()) {
        m_state->scheduler.configure(*news.config);
        m_state->schedulePump();
    }
    if (news.wave.has_value()) {
        m_state->waves[news.wave->number] = *news.wave;
        if (m_state->ready) {
            const auto progress = m_state->storedWaves.find(news.wave->number);
            m_state->upkeep.addWave(*news.wave,
                                    progress == m_state->storedWaves.end() ? std::nullopt : std::optional<jobs::WaveProgress>{progress->second},
                                    m_state->executor.wallMs());
        }
    }
}

} // namespace oleanderwick::jobnode

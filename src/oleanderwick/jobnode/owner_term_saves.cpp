#include "owner_term_state.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "../jobs/wave_record.hpp"
#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** The store accepts 32 conditions, writes and removals in a change, one of which is the condition for the owner's key. */
constexpr std::size_t maxEntriesPerChange = 31;
/** A change has a condition for the owner's key, and removes three records of each ended job: 28 entries for 9 jobs; the store accepts 32. */
constexpr std::size_t maxJobRemovalsPerChange = 9;
/** A worker is polled again only after the run ends that it reported are stored, so a save must not wait for the ones before. */
constexpr int maxSavesInFlight = 4;
/** Interval at which states of jobs that have not ended are saved, so that several share a change. */
constexpr core::Duration stateSaveInterval = std::chrono::milliseconds{40};
constexpr core::Duration endSaveInterval = std::chrono::milliseconds{20};
constexpr core::Duration stateSaveRetryDelay = std::chrono::milliseconds{100};
/** Each wave takes a condition and two writes of a change, which announces commands for instances as well. */
constexpr std::size_t maxWavesPerChange = 8;
constexpr core::Duration removalInterval = std::chrono::seconds{2};

} // namespace internal

void OwnerTerm::State::handleConflict(const jobs::StoreReply &reply)
{
    std::int64_t ownerRevision = 0;
    for (const jobs::StoreItem &item : reply.items) {
        if (item.key == keys::owner) {
            ownerRevision = item.revision;
        } else {
            revisions[item.key] = item.revision;
        }
    }
    if (ownerRevision != token) {
        ownership.handleLoss();
    }
}

void OwnerTerm::State::saveStates()
{
    const core::TimePoint now = executor.now();
    const core::Duration sinceSave = now - lastStateSaveAt;
    const bool due =
        (scheduler.hasUnsavedEnd() && sinceSave >= internal::endSaveInterval) || (scheduler.hasUnsaved() && sinceSave >= internal::stateSaveInterval);
    if (!due || now < stateSaveRetryAt) {
        return;
    }
    while (savesInFlight < internal::maxSavesInFlight) {
        const std::vector<jobs::SaveRequest> saves = scheduler.takeSaves(internal::maxEntriesPerChange);
        if (saves.empty()) {
            return;
        }
        lastStateSaveAt = now;
        commitStates(saves);
    }
}

void OwnerTerm::State::commitStates(const std::vector<jobs::SaveRequest> &saves)
{
    ++savesInFlight;
    jobs::StoreChange change;
    change.conditions.push_back({keys::owner, token});
    for (const jobs::SaveRequest &request : saves) {
        const std::string key = keys::statePrefix + request.job;
        const auto revision = revisions.find(key);
        change.conditions.push_back({key, revision == revisions.end() ? 0 : revision->second});
        change.writes.push_back({key, jobs::toRecord(request.record), 0});
        if (request.leavesQueue) {
            change.removals.push_back(keys::queuedPrefixOf(request.queue) + request.job);
        }
    }
    ports.store.commit(change, [self = shared_from_this(), saves](const jobs::StoreReply &reply) {
        --self->savesInFlight;
        if (self->isActive()) {
            self->handleStateSaveReply(saves, reply);
        }
    });
}

void OwnerTerm::State::handleStateSaveReply(const std::vector<jobs::SaveRequest> &saves, const jobs::StoreReply &reply)
{
    const bool stored = reply.outcome == jobs::StoreOutcome::Done;
    if (reply.outcome == jobs::StoreOutcome::Conflict) {
        // Another node is the owner, or an earlier change whose reply was lost has been made; the records are then written again with the reply's revisions.
        for (const jobs::SaveRequest &request : saves) {
            revisions.erase(keys::statePrefix + request.job);
        }
        handleConflict(reply);
        if (!isActive()) {
            return;
        }
    }
    if (!stored) {
        stateSaveRetryAt = executor.now() + internal::stateSaveRetryDelay;
        telemetry::Event event{"save_failed"};
        event.with("outcome", static_cast<std::int64_t>(reply.outcome)).with("jobs", static_cast<std::int64_t>(saves.size()));
        log.add("save_failed", event);
    }
    for (const jobs::SaveRequest &request : saves) {
        if (stored) {
            revisions[keys::statePrefix + request.job] = reply.revision;
            if (jobs::isFinal(request.record.state)) {
                endedJobs[request.job] = request.record.endedMs;
            }
        }
    }
    scheduler.handleSaved(saves, stored);
    scheduleCycle();
}

void OwnerTerm::State::write(const std::string &key, const std::string &value, std::function<void(bool)> onDone)
{
    writeAll({{key, value, 0}}, {}, std::move(onDone));
}

void OwnerTerm::State::writeAll(const std::vector<jobs::StoreChange::Write> &records,
                                const std::vector<jobs::StoreChange::Write> &dependents,
                                std::function<void(bool)> onDone)
{
    jobs::StoreChange change;
    change.conditions.push_back({keys::owner, token});
    for (const jobs::StoreChange::Write &record : records) {
        const auto revision = revisions.find(record.key);
        change.conditions.push_back({record.key, revision == revisions.end() ? 0 : revision->second});
    }
    change.writes = records;
    change.writes.insert(change.writes.end(), dependents.begin(), dependents.end());
    ports.store.commit(change, [self = shared_from_this(), records, done = std::move(onDone)](const jobs::StoreReply &reply) {
        if (!self->isActive()) {
            return;
        }
        for (const jobs::StoreChange::Write &record : records) {
            if (reply.outcome == jobs::StoreOutcome::Done) {
                self->revisions[record.key] = reply.revision;
            } else if (reply.outcome == jobs::StoreOutcome::Conflict) {
                self->revisions.erase(record.key);
            }
        }
        if (reply.outcome == jobs::StoreOutcome::Conflict) {
            self->handleConflict(reply);
        }
        if (self->isActive()) {
            done(reply.outcome == jobs::StoreOutcome::Done);
        }
    });
}

void OwnerTerm::State::saveUsedWorkers()
{
    const std::uint64_t version = scheduler.usedWorkersVersion();
    if (usedWorkersSaveInFlight || version == savedUsedWorkersVersion || executor.now() < usedWorkersRetryAt) {
        return;
    }
    usedWorkersSaveInFlight = true;
    write(keys::usedWorkers, nlohmann::json(scheduler.usedWorkers()).dump(), [this, version](bool stored) {
        usedWorkersSaveInFlight = false;
        if (stored) {
            savedUsedWorkersVersion = version;
            scheduler.handleUsedWorkersStored(version);
            scheduleCycle();
        } else {
            usedWorkersRetryAt = executor.now() + internal::stateSaveRetryDelay;
        }
    });
}

void OwnerTerm::State::saveWaves()
{
    if (waveSaveInFlight || executor.now() < waveSaveRetryAt) {
        return;
    }
    const WaveSave save = takeWaveSave();
    if (save.progress.empty()) {
        return;
    }
    waveSaveInFlight = true;
    writeAll(save.records, save.statuses, [this, progress = save.progress](bool stored) {
        waveSaveInFlight = false;
        handleWavesSaved(progress, stored);
    });
}

OwnerTerm::State::WaveSave OwnerTerm::State::takeWaveSave()
{
    WaveSave save;
    for (const std::pair<const std::int64_t, jobs::WaveProgress> &wave : maintenance.takeSaves()) {
        if (save.progress.size() >= internal::maxWavesPerChange) {
            maintenance.markUnsaved(wave.first);
            save.deferred.insert(wave.first);
            continue;
        }
        const std::string key = absl::StrCat(keys::wavePrefix, wave.first);
        const std::pair<std::string, std::string> status = ports.translator.waveStatus(wave.first, wave.second);
        save.progress.insert(wave);
        save.records.push_back({key, jobs::toRecord(wave.second), 0});
        save.statuses.push_back({status.first, status.second, 0});
        log.add("wave",
                telemetry::Event{"wave"}
                    .with("wave", wave.first)
                    .with("completed", wave.second.completed ? 1 : 0)
                    .with("begun", static_cast<std::int64_t>(wave.second.startedInstances.size()))
                    .with("commanded", static_cast<std::int64_t>(wave.second.commandedInstances.size())));
    }
    return save;
}

void OwnerTerm::State::handleWavesSaved(const std::map<std::int64_t, jobs::WaveProgress> &progress, bool stored)
{
    for (const std::pair<const std::int64_t, jobs::WaveProgress> &wave : progress) {
        if (!stored) {
            maintenance.markUnsaved(wave.first);
            waveSaveRetryAt = executor.now() + internal::stateSaveRetryDelay;
        }
    }
}

void OwnerTerm::State::removeExpired()
{
    const core::TimePoint now = executor.now();
    if (removalInFlight || now - lastRemovalAt < internal::removalInterval) {
        return;
    }
    lastRemovalAt = now;
    const std::int64_t cutoffMs = executor.wallMs() - core::milliseconds(options.endedJobRetention);
    std::vector<std::string> expired;
    for (const std::pair<const std::string, std::int64_t> &ended : endedJobs) {
        if (ended.second < cutoffMs && expired.size() < internal::maxJobRemovalsPerChange) {
            expired.push_back(ended.first);
        }
    }
    if (expired.empty()) {
        return;
    }
    removalInFlight = true;
    jobs::StoreChange change;
    change.conditions.push_back({keys::owner, token});
    for (const std::string &id : expired) {
        change.removals.push_back(keys::statePrefix + id);
        change.removals.push_back(keys::jobPrefix + id);
        change.removals.push_back(keys::cancelPrefix + id);
    }
    ports.store.commit(change, [self = shared_from_this(), expired](const jobs::StoreReply &reply) {
        self->removalInFlight = false;
        if (reply.outcome != jobs::StoreOutcome::Done) {
            return;
        }
        for (const std::string &id : expired) {
            self->endedJobs.erase(id);
            self->revisions.erase(keys::statePrefix + id);
        }
    });
}

} // namespace oleanderwick::jobnode

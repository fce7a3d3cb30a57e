#include "tenure_state.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** A change of the store takes 32 entries: the owner's key, and a condition and a write for each job. */
constexpr std::size_t jobsInChange = 14;
/** Three records of each ended job are removed at once, with the owner's key as condition. */
constexpr std::size_t removalsInChange = 9;
/** States of jobs that have not ended are stored this often, so that several share a change. */
constexpr core::Duration saveEvery = std::chrono::milliseconds{100};
constexpr core::Duration retrySave = std::chrono::milliseconds{100};
constexpr core::Duration savePendingEvery = std::chrono::milliseconds{500};
constexpr core::Duration removeEvery = std::chrono::seconds{2};

} // namespace internal

void Tenure::State::learnRevisions(const jobs::StoreAnswer &answer)
{
    std::int64_t ownerRevision = 0;
    for (const jobs::StoreItem &item : answer.items) {
        if (item.key == keys::owner) {
            ownerRevision = item.revision;
        } else {
            revisions[item.key] = item.revision;
        }
    }
    if (ownerRevision != token) {
        ownership.lose();
    }
}

void Tenure::State::save()
{
    const core::TimePoint now = executor.now();
    const bool due = scheduler.hasUnsavedEnd() || (scheduler.hasUnsaved() && now - savedAt >= internal::saveEvery);
    if (saving || !due || now < saveRetryAt) {
        return;
    }
    const std::vector<jobs::SaveOrder> saves = scheduler.takeSaves(internal::jobsInChange);
    if (saves.empty()) {
        return;
    }
    saving = true;
    savedAt = now;
    jobs::StoreChange change;
    change.conditions.push_back({keys::owner, token});
    for (const jobs::SaveOrder &order : saves) {
        const std::string key = keys::states + order.job;
        const auto revision = revisions.find(key);
        change.conditions.push_back({key, revision == revisions.end() ? 0 : revision->second});
        change.writes.push_back({key, jobs::toRecord(order.record), 0});
    }
    ports.store.commit(change, [self = shared_from_this(), saves](const jobs::StoreAnswer &answer) {
        self->saving = false;
        if (self->active()) {
            self->takeSaved(saves, answer);
        }
    });
}

void Tenure::State::takeSaved(const std::vector<jobs::SaveOrder> &saves, const jobs::StoreAnswer &answer)
{
    const bool stored = answer.outcome == jobs::StoreOutcome::Done;
    if (answer.outcome == jobs::StoreOutcome::Conflict) {
        // An earlier change whose answer was lost has been made; the records are known now and written again.
        for (const jobs::SaveOrder &order : saves) {
            revisions.erase(keys::states + order.job);
        }
        learnRevisions(answer);
        if (!active()) {
            return;
        }
    }
    if (!stored) {
        saveRetryAt = executor.now() + internal::retrySave;
        telemetry::Event event{"save_failed"};
        event.with("outcome", static_cast<std::int64_t>(answer.outcome)).with("jobs", static_cast<std::int64_t>(saves.size()));
        log.add("save_failed", event);
    }
    for (const jobs::SaveOrder &order : saves) {
        if (stored) {
            revisions[keys::states + order.job] = answer.revision;
            if (jobs::isFinal(order.record.state)) {
                endedJobs[order.job] = order.record.endedMs;
            }
        }
        scheduler.takeSaved(order.job, order.version, stored);
    }
    schedulePump();
}

void Tenure::State::write(const std::string &key, const std::string &value, std::function<void(bool)> onDone)
{
    jobs::StoreChange change;
    const auto revision = revisions.find(key);
    change.conditions.push_back({keys::owner, token});
    change.conditions.push_back({key, revision == revisions.end() ? 0 : revision->second});
    change.writes.push_back({key, value, 0});
    ports.store.commit(change, [self = shared_from_this(), key, done = std::move(onDone)](const jobs::StoreAnswer &answer) {
        if (!self->active()) {
            return;
        }
        if (answer.outcome == jobs::StoreOutcome::Done) {
            self->revisions[key] = answer.revision;
        } else if (answer.outcome == jobs::StoreOutcome::Conflict) {
            self->revisions.erase(key);
            self->learnRevisions(answer);
        }
        if (self->active()) {
            done(answer.outcome == jobs::StoreOutcome::Done);
        }
    });
}

void Tenure::State::saveUsedWorkers()
{
    const std::map<std::string, std::string> &used = scheduler.usedWorkers();
    if (usedWorkersSaving || used == savedUsedWorkers) {
        return;
    }
    usedWorkersSaving = true;
    write(keys::usedWorkers, nlohmann::json(used).dump(), [this, used](bool stored) {
        usedWorkersSaving = false;
        if (stored) {
            savedUsedWorkers = used;
        }
    });
}

void Tenure::State::saveWaves()
{
    if (wavesSaving) {
        return;
    }
    for (const std::pair<const std::int64_t, jobs::WaveProgress> &wave : upkeep.takeSaves()) {
        const std::string key = absl::StrCat(keys::waves, wave.first);
        const nlohmann::json value{{"completed", wave.second.completed}, {"deadline", wave.second.deadlineMs}, {"begun", wave.second.startedInstances}};
        const std::pair<std::string, std::string> status = ports.translator.waveStatus(wave.first, wave.second);
        storedWaves[wave.first] = wave.second;
        wavesSaving = true;
        log.add("wave",
                telemetry::Event{"wave"}
                    .with("wave", wave.first)
                    .with("completed", wave.second.completed ? 1 : 0)
                    .with("begun", static_cast<std::int64_t>(wave.second.startedInstances.size())));
        write(key, value.dump(), [this, number = wave.first, status](bool stored) {
            if (!stored) {
                wavesSaving = false;
                upkeep.markUnsaved(number);
                return;
            }
            write(status.first, status.second, [this, number](bool shown) {
                wavesSaving = false;
                if (!shown) {
                    upkeep.markUnsaved(number);
                }
            });
        });
    }
}

void Tenure::State::savePending()
{
    const core::TimePoint now = executor.now();
    if (pendingSaving || now - pendingSavedAt < internal::savePendingEvery) {
        return;
    }
    pendingSavedAt = now;
    const std::map<std::string, std::int64_t> pending = scheduler.pendingByQueue();
    if (pending == savedPending && revisions.contains(keys::pending)) {
        return;
    }
    pendingSaving = true;
    write(keys::pending, nlohmann::json(pending).dump(), [this, pending](bool stored) {
        pendingSaving = false;
        if (stored) {
            savedPending = pending;
        }
    });
}

void Tenure::State::removeExpired()
{
    const core::TimePoint now = executor.now();
    if (removing || now - removedAt < internal::removeEvery) {
        return;
    }
    removedAt = now;
    const std::int64_t before = executor.wallMs() - core::milliseconds(limits.keepEnded);
    std::vector<std::string> expired;
    for (const std::pair<const std::string, std::int64_t> &ended : endedJobs) {
        if (ended.second < before && expired.size() < internal::removalsInChange) {
            expired.push_back(ended.first);
        }
    }
    if (expired.empty()) {
        return;
    }
    removing = true;
    jobs::StoreChange change;
    change.conditions.push_back({keys::owner, token});
    for (const std::string &id : expired) {
        change.removals.push_back(keys::states + id);
        change.removals.push_back(keys::jobs + id);
        change.removals.push_back(keys::cancels + id);
    }
    ports.store.commit(change, [self = shared_from_this(), expired](const jobs::StoreAnswer &answer) {
        self->removing = false;
        if (answer.outcome != jobs::StoreOutcome::Done) {
            return;
        }
        for (const std::string &id : expired) {
            self->endedJobs.erase(id);
            self->revisions.erase(keys::states + id);
        }
    });
}

} // namespace oleanderwick::jobnode

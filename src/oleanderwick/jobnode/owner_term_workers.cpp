#include "owner_term_state.hpp"

#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"
#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** Entries of workers that can't be read and are remembered, so that each is logged once. */
constexpr std::size_t maxUnreadableWorkers = 1000;

} // namespace internal

void OwnerTerm::State::restoreUsedWorkers(const std::string &text)
{
    const nlohmann::json value = core::parseJsonOrDiscard(text);
    bool readable = value.is_object();
    for (auto item = value.begin(); readable && item != value.end(); ++item) {
        readable = item.value().is_string();
        if (readable) {
            scheduler.restoreWorker(item.key(), item.value().get<std::string>());
        }
    }
    if (!readable) {
        log.add("record_unreadable", telemetry::Event{"record_unreadable"}.with("key", keys::usedWorkers));
        scheduler.setPreviousWorkersUnknown();
    }
}

void OwnerTerm::State::handleWorkerItem(const jobs::StoreItem &item)
{
    const absl::StatusOr<jobs::WorkerEntry> entry = ports.translator.parseWorker(item);
    if (!entry.ok()) {
        handleUnreadableWorker(item.key, std::string{entry.status().message()});
        return;
    }
    forgetUnreadableWorker(item.key);
    scheduler.registerWorker(*entry, executor.now());
    scheduleCycle();
}

void OwnerTerm::State::handleUnreadableWorker(const std::string &key, const std::string &reason)
{
    log.metrics().count("worker_entry_left_out");
    const auto known = unreadableWorkers.find(key);
    const bool isNew = known == unreadableWorkers.end() && unreadableWorkers.size() < internal::maxUnreadableWorkers;
    if (isNew || (known != unreadableWorkers.end() && known->second != reason)) {
        unreadableWorkers.insert_or_assign(key, reason);
        log.metrics().setGauge("unreadable_workers", static_cast<std::int64_t>(unreadableWorkers.size()));
        log.add("worker_unreadable", telemetry::Event{"worker_unreadable"}.with("key", key).with("error", reason));
    }
    // An entry that can't be read names no worker to use, also where it replaces one that could.
    scheduler.unregisterWorker(key.substr(ports.translator.workerPrefix().size()));
}

void OwnerTerm::State::forgetUnreadableWorker(const std::string &key)
{
    if (unreadableWorkers.erase(key) > 0) {
        log.metrics().setGauge("unreadable_workers", static_cast<std::int64_t>(unreadableWorkers.size()));
    }
}

void OwnerTerm::State::handleWorkerRemoval(const std::string &key)
{
    forgetUnreadableWorker(key);
    scheduler.unregisterWorker(key.substr(ports.translator.workerPrefix().size()));
}

} // namespace oleanderwick::jobnode

#include "worker_registry.hpp"

#include <utility>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

WorkerRegistry::WorkerRegistry(StateTable &state, SchedulerOutput &output)
    : m_state{state}
    , m_output{output}
{
}

void WorkerRegistry::add(const WorkerEntry &entry, core::TimePoint now)
{
    Worker &worker = m_state.workers()[entry.id];
    if (entry.incarnation != 0 && worker.incarnation != 0 && entry.incarnation < worker.incarnation) {
        return;
    }
    const bool isNewIncarnation = worker.entry.id.empty() || (entry.incarnation != 0 && entry.incarnation != worker.incarnation);
    if (worker.entry.pool != entry.pool || worker.entry.draining != entry.draining || isNewIncarnation) {
        m_output.logDecision(
            "worker_listed", "", entry.id, absl::StrCat("pool=", entry.pool, " draining=", entry.draining ? 1 : 0, " born=", entry.incarnation));
    }
    if (entry.incarnation != 0 && worker.incarnation != 0 && entry.incarnation > worker.incarnation) {
        resetIncarnation(worker, entry.incarnation, now);
    }
    if (entry.incarnation != 0) {
        worker.incarnation = entry.incarnation;
    }
    // A worker does not stop draining within an incarnation, so a later entry without the flag counts as out of date.
    const bool draining = entry.draining || (worker.entry.draining && !isNewIncarnation);
    WorkerEntry updated = entry;
    updated.draining = draining;
    // Most entries are heartbeats, which change nothing here.
    if (!worker.registered || worker.entry != updated) {
        worker.entry = std::move(updated);
        worker.registered = true;
        // Listed before it gets a run: a successor waits for the leases of the workers that it knows of.
        m_state.addUsedWorker(worker);
        worker.zoneClosed = m_state.closedZones().contains(worker.entry.zone);
        m_state.requestPlacement();
    }
}

void WorkerRegistry::remove(const std::string &id)
{
    Worker *worker = m_state.findWorker(id);
    if (worker != nullptr && worker->registered) {
        worker->registered = false;
        m_output.logDecision("worker_unlisted", "", id, absl::StrCat("runs=", worker->runs.size()));
    }
}

void WorkerRegistry::restore(const std::string &id, const std::string &pool)
{
    Worker &worker = m_state.workers()[id];
    if (!worker.registered) {
        worker.entry.id = id;
        worker.entry.pool = pool;
    }
    m_state.restoreUsedWorker(worker, pool);
}

void WorkerRegistry::setCordoned(const std::string &id, bool cordoned, CordonReason reason)
{
    Worker *worker = m_state.findWorker(id);
    if (worker == nullptr) {
        return;
    }
    if (cordoned) {
        worker->cordonReasons.insert(reason);
    } else {
        worker->cordonReasons.erase(reason);
    }
    if (worker->cordoned && worker->cordonReasons.empty()) {
        m_state.requestPlacement();
    }
    worker->cordoned = !worker->cordonReasons.empty();
    worker->maintenancePending = worker->maintenancePending && reason != CordonReason::Maintenance;
}

void WorkerRegistry::setMaintenancePending(const std::string &id)
{
    Worker *worker = m_state.findWorker(id);
    if (worker != nullptr) {
        worker->maintenancePending = true;
    }
}

void WorkerRegistry::resetIncarnation(Worker &worker, std::int64_t incarnation, core::TimePoint now)
{
    m_output.logDecision(
        "worker_reborn", "", worker.entry.id, absl::StrCat("born=", incarnation, " before=", worker.incarnation, " runs=", worker.runs.size()));
    worker.restartedAt = now;
    worker.restartPlanned = worker.mayEndAsPlanned();
    // A command that was sent before the restart was known may have reached the new incarnation, so the runs are kept until its next report.
    worker.nextPollAt = now;
    worker.incarnation = incarnation;
    worker.lastEnd = 0;
    worker.storedEnd = 0;
    worker.pendingEnds.clear();
    worker.endsTruncated = false;
    worker.clockMs = 0;
    worker.consecutiveFailures = 0;
    worker.quarantinedUntil = {};
    worker.lastStartAt = {};
    worker.reservedFor.reset();
    worker.failedTasks.clear();
    worker.failedSteps.clear();
    worker.provenBy.clear();
    worker.entry.draining = false;
}

} // namespace oleanderwick::jobs

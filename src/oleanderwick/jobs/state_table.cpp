#include "state_table.hpp"

#include <algorithm>
#include <utility>

namespace oleanderwick::jobs
{

void StateTable::configure(FleetConfig config)
{
    m_config = std::move(config);
    requestPlacement();
}

const FleetConfig &StateTable::config() const noexcept
{
    return m_config;
}

const QueuePolicy *StateTable::findQueue(const std::string &name) const
{
    const auto found = m_config.queues.find(name);
    return found == m_config.queues.end() ? nullptr : &found->second;
}

bool StateTable::enforcesCapacity(const std::string &pool) const
{
    const auto found = m_config.pools.find(pool);
    return found == m_config.pools.end() || found->second.workersEnforceCapacity;
}

bool StateTable::isStandby(const std::string &pool) const
{
    const auto found = m_config.pools.find(pool);
    return found != m_config.pools.end() && found->second.standby;
}

std::map<std::string, JobEntry> &StateTable::jobs() noexcept
{
    return m_jobs;
}

const std::map<std::string, JobEntry> &StateTable::jobs() const noexcept
{
    return m_jobs;
}

JobEntry *StateTable::findJob(const std::string &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

const JobEntry *StateTable::findJob(const std::string &id) const
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : &found->second;
}

TaskReference StateTable::findTask(const TaskName &name)
{
    TaskReference reference;
    reference.entry = findJob(name.job);
    if (reference.entry == nullptr || name.step >= reference.entry->job.steps.size()) {
        return reference;
    }
    reference.step = &reference.entry->job.steps[name.step];
    const auto occurrence = reference.entry->occurrences.find(name.occurrence);
    if (occurrence != reference.entry->occurrences.end()) {
        reference.task = occurrence->second.steps[name.step].tasks.find(name.index);
    }
    return reference;
}

const Step *StateTable::findStep(const TaskName &name) const
{
    const JobEntry *entry = findJob(name.job);
    return entry == nullptr || name.step >= entry->job.steps.size() ? nullptr : &entry->job.steps[name.step];
}

const Task &StateTable::taskOf(const JobEntry &entry, const TaskName &name)
{
    return entry.occurrences.at(name.occurrence).steps[name.step].tasks[name.index];
}

std::int64_t StateTable::countRuns(const TaskReference &reference, const TaskName &name, std::vector<std::int64_t> TaskRecord::*runs)
{
    const std::vector<std::int64_t> &own = reference.task->record.*runs;
    std::set<std::int64_t> counted{own.begin(), own.end()};
    if (reference.step->gang) {
        for (const Task &member : reference.entry->occurrences.at(name.occurrence).steps[name.step].tasks) {
            const std::vector<std::int64_t> &others = member.record.*runs;
            counted.insert(others.begin(), others.end());
        }
    }
    return static_cast<std::int64_t>(counted.size());
}

void StateTable::markEnded(const JobEntry &entry)
{
    if (entry.activeTasks == 0) {
        m_endedJobs.insert(entry.job.id);
    }
}

std::set<std::string> &StateTable::endedJobs() noexcept
{
    return m_endedJobs;
}

void StateTable::keepEndedJob(const Job &job, JobState state)
{
    const bool completed = state == JobState::Completed;
    const bool mayHaveRuns = !completed || std::any_of(job.steps.begin(), job.steps.end(), [](const Step &step) {
        return step.speculative;
    });
    if (m_keepsEndedJobs && mayHaveRuns) {
        m_keptEndedJobs.insert_or_assign(job.id, EndedJob{job.pool, job.team, job.steps, job.occurrenceCount(), completed});
    }
}

void StateTable::dropEndedJobs() noexcept
{
    m_keptEndedJobs.clear();
    m_keepsEndedJobs = false;
}

const std::map<std::string, EndedJob> &StateTable::keptEndedJobs() const noexcept
{
    return m_keptEndedJobs;
}

std::map<std::string, Worker> &StateTable::workers() noexcept
{
    return m_workers;
}

const std::map<std::string, Worker> &StateTable::workers() const noexcept
{
    return m_workers;
}

Worker *StateTable::findWorker(const std::string &id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

const Worker *StateTable::findWorker(const std::string &id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

bool StateTable::runsContinuous(const Worker &worker) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [this](const std::pair<const TaskName, std::int64_t> &run) {
        const Step *step = findStep(run.first);
        return step != nullptr && step->continuous;
    });
}

bool StateTable::runsBudgeted(const Worker &worker) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [this](const std::pair<const TaskName, std::int64_t> &run) {
        const Step *step = findStep(run.first);
        return step != nullptr && step->continuous && step->maxUnavailable > 0 && step->maxUnavailable < step->count;
    });
}

std::int64_t StateTable::evacuationTurns(const Worker &worker) const
{
    std::int64_t turns = 0;
    for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
        const Step *step = findStep(run.first);
        if (step != nullptr && step->continuous) {
            const std::int64_t atOnce = step->maxUnavailable > 0 ? step->maxUnavailable : step->count;
            turns = std::max(turns, (countOnWorker(worker, run.first) + atOnce - 1) / std::max<std::int64_t>(atOnce, 1));
        }
    }
    return turns;
}

void StateTable::addUsedWorker(Worker &worker)
{
    const auto known = m_usedWorkers.find(worker.entry.id);
    if (known == m_usedWorkers.end() || known->second != worker.entry.pool) {
        m_usedWorkers.insert_or_assign(worker.entry.id, worker.entry.pool);
        worker.listedVersion = ++m_usedWorkersVersion;
    }
}

void StateTable::restoreUsedWorker(Worker &worker, const std::string &pool)
{
    if (worker.entry.pool == pool) {
        m_usedWorkers.insert_or_assign(worker.entry.id, pool);
        worker.listedVersion = 0;
    } else {
        addUsedWorker(worker);
    }
}

void StateTable::removeUsedWorker(Worker &worker)
{
    m_usedWorkersVersion += m_usedWorkers.erase(worker.entry.id);
    worker.listedVersion = UINT64_MAX;
}

const std::map<std::string, std::string> &StateTable::usedWorkers() const noexcept
{
    return m_usedWorkers;
}

std::uint64_t StateTable::usedWorkersVersion() const noexcept
{
    return m_usedWorkersVersion;
}

void StateTable::handleUsedWorkersStored(std::uint64_t version) noexcept
{
    m_storedUsedWorkersVersion = std::max(m_storedUsedWorkersVersion, version);
    requestPlacement();
}

bool StateTable::isStoredAsUsed(const Worker &worker) const noexcept
{
    return worker.listedVersion <= m_storedUsedWorkersVersion;
}

void StateTable::setClosedZones(std::set<std::string> zones)
{
    m_closedZones = std::move(zones);
    for (std::pair<const std::string, Worker> &item : m_workers) {
        item.second.zoneClosed = m_closedZones.contains(item.second.entry.zone);
    }
    requestPlacement();
}

const std::set<std::string> &StateTable::closedZones() const noexcept
{
    return m_closedZones;
}

std::int64_t StateTable::countOnWorker(const Worker &worker, const TaskName &name)
{
    const auto isOfStep = [&name](const TaskName &other) {
        return other.job == name.job && other.occurrence == name.occurrence && other.step == name.step;
    };
    std::int64_t count = std::count_if(worker.strayRuns.begin(), worker.strayRuns.end(), [&isOfStep](const std::pair<const RunName, StrayRun> &run) {
        return isOfStep(run.first.task);
    });
    for (auto run = worker.runs.lower_bound(TaskName{name.job, name.occurrence, name.step, 0}); run != worker.runs.end() && isOfStep(run->first); ++run) {
        ++count;
    }
    return count;
}

Resources StateTable::demandOf(const Step &step) noexcept
{
    // The CPU time of a best-effort task does not count against the worker's capacity.
    return step.bestEffort ? Resources{0, step.each.memory, step.each.gpu} : step.each;
}

void StateTable::attach(JobEntry &entry, const TaskName &name, Task &task, Worker &worker, std::int64_t run, TaskPhase phase, core::TimePoint now)
{
    const Step &step = entry.job.steps[name.step];
    task.phase = phase;
    task.worker = worker.entry.id;
    task.run = run;
    task.since = now;
    task.startedAt = now;
    task.progressChangedAt = now;
    task.percent = 0;
    task.measurement = 0;
    task.pace = 100;
    task.mayBeStopping = false;
    task.paceUnknown = false;
    task.paceRepeats = 0;
    task.stopAcknowledged = false;
    task.stopSentAt = {};
    task.record.lastRun = std::max(task.record.lastRun, run);
    worker.runs[name] = run;
    worker.used = worker.used + demandOf(step);
    addTeamUse(entry.job.pool, entry.job.team, step.each, demandOf(step));
    ++entry.activeTasks;
    ++entry.occurrences.at(name.occurrence).steps[name.step].activeTasks;
    addUsedWorker(worker);
}

void StateTable::detach(JobEntry &entry, const TaskName &name, Task &task)
{
    if (!task.isActive()) {
        return;
    }
    const Step &step = entry.job.steps[name.step];
    const auto worker = m_workers.find(task.worker);
    if (worker != m_workers.end()) {
        worker->second.runs.erase(name);
        if (worker->second.reservedFor == name) {
            worker->second.reservedFor.reset();
        }
        worker->second.used = worker->second.used - demandOf(step);
    }
    addTeamUse(entry.job.pool, entry.job.team, Resources{} - step.each, Resources{} - demandOf(step));
    --entry.activeTasks;
    --entry.occurrences.at(name.occurrence).steps[name.step].activeTasks;
    task.phase = task.record.done ? TaskPhase::Done : TaskPhase::Waiting;
    task.worker.clear();
    task.percent = 0;
    requestPlacement();
    if (isFinal(entry.state)) {
        markEnded(entry);
    }
}

void StateTable::release(JobEntry &entry, const TaskName &name, Task &task, core::TimePoint now)
{
    Worker *worker = findWorker(task.worker);
    if (!task.isActive() || worker == nullptr) {
        detach(entry, name, task);
        return;
    }
    const Step &step = entry.job.steps[name.step];
    const bool hasBegun = task.phase == TaskPhase::Running || (task.phase == TaskPhase::Stopping && task.stopAcknowledged);
    StrayRun run{entry.job.pool, entry.job.team, step.each, demandOf(step), hasBegun ? task.since : now, !hasBegun, {}};
    const RunName runName{name, task.run};
    detach(entry, name, task);
    addStrayRun(*worker, runName, std::move(run));
}

void StateTable::addStrayRun(Worker &worker, const RunName &name, StrayRun run)
{
    const auto added = worker.strayRuns.emplace(name, std::move(run));
    if (added.second) {
        const StrayRun &stray = added.first->second;
        worker.strayUse = worker.strayUse + stray.demand;
        addTeamUse(stray.pool, stray.team, stray.each, stray.demand);
    }
}

void StateTable::removeStrayRun(Worker &worker, const RunName &name)
{
    const auto found = worker.strayRuns.find(name);
    if (found == worker.strayRuns.end()) {
        return;
    }
    const StrayRun &stray = found->second;
    worker.strayUse = worker.strayUse - stray.demand;
    addTeamUse(stray.pool, stray.team, Resources{} - stray.each, Resources{} - stray.demand);
    worker.strayRuns.erase(found);
    requestPlacement();
}

void StateTable::addTeamUse(const std::string &pool, const std::string &team, const Resources &each, const Resources &demand)
{
    Resources &use = m_teamUse[team];
    use = use + each;
    m_shares.add(pool, team, {demand.cpu, demand.memory, demand.gpu});
}

bool StateTable::isWithinTeamLimit(const std::string &team, const Resources &demand) const
{
    const auto policy = m_config.teams.find(team);
    const auto use = m_teamUse.find(team);
    const auto unreported = m_unreportedUse.find(team);
    if (policy == m_config.teams.end() || (use == m_teamUse.end() && unreported == m_unreportedUse.end())) {
        return true;
    }
    const Resources inUse = (use == m_teamUse.end() ? Resources{} : use->second) + (unreported == m_unreportedUse.end() ? Resources{} : unreported->second);
    const Resources after = inUse + demand;
    const auto within = [](std::int64_t limit, std::int64_t used, std::int64_t wanted) {
        return limit == 0 || used == 0 || wanted <= limit;
    };
    const Resources &limit = policy->second.limit;
    return within(limit.cpu, inUse.cpu, after.cpu) && within(limit.memory, inUse.memory, after.memory) && within(limit.gpu, inUse.gpu, after.gpu);
}

void StateTable::setUnreportedUse(std::map<std::string, Resources> use)
{
    m_unreportedUse = std::move(use);
}

Resources StateTable::teamUse(const std::string &team) const
{
    const auto use = m_teamUse.find(team);
    return use == m_teamUse.end() ? Resources{} : use->second;
}

fairness::ShareTable &StateTable::shares() noexcept
{
    return m_shares;
}

const fairness::ShareTable &StateTable::shares() const noexcept
{
    return m_shares;
}

void StateTable::requestPlacement() noexcept
{
    m_placementRequested = true;
}

void StateTable::clearPlacementRequest() noexcept
{
    m_placementRequested = false;
}

bool StateTable::isPlacementRequested() const noexcept
{
    return m_placementRequested;
}

} // namespace oleanderwick::jobs

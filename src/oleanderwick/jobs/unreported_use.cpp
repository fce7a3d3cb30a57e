#include "unreported_use.hpp"

#include <algorithm>
#include <utility>

#include "job_estimates.hpp"

namespace oleanderwick::jobs
{

UnreportedUse::UnreportedUse(StateTable &state, const WorkerLeases &leases)
    : m_state{state}
    , m_leases{leases}
{
}

void UnreportedUse::update(core::TimePoint now)
{
    // Each update examines all jobs; in between, runs can only become known.
    constexpr core::Duration updateInterval = std::chrono::milliseconds{50};
    if (m_leasesEnded || now - m_updatedAt < updateInterval) {
        return;
    }
    m_updatedAt = now;
    m_leasesEnded = now > m_leases.previousLeasesEnd();
    if (m_leasesEnded) {
        m_state.dropEndedJobs();
    }
    const UnknownPools pools = m_leasesEnded ? UnknownPools{} : m_leases.poolsWithUnknownRuns(now);
    m_state.setUnreportedUse(pools.empty() ? std::map<std::string, Resources>{} : measure(pools, now));
}

bool UnreportedUse::isLimited(const std::string &team) const
{
    const auto policy = m_state.config().teams.find(team);
    return policy != m_state.config().teams.end() && policy->second.limit != Resources{};
}

std::map<std::string, Resources> UnreportedUse::measure(const UnknownPools &pools, core::TimePoint now) const
{
    std::map<std::string, UnreportedWorkers> workers;
    const auto workersOf = [&](const std::string &pool) {
        auto found = workers.find(pool);
        if (found == workers.end()) {
            found = workers.emplace(pool, unreportedWorkers(pool, !pools.contains({}), now)).first;
        }
        return found->second;
    };
    Demands demands;
    for (const std::pair<const std::string, JobEntry> &item : std::as_const(m_state).jobs()) {
        const Job &job = item.second.job;
        if (item.second.predatesTerm && pools.contains(job.pool) && isLimited(job.team)) {
            addJob(demands[{job.pool, job.team}], item.second, workersOf(job.pool).count);
        }
    }
    for (const std::pair<const std::string, EndedJob> &item : m_state.keptEndedJobs()) {
        const EndedJob &job = item.second;
        if (pools.contains(job.pool) && isLimited(job.team)) {
            addEndedJob(demands[{job.pool, job.team}], job, workersOf(job.pool).count);
        }
    }
    std::map<std::string, Resources> uses;
    for (const std::pair<const std::pair<std::string, std::string>, Demand> &item : demands) {
        const UnreportedWorkers unreported = workersOf(item.first.first);
        const Resources &counted = item.second.counted;
        const Resources bounded{std::min(counted.cpu, unreported.capacity.cpu),
                                std::min(counted.memory, unreported.capacity.memory),
                                std::min(counted.gpu, unreported.capacity.gpu)};
        Resources &use = uses[item.first.second];
        use = use + item.second.uncounted + (unreported.isBounded ? bounded : counted);
    }
    return uses;
}

UnreportedUse::UnreportedWorkers UnreportedUse::unreportedWorkers(const std::string &pool, bool isPoolCertain, core::TimePoint now) const
{
    UnreportedWorkers unreported;
    unreported.isBounded = isPoolCertain;
    for (const std::pair<const std::string, Worker> &item : std::as_const(m_state).workers()) {
        const Worker &worker = item.second;
        if (worker.entry.pool == pool && !m_leases.arePreviousRunsKnown(worker, now)) {
            ++unreported.count;
            unreported.capacity = unreported.capacity + worker.entry.capacity;
            unreported.isBounded = unreported.isBounded && worker.registered;
        }
    }
    unreported.count = std::max<std::int64_t>(unreported.count, 1);
    return unreported;
}

void UnreportedUse::addJob(Demand &demand, const JobEntry &entry, std::int64_t workers)
{
    const bool isEnded = isFinal(entry.state);
    for (const std::pair<const std::int64_t, Occurrence> &occurrence : entry.occurrences) {
        for (std::size_t index = 0; index < occurrence.second.steps.size(); ++index) {
            const Step &step = entry.job.steps[index];
            const StepState &state = occurrence.second.steps[index];
            if (!isEnded && !JobEstimates::isStepReady(entry.job, occurrence.second, index)) {
                continue;
            }
            if (step.speculative) {
                // Each of the workers may have an original or a copy, also of a task that has a run elsewhere or is done.
                addRuns(demand, step, step.count * workers);
                continue;
            }
            const std::int64_t open = std::count_if(state.tasks.begin(), state.tasks.end(), [](const Task &task) {
                return !task.isActive() && !task.record.done;
            });
            addRuns(demand, step, open + state.unopenedTasks(step));
        }
    }
    // The former owner may have opened these, and what it has stored does not say which of their steps were ready.
    for (const Step &step : entry.job.steps) {
        addRuns(demand, step, step.count * entry.deferredOccurrences * (step.speculative ? workers : 1));
    }
}

void UnreportedUse::addEndedJob(Demand &demand, const EndedJob &job, std::int64_t workers)
{
    const std::int64_t runsOfTask = job.completed ? 0 : 1;
    for (const Step &step : job.steps) {
        addRuns(demand, step, step.count * job.occurrences * (step.speculative ? workers : runsOfTask));
    }
}

void UnreportedUse::addRuns(Demand &demand, const Step &step, std::int64_t runs)
{
    const Resources counted = StateTable::demandOf(step);
    const Resources uncounted = step.each - counted;
    demand.counted = demand.counted + Resources{counted.cpu * runs, counted.memory * runs, counted.gpu * runs};
    demand.uncounted = demand.uncounted + Resources{uncounted.cpu * runs, uncounted.memory * runs, uncounted.gpu * runs};
}

} // namespace oleanderwick::jobs

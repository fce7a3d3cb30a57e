#include "demand_meter.hpp"

#include <algorithm>

namespace oleanderwick::jobs
{

namespace internal
{

/** Millicores times milliseconds in a core second. */
constexpr double unitsPerCoreSecond = 1e6;
/** A pool is overloaded if a timely job with a ready task has not started after this part of its objective. */
constexpr double maxWaitFactor = 0.5;
/** Least part of a pool that counts as available to work that isn't continuous, so that its figures stay finite. */
constexpr double minCapacityPart = 0.05;

/** Returns whether a step takes its turn with others for room. */
bool competes(const Step &step)
{
    return !step.continuous && !step.bestEffort;
}

double workOf(const Step &step, std::int64_t tasks)
{
    return static_cast<double>(tasks * step.each.cpu) * static_cast<double>(step.estimateMs) / unitsPerCoreSecond;
}

} // namespace internal

DemandMeter::DemandMeter(const StateTable &state, const JobEstimates &estimates, const LoadMeter &loads)
    : m_state{state}
    , m_estimates{estimates}
    , m_loads{loads}
{
}

void DemandMeter::recordArrival(const Job &job)
{
    double work = 0.0;
    for (const Step &step : job.steps) {
        work += internal::competes(step) ? internal::workOf(step, step.count) : 0.0;
    }
    if (work > 0.0) {
        Arrivals &arrivals = m_arrivals[{job.pool, job.queue, job.team}];
        ++arrivals.jobs;
        arrivals.work += work;
    }
}

void DemandMeter::addJob(const JobEntry &entry,
                         double lateBoundFactor,
                         std::int64_t wallMs,
                         std::map<Name, double> &backlogs,
                         admission::FleetDemand &demand) const
{
    const auto pool = demand.pools.find(entry.job.pool);
    if (pool == demand.pools.end() || isFinal(entry.state)) {
        return;
    }
    const QueuePolicy *policy = m_state.findQueue(entry.job.queue);
    const double objectiveMs =
        policy == nullptr ? entry.criticalPathMs : policy->criticalPathFactor * entry.criticalPathMs + static_cast<double>(policy->objectiveMs);
    for (const std::pair<const std::int64_t, Occurrence> &item : entry.occurrences) {
        const Occurrence &occurrence = item.second;
        const double slackMs = m_estimates.slackMs(entry, occurrence, wallMs);
        if (slackMs < -std::max(lateBoundFactor - 1.0, 0.0) * objectiveMs) {
            continue;
        }
        bool hasReady = false;
        double work = 0.0;
        for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
            const Step &step = entry.job.steps[index];
            if (!internal::competes(step) || occurrence.steps[index].remaining == 0) {
                continue;
            }
            const TaskList &tasks = occurrence.steps[index].tasks;
            const std::int64_t openWaiting = std::count_if(tasks.begin(), tasks.end(), [](const Task &task) {
                return task.phase == TaskPhase::Waiting && !task.record.done;
            });
            const std::int64_t waiting = openWaiting + occurrence.steps[index].unopenedTasks(step);
            work += internal::workOf(step, waiting);
            hasReady = hasReady || (waiting > 0 && JobEstimates::isStepReady(entry.job, occurrence, index));
        }
        if (work > 0.0) {
            backlogs[{entry.job.pool, entry.job.queue, entry.job.team}] += work;
        }
        const std::int64_t releaseMs = occurrence.dueMs > 0 ? occurrence.dueMs : entry.job.submittedMs;
        const bool waitsLong = hasReady && entry.activeTasks == 0 && entry.state == JobState::Queued && slackMs >= 0.0
            && static_cast<double>(wallMs - releaseMs) > internal::maxWaitFactor * objectiveMs;
        pool->second.overloaded = pool->second.overloaded || waitsLong;
    }
}

admission::FleetDemand DemandMeter::measure(double lateBoundFactor, std::int64_t wallMs) const
{
    admission::FleetDemand demand;
    for (const std::pair<const std::string, PoolLoad> &load : m_loads.loads()) {
        // Nothing is known of a pool without workers, such as one whose instances are on their way.
        if (load.second.capacity > 0) {
            const double capacity = static_cast<double>(load.second.capacity);
            const double free = std::max(capacity - static_cast<double>(load.second.continuousCpu), internal::minCapacityPart * capacity);
            demand.pools[load.first] = admission::PoolState{free / 1000.0, m_loads.isOverloaded(load.first)};
        }
    }
    std::map<Name, double> backlogs;
    for (const std::pair<const std::string, JobEntry> &item : m_state.jobs()) {
        addJob(item.second, lateBoundFactor, wallMs, backlogs, demand);
    }
    std::map<Name, Arrivals> shares = m_arrivals;
    for (const std::pair<const Name, double> &backlog : backlogs) {
        shares.try_emplace(backlog.first);
    }
    for (const std::pair<const Name, Arrivals> &share : shares) {
        const auto backlog = backlogs.find(share.first);
        demand.shares.push_back({std::get<0>(share.first),
                                 std::get<1>(share.first),
                                 std::get<2>(share.first),
                                 share.second.jobs,
                                 share.second.work,
                                 backlog == backlogs.end() ? 0.0 : backlog->second});
    }
    for (const std::pair<const std::string, TeamPolicy> &team : m_state.config().teams) {
        demand.rates[team.first] = team.second.rate;
    }
    return demand;
}

} // namespace oleanderwick::jobs

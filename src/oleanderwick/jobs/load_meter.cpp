#include "load_meter.hpp"

#include <algorithm>
#include <utility>

namespace oleanderwick::jobs
{

namespace internal
{

/** A pool is overloaded when waiting tasks of jobs that can meet their objective demand more than this multiple of its CPU. */
constexpr double overloadFactor = 1.2;
/** Time from the start of a worker until the owner knows it and it gets its first task. */
constexpr core::Duration registrationTime = std::chrono::milliseconds{100};
constexpr core::Duration measureInterval = std::chrono::milliseconds{40};

} // namespace internal

LoadMeter::LoadMeter(const StateTable &state, const JobEstimates &estimates, core::Duration moveTime)
    : m_state{state}
    , m_estimates{estimates}
    , m_moveTime{moveTime}
{
}

void LoadMeter::recordArrival(const Job &job, core::TimePoint now)
{
    std::int64_t work = 0;
    for (const Step &step : job.steps) {
        work += step.continuous ? 0 : step.count * step.each.cpu * step.estimateMs;
    }
    m_arrivals[job.pool].add(work, now);
}

void LoadMeter::advance(core::TimePoint now, std::int64_t wallMs)
{
    if (now - m_measuredAt >= internal::measureInterval) {
        m_measuredAt = now;
        m_loads = measure(now, wallMs);
    }
}

void LoadMeter::setStuckTasks(std::map<std::string, std::int64_t> tasks)
{
    m_stuckTasks = std::move(tasks);
}

const std::map<std::string, PoolLoad> &LoadMeter::loads() const noexcept
{
    return m_loads;
}

bool LoadMeter::isOverloaded(const std::string &pool) const
{
    const auto load = m_loads.find(pool);
    return load != m_loads.end() && static_cast<double>(load->second.waitingCpu) > internal::overloadFactor * static_cast<double>(load->second.capacity);
}

std::int64_t LoadMeter::cpuForLateWork(const std::string &pool, double share) const
{
    const auto load = m_loads.find(pool);
    return load == m_loads.end() ? 0 : static_cast<std::int64_t>(share * static_cast<double>(load->second.capacity)) - load->second.runningLateCpu;
}

std::int64_t LoadMeter::arrivingCpu(const std::string &pool, core::TimePoint now) const
{
    const auto arrivals = m_arrivals.find(pool);
    if (arrivals == m_arrivals.end()) {
        return 0;
    }
    const std::int64_t required = arrivals->second.requiredCpu(now);
    return m_moveTime > core::Duration{} ? std::max(required, arrivals->second.forecastCpu(now, m_moveTime + internal::registrationTime)) : required;
}

std::map<std::string, PoolLoad> LoadMeter::measure(core::TimePoint now, std::int64_t wallMs) const
{
    std::map<std::string, PoolLoad> loads;
    for (const std::pair<const std::string, PoolPolicy> &pool : m_state.config().pools) {
        if (!pool.second.standby) {
            loads[pool.first].arrivingCpu = arrivingCpu(pool.first, now);
        }
    }
    for (const std::pair<const std::string, Worker> &item : m_state.workers()) {
        const Worker &worker = item.second;
        const auto load = loads.find(worker.entry.pool);
        if (load != loads.end() && worker.isSchedulable()) {
            ++load->second.workers;
            load->second.capacity += worker.entry.capacity.cpu;
        }
    }
    for (const std::pair<const std::string, JobEntry> &item : m_state.jobs()) {
        const auto load = loads.find(item.second.job.pool);
        if (load == loads.end() || isFinal(item.second.state)) {
            continue;
        }
        for (const std::pair<const std::int64_t, Occurrence> &occurrence : item.second.occurrences) {
            addOccurrenceLoad(item.second, occurrence.second, now, wallMs, load->second);
        }
    }
    for (const std::pair<const std::string, std::int64_t> &stuck : m_stuckTasks) {
        const auto load = loads.find(stuck.first);
        if (load != loads.end()) {
            load->second.unplacedTasks += stuck.second;
        }
    }
    return loads;
}

void LoadMeter::addOccurrenceLoad(const JobEntry &entry, const Occurrence &occurrence, core::TimePoint now, std::int64_t wallMs, PoolLoad &load) const
{
    // Work beyond the rate of its team has no claim to its objective, so that it justifies no more capacity than late work.
    const bool late = entry.beyondRate || m_estimates.slackMs(entry, occurrence, wallMs) < 0;
    for (std::size_t index = 0; index < occurrence.steps.size(); ++index) {
        const Step &step = entry.job.steps[index];
        const StepState &state = occurrence.steps[index];
        const std::int64_t cpu = StateTable::demandOf(step).cpu;
        const bool ready = state.remaining > 0 && JobEstimates::isStepReady(entry.job, occurrence, index);
        if (step.continuous) {
            load.continuousCpu += cpu * step.count;
            load.unplacedTasks += ready ? state.unopenedTasks(step) : 0;
            for (const Task &task : state.tasks) {
                // No further worker helps a task that is not to be started yet.
                load.unplacedTasks += task.mayStart(now) ? 1 : 0;
            }
            const std::int64_t workersForStep = step.maxPerWorker > 0 ? (step.count + step.maxPerWorker - 1) / step.maxPerWorker : 1;
            load.minWorkers = std::max(load.minWorkers, workersForStep);
            continue;
        }
        (late ? load.waitingLateCpu : load.waitingCpu) += ready ? cpu * state.unopenedTasks(step) : 0;
        for (const Task &task : state.tasks) {
            (late ? load.runningLateCpu : load.runningCpu) += task.isActive() ? cpu : 0;
            (late ? load.waitingLateCpu : load.waitingCpu) += ready && task.phase == TaskPhase::Waiting && !task.record.done ? cpu : 0;
        }
    }
}

double LoadMeter::cpuUtilization(const std::string &pool) const
{
    double capacity = 0.0;
    double used = 0.0;
    for (const std::pair<const std::string, Worker> &item : m_state.workers()) {
        if (item.second.entry.pool == pool && item.second.registered && !item.second.cordoned && !item.second.zoneClosed) {
            capacity += static_cast<double>(item.second.entry.capacity.cpu);
            used += static_cast<double>(item.second.used.cpu);
        }
    }
    return capacity > 0.0 ? used / capacity : 0.0;
}

} // namespace oleanderwick::jobs

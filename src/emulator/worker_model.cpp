#include "worker_model.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace oleanderwick::emulator
{

namespace internal
{

/** Upper limit of the run ends in one report. */
constexpr std::size_t maxReportedEnds = 500;
/** Work after which a continuous task is available. */
constexpr double startupMs = 600.0;
/** Duration of a stop as a share of the longest one. */
constexpr double typicalStopShare = 0.5;
/** Tail latency of a serving task as a share of its target: by itself, and added by each best-effort run beside it at full pace. */
constexpr double baseTailShare = 0.5;
constexpr double tailSharePerBestEffortRun = 0.7;

std::string stepPrefix(const jobs::TaskName &task)
{
    return absl::StrCat(task.job, ".", task.occurrence, ".", task.step);
}

} // namespace internal

std::string makeCheckpoint(const jobs::TaskName &task, double workedMs)
{
    return absl::StrCat(internal::stepPrefix(task), "@", std::llround(workedMs));
}

double checkpointedWorkMs(const jobs::TaskName &task, const std::string &checkpoint)
{
    const std::string prefix = internal::stepPrefix(task) + "@";
    if (!checkpoint.starts_with(prefix)) {
        return -1.0;
    }
    std::int64_t worked = -1;
    (void)std::from_chars(checkpoint.data() + prefix.size(), checkpoint.data() + checkpoint.size(), worked);
    return static_cast<double>(worked);
}

WorkerModel::WorkerModel(jobs::WorkerEntry itsEntry,
                         std::string itsInstance,
                         const WorkerParameters &parameters,
                         double clockRate,
                         const Callbacks &callbacks,
                         core::TimePoint now)
    : entry{std::move(itsEntry)}
    , instance{std::move(itsInstance)}
    , m_parameters{parameters}
    , m_clockRate{clockRate}
    , m_callbacks{callbacks}
    , m_startedAt{now}
    , m_advancedAt{now}
{
}

bool WorkerModel::isUp() const noexcept
{
    return m_up;
}

const std::map<jobs::TaskName, EmulatedRun> &WorkerModel::runs() const noexcept
{
    return m_runs;
}

bool WorkerModel::hasUnacknowledgedEnds() const noexcept
{
    return !m_runEnds.empty();
}

std::int64_t WorkerModel::clockMs(core::TimePoint now) const
{
    constexpr std::int64_t clockStartMs = 10'000;
    return clockStartMs + static_cast<std::int64_t>(static_cast<double>(core::milliseconds(now - m_startedAt)) * m_clockRate);
}

jobs::Resources WorkerModel::usedResources() const
{
    jobs::Resources sum;
    for (const std::pair<const jobs::TaskName, EmulatedRun> &run : m_runs) {
        const jobs::Step &step = run.second.step;
        sum = sum + (step.bestEffort ? jobs::Resources{0, step.each.memory, step.each.gpu} : step.each);
    }
    return sum;
}

bool WorkerModel::isFenced(std::int64_t token)
{
    if (token < m_token) {
        return true;
    }
    m_token = token;
    return false;
}

void WorkerModel::extendLease(std::int64_t deadlineMs, core::TimePoint now)
{
    if (deadlineMs > 0) {
        const std::int64_t latest = clockMs(now) + core::milliseconds(m_parameters.maxLease);
        m_leaseEndMs = std::max(m_leaseEndMs, std::min(deadlineMs, latest));
    }
}

jobs::StartReply WorkerModel::start(const jobs::StartCommand &command, std::int64_t token, core::TimePoint now)
{
    advance(now);
    const auto reply = [this, now](jobs::StartOutcome outcome) {
        return jobs::StartReply{outcome, clockMs(now)};
    };
    if (isFenced(token)) {
        return reply(jobs::StartOutcome::Fenced);
    }
    if (refuses) {
        return reply(jobs::StartOutcome::Unhealthy);
    }
    const auto present = m_runs.find(command.task);
    if (present != m_runs.end() && present->second.run == command.run) {
        extendLease(command.deadlineMs, now);
        return reply(jobs::StartOutcome::Started);
    }
    const auto past = m_lastRuns.find(command.task);
    extendLease(command.deadlineMs, now);
    if (present != m_runs.end() || (past != m_lastRuns.end() && command.run <= past->second)) {
        return reply(jobs::StartOutcome::Outdated);
    }
    if (command.deadlineMs <= clockMs(now)) {
        return reply(jobs::StartOutcome::TooLate);
    }
    EmulatedRun run;
    run.task = command.task;
    run.run = command.run;
    run.step = m_callbacks.stepOf(command.task);
    const jobs::Resources demand = run.step.bestEffort ? jobs::Resources{0, run.step.each.memory, run.step.each.gpu} : run.step.each;
    if (m_parameters.enforcesCapacity && !jobs::fits(demand, entry.capacity - usedResources())) {
        return reply(jobs::StartOutcome::NoRoom);
    }
    run.behavior = m_callbacks.behaviorOf(*this, command.task, command.run);
    run.since = now;
    run.waitsForGang = run.step.gang;
    run.workedMs = command.checkpoint.empty() ? 0.0 : checkpointedWorkMs(command.task, command.checkpoint);
    run.savedMs = run.workedMs;
    if (!command.checkpoint.empty()) {
        run.workedMs -= static_cast<double>(core::milliseconds(m_parameters.restoreTime));
    }
    m_runs[command.task] = run;
    m_callbacks.onStarted(*this, run);
    return reply(jobs::StartOutcome::Started);
}

bool WorkerModel::stop(const jobs::StopCommand &command, std::int64_t token, core::TimePoint now)
{
    advance(now);
    if (isFenced(token)) {
        return false;
    }
    std::int64_t &past = m_lastRuns[command.task];
    past = std::max(past, command.run);
    const auto run = m_runs.find(command.task);
    if (run != m_runs.end() && run->second.run <= command.run && run->second.stopAt == core::TimePoint::max()) {
        run->second.stopAt = now + std::chrono::duration_cast<core::Duration>(m_parameters.stopGrace * internal::typicalStopShare);
    }
    return true;
}

void WorkerModel::pace(const jobs::PaceCommand &command, std::int64_t token)
{
    const auto run = m_runs.find(command.task);
    if (!isFenced(token) && run != m_runs.end() && run->second.run == command.run) {
        run->second.pace = command.percent;
    }
}

std::int64_t WorkerModel::latencyOrCpuOf(const EmulatedRun &run) const
{
    if (run.step.targetMs == 0) {
        return run.step.each.cpu;
    }
    double share = internal::baseTailShare;
    for (const std::pair<const jobs::TaskName, EmulatedRun> &other : m_runs) {
        share += other.second.step.bestEffort ? internal::tailSharePerBestEffortRun * static_cast<double>(other.second.pace) / 100.0 : 0.0;
    }
    return static_cast<std::int64_t>(share * static_cast<double>(run.step.targetMs));
}

std::string WorkerModel::checkpointOf(const EmulatedRun &run) const
{
    return run.step.savesProgress && run.savedMs > 0.0 ? makeCheckpoint(run.task, run.savedMs) : std::string{};
}

jobs::PollReply WorkerModel::poll(const jobs::PollCommand &command, std::int64_t token, core::TimePoint now)
{
    advance(now);
    jobs::PollReply reply;
    if (isFenced(token)) {
        reply.kind = jobs::PollReply::Kind::Fenced;
        return reply;
    }
    extendLease(command.deadlineMs, now);
    while (!m_runEnds.empty() && m_runEnds.front().number <= command.ackedEnd) {
        m_callbacks.onAcknowledged(*this, m_runEnds.front());
        m_runEnds.pop_front();
    }
    reply.kind = jobs::PollReply::Kind::Reported;
    reply.report.clockMs = clockMs(now);
    reply.report.incarnation = entry.incarnation;
    for (const std::pair<const jobs::TaskName, EmulatedRun> &item : m_runs) {
        const EmulatedRun &run = item.second;
        const double share = run.step.continuous ? (isAvailable(run) ? 1.0 : 0.0) : std::clamp(run.workedMs / std::max(run.behavior.workMs, 1.0), 0.0, 0.99);
        reply.report.running.push_back({run.task, run.run, checkpointOf(run), static_cast<std::int64_t>(share * 100.0), latencyOrCpuOf(run)});
    }
    for (std::size_t index = 0; index < m_runEnds.size() && index < internal::maxReportedEnds; ++index) {
        reply.report.ended.push_back(m_runEnds[index]);
    }
    reply.report.endsTruncated = m_runEnds.size() > internal::maxReportedEnds;
    return reply;
}

bool WorkerModel::isAvailable(const EmulatedRun &run) const
{
    return run.workedMs >= internal::startupMs;
}

double WorkerModel::speedOf(const EmulatedRun &run) const
{
    return hangs || run.waitsForGang ? 0.0 : speed / run.behavior.slowdown;
}

void WorkerModel::finish(std::map<jobs::TaskName, EmulatedRun>::iterator run, jobs::RunEndKind kind)
{
    const EmulatedRun ended = run->second;
    m_runs.erase(run);
    std::int64_t &past = m_lastRuns[ended.task];
    past = std::max(past, ended.run);
    std::string checkpoint;
    if (kind != jobs::RunEndKind::Done && ended.step.savesProgress) {
        // A stop saves all work that was done.
        checkpoint = kind == jobs::RunEndKind::Stopped ? makeCheckpoint(ended.task, std::max(ended.workedMs, ended.savedMs)) : checkpointOf(ended);
    }
    m_runEnds.push_back({++m_lastEndNumber, ended.task, ended.run, kind, checkpoint});
    m_callbacks.onEnded(*this, ended, kind);
}

void WorkerModel::advance(core::TimePoint now)
{
    if (!m_up || now <= m_advancedAt) {
        return;
    }
    const double passedMs = static_cast<double>((now - m_advancedAt).count()) / 1e6;
    m_advancedAt = now;
    const double saveEveryMs = static_cast<double>(core::milliseconds(m_parameters.checkpointInterval));
    std::vector<std::pair<jobs::TaskName, jobs::RunEndKind>> ended;
    for (std::pair<const jobs::TaskName, EmulatedRun> &item : m_runs) {
        EmulatedRun &run = item.second;
        run.workedMs += passedMs * speedOf(run);
        if (run.step.savesProgress && run.workedMs - run.savedMs >= saveEveryMs) {
            run.savedMs = run.workedMs - std::fmod(run.workedMs, saveEveryMs);
        }
        if (m_leaseEndMs > 0 && clockMs(now) > m_leaseEndMs) {
            ended.emplace_back(item.first, jobs::RunEndKind::LeaseExpired);
        } else if (run.stopAt <= now) {
            ended.emplace_back(item.first, jobs::RunEndKind::Stopped);
        } else if (run.waitsForGang && now - run.since >= m_parameters.gangTimeout) {
            ended.emplace_back(item.first, jobs::RunEndKind::GangIncomplete);
        } else if (!run.step.continuous && run.workedMs >= run.behavior.workMs) {
            ended.emplace_back(item.first, run.behavior.fails ? jobs::RunEndKind::Failed : jobs::RunEndKind::Done);
        }
    }
    for (const std::pair<jobs::TaskName, jobs::RunEndKind> &end : ended) {
        finish(m_runs.find(end.first), end.second);
    }
}

core::TimePoint WorkerModel::nextEventAt() const
{
    core::TimePoint next = core::TimePoint::max();
    for (const std::pair<const jobs::TaskName, EmulatedRun> &item : m_runs) {
        const EmulatedRun &run = item.second;
        next = std::min(next, run.stopAt);
        if (run.waitsForGang) {
            next = std::min(next, run.since + m_parameters.gangTimeout);
        } else if (!run.step.continuous && speedOf(run) > 0.0) {
            const double leftMs = std::max(0.0, run.behavior.workMs - run.workedMs) / speedOf(run);
            next = std::min(next, m_advancedAt + std::chrono::microseconds{static_cast<std::int64_t>(leftMs * 1000.0) + 1});
        }
    }
    if (!m_runs.empty() && m_leaseEndMs > 0) {
        const double leftMs = static_cast<double>(m_leaseEndMs - clockMs(m_advancedAt)) / m_clockRate;
        next = std::min(next, m_advancedAt + std::chrono::milliseconds{static_cast<std::int64_t>(std::max(0.0, leftMs)) + 2});
    }
    return next;
}

void WorkerModel::crash(core::TimePoint now)
{
    advance(now);
    m_up = false;
    m_runs.clear();
    m_runEnds.clear();
}

void WorkerModel::restart(std::int64_t incarnation, core::TimePoint now)
{
    m_up = true;
    m_startedAt = now;
    m_advancedAt = now;
    m_token = 0;
    m_leaseEndMs = 0;
    m_lastEndNumber = 0;
    m_runs.clear();
    m_runEnds.clear();
    m_lastRuns.clear();
    entry.draining = false;
    entry.incarnation = incarnation;
}

} // namespace oleanderwick::emulator

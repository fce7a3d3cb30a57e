#include "worker_model.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace oleanderwick::emulator
{

namespace internal
{

/** A worker lists this many ends at a time. */
constexpr std::size_t endsInList = 500;
/** Time until a continuous task is at work. */
constexpr double startupMs = 600.0;
/** Share of the longest stop that a stop really takes. */
constexpr double usualStop = 0.5;
/** Tail of a serving task's response times, as a share of its target, alone and with each filling neighbour. */
constexpr double tailAlone = 0.5;
constexpr double tailForFiller = 0.7;

std::string gangPrefix(const jobs::TaskName &task)
{
    return absl::StrCat(task.job, ".", task.occurrence, ".", task.step);
}

} // namespace internal

std::string makeCheckpoint(const jobs::TaskName &task, double workedMs)
{
    return absl::StrCat(internal::gangPrefix(task), "@", std::llround(workedMs));
}

double workIn(const jobs::TaskName &task, const std::string &checkpoint)
{
    const std::string prefix = internal::gangPrefix(task) + "@";
    if (!checkpoint.starts_with(prefix)) {
        return -1.0;
    }
    std::int64_t worked = -1;
    (void)std::from_chars(checkpoint.data() + prefix.size(), checkpoint.data() + checkpoint.size(), worked);
    return static_cast<double>(worked);
}

WorkerModel::WorkerModel(jobs::WorkerEntry itsEntry,
                         std::string itsInstance,
                         const WorkerBounds &bounds,
                         double clockRate,
                         const Host &host,
                         core::TimePoint now)
    : entry{std::move(itsEntry)}
    , instance{std::move(itsInstance)}
    , m_bounds{bounds}
    , m_clockRate{clockRate}
    , m_host{host}
    , m_bornAt{now}
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

bool WorkerModel::hasEnds() const noexcept
{
    return !m_ends.empty();
}

std::int64_t WorkerModel::clockMs(core::TimePoint now) const
{
    constexpr std::int64_t clockStart = 10'000;
    return clockStart + static_cast<std::int64_t>(static_cast<double>(core::milliseconds(now - m_bornAt)) * m_clockRate);
}

jobs::Resources WorkerModel::used() const
{
    jobs::Resources sum;
    for (const std::pair<const jobs::TaskName, EmulatedRun> &run : m_runs) {
        const jobs::Step &step = run.second.step;
        sum = sum + (step.bestEffort ? jobs::Resources{0, step.each.memory, step.each.gpu} : step.each);
    }
    return sum;
}

bool WorkerModel::fenced(std::int64_t token)
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
        const std::int64_t latest = clockMs(now) + core::milliseconds(m_bounds.longestLease);
        m_leaseMs = std::max(m_leaseMs, std::min(deadlineMs, latest));
    }
}

jobs::StartReply WorkerModel::start(const jobs::StartCommand &order, std::int64_t token, core::TimePoint now)
{
    advance(now);
    const auto reply = [this, now](jobs::StartOutcome outcome) {
        return jobs::StartReply{outcome, clockMs(now)};
    };
    if (fenced(token)) {
        return reply(jobs::StartOutcome::Fenced);
    }
    if (refuses) {
        return reply(jobs::StartOutcome::Unhealthy);
    }
    const auto present = m_runs.find(order.task);
    if (present != m_runs.end() && present->second.run == order.run) {
        extendLease(order.deadlineMs, now);
        return reply(jobs::StartOutcome::Started);
    }
    const auto past = m_pastRuns.find(order.task);
    extendLease(order.deadlineMs, now);
    if (present != m_runs.end() || (past != m_pastRuns.end() && order.run <= past->second)) {
        return reply(jobs::StartOutcome::Outdated);
    }
    if (order.deadlineMs <= clockMs(now)) {
        return reply(jobs::StartOutcome::TooLate);
    }
    EmulatedRun run;
    run.task = order.task;
    run.run = order.run;
    run.step = m_host.stepOf(order.task);
    const jobs::Resources demand = run.step.bestEffort ? jobs::Resources{0, run.step.each.memory, run.step.each.gpu} : run.step.each;
    if (m_bounds.guardsCapacity && !jobs::fits(demand, entry.capacity - used())) {
        return reply(jobs::StartOutcome::NoRoom);
    }
    run.truth = m_host.truthOf(*this, order.task, order.run);
    run.since = now;
    run.waitsForGang = run.step.gang;
    run.workedMs = order.checkpoint.empty() ? 0.0 : workIn(order.task, order.checkpoint);
    run.savedMs = run.workedMs;
    if (!order.checkpoint.empty()) {
        run.workedMs -= static_cast<double>(core::milliseconds(m_bounds.restore));
    }
    m_runs[order.task] = run;
    m_host.onStarted(*this, run);
    return reply(jobs::StartOutcome::Started);
}

bool WorkerModel::stop(const jobs::StopCommand &order, std::int64_t token, core::TimePoint now)
{
    advance(now);
    if (fenced(token)) {
        return false;
    }
    std::int64_t &past = m_pastRuns[order.task];
    past = std::max(past, order.run);
    const auto run = m_runs.find(order.task);
    if (run != m_runs.end() && run->second.run <= order.run && run->second.stopAt == core::TimePoint::max()) {
        run->second.stopAt = now + std::chrono::duration_cast<core::Duration>(m_bounds.stopGrace * internal::usualStop);
    }
    return true;
}

void WorkerModel::pace(const jobs::PaceCommand &order, std::int64_t token)
{
    const auto run = m_runs.find(order.task);
    if (!fenced(token) && run != m_runs.end() && run->second.run == order.run) {
        run->second.pace = order.percent;
    }
}

std::int64_t WorkerModel::figureOf(const EmulatedRun &run) const
{
    if (run.step.targetMs == 0) {
        return run.step.each.cpu;
    }
    double share = internal::tailAlone;
    for (const std::pair<const jobs::TaskName, EmulatedRun> &other : m_runs) {
        share += other.second.step.bestEffort ? internal::tailForFiller * static_cast<double>(other.second.pace) / 100.0 : 0.0;
    }
    return static_cast<std::int64_t>(share * static_cast<double>(run.step.targetMs));
}

std::string WorkerModel::checkpointOf(const EmulatedRun &run) const
{
    return run.step.savesProgress && run.savedMs > 0.0 ? makeCheckpoint(run.task, run.savedMs) : std::string{};
}

jobs::PollReply WorkerModel::poll(const jobs::PollCommand &order, std::int64_t token, core::TimePoint now)
{
    advance(now);
    jobs::PollReply reply;
    if (fenced(token)) {
        reply.kind = jobs::PollReply::Kind::Fenced;
        return reply;
    }
    extendLease(order.deadlineMs, now);
    while (!m_ends.empty() && m_ends.front().number <= order.ackedEnd) {
        m_host.onAcknowledged(*this, m_ends.front());
        m_ends.pop_front();
    }
    reply.kind = jobs::PollReply::Kind::Reported;
    reply.report.clockMs = clockMs(now);
    reply.report.incarnation = entry.incarnation;
    for (const std::pair<const jobs::TaskName, EmulatedRun> &item : m_runs) {
        const EmulatedRun &run = item.second;
        const double share = run.step.continuous ? (atWork(run) ? 1.0 : 0.0) : std::clamp(run.workedMs / std::max(run.truth.workMs, 1.0), 0.0, 0.99);
        reply.report.running.push_back({run.task, run.run, checkpointOf(run), static_cast<std::int64_t>(share * 100.0), figureOf(run)});
    }
    for (std::size_t index = 0; index < m_ends.size() && index < internal::endsInList; ++index) {
        reply.report.ended.push_back(m_ends[index]);
    }
    return reply;
}

bool WorkerModel::atWork(const EmulatedRun &run) const
{
    return run.workedMs >= internal::startupMs;
}

double WorkerModel::speedOf(const EmulatedRun &run) const
{
    return hangs || run.waitsForGang ? 0.0 : speed / run.truth.slowdown;
}

void WorkerModel::finish(std::map<jobs::TaskName, EmulatedRun>::iterator run, jobs::RunEndKind kind)
{
    const EmulatedRun ended = run->second;
    m_runs.erase(run);
    std::int64_t &past = m_pastRuns[ended.task];
    past = std::max(past, ended.run);
    std::string checkpoint;
    if (kind != jobs::RunEndKind::Done && ended.step.savesProgress) {
        // A stop makes a checkpoint of all that was done.
        checkpoint = kind == jobs::RunEndKind::Stopped ? makeCheckpoint(ended.task, std::max(ended.workedMs, ended.savedMs)) : checkpointOf(ended);
    }
    m_ends.push_back({++m_lastEnd, ended.task, ended.run, kind, checkpoint});
    m_host.onEnded(*this, ended, kind);
}

void WorkerModel::advance(core::TimePoint now)
{
    if (!m_up || now <= m_advancedAt) {
        return;
    }
    const double passedMs = static_cast<double>((now - m_advancedAt).count()) / 1e6;
    m_advancedAt = now;
    const double saveEveryMs = static_cast<double>(core::milliseconds(m_bounds.checkpointEvery));
    std::vector<std::pair<jobs::TaskName, jobs::RunEndKind>> over;
    for (std::pair<const jobs::TaskName, EmulatedRun> &item : m_runs) {
        EmulatedRun &run = item.second;
        run.workedMs += passedMs * speedOf(run);
        if (run.step.savesProgress && run.workedMs - run.savedMs >= saveEveryMs) {
            run.savedMs = run.workedMs - std::fmod(run.workedMs, saveEveryMs);
        }
        if (m_leaseMs > 0 && clockMs(now) > m_leaseMs) {
            over.emplace_back(item.first, jobs::RunEndKind::LeaseExpired);
        } else if (run.stopAt <= now) {
            over.emplace_back(item.first, jobs::RunEndKind::Stopped);
        } else if (run.waitsForGang && now - run.since >= m_bounds.gangWait) {
            over.emplace_back(item.first, jobs::RunEndKind::GangIncomplete);
        } else if (!run.step.continuous && run.workedMs >= run.truth.workMs) {
            over.emplace_back(item.first, run.truth.fails ? jobs::RunEndKind::Failed : jobs::RunEndKind::Done);
        }
    }
    for (const std::pair<jobs::TaskName, jobs::RunEndKind> &end : over) {
        finish(m_runs.find(end.first), end.second);
    }
}

core::TimePoint WorkerModel::nextChange() const
{
    core::TimePoint next = core::TimePoint::max();
    for (const std::pair<const jobs::TaskName, EmulatedRun> &item : m_runs) {
        const EmulatedRun &run = item.second;
        next = std::min(next, run.stopAt);
        if (run.waitsForGang) {
            next = std::min(next, run.since + m_bounds.gangWait);
        } else if (!run.step.continuous && speedOf(run) > 0.0) {
            const double leftMs = std::max(0.0, run.truth.workMs - run.workedMs) / speedOf(run);
            next = std::min(next, m_advancedAt + std::chrono::microseconds{static_cast<std::int64_t>(leftMs * 1000.0) + 1});
        }
    }
    if (!m_runs.empty() && m_leaseMs > 0) {
        const double leftMs = static_cast<double>(m_leaseMs - clockMs(m_advancedAt)) / m_clockRate;
        next = std::min(next, m_advancedAt + std::chrono::milliseconds{static_cast<std::int64_t>(std::max(0.0, leftMs)) + 2});
    }
    return next;
}

void WorkerModel::crash(core::TimePoint now)
{
    advance(now);
    m_up = false;
    m_runs.clear();
    m_ends.clear();
}

void WorkerModel::revive(std::int64_t incarnation, core::TimePoint now)
{
    m_up = true;
    m_bornAt = now;
    m_advancedAt = now;
    m_token = 0;
    m_leaseMs = 0;
    m_lastEnd = 0;
    m_runs.clear();
    m_ends.clear();
    m_pastRuns.clear();
    entry.draining = false;
    entry.incarnation = incarnation;
}

} // namespace oleanderwick::emulator

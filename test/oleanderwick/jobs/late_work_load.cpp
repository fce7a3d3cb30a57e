#include <catch2/catch.hpp>

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

constexpr core::Duration stepTime = std::chrono::milliseconds{10};
constexpr std::int64_t stopMs = 300;
constexpr std::int64_t restoreMs = 100;

/** Workers that execute runs in virtual time, write checkpoints when they are stopped, and resume from them. */
class PlayedPool
{
public:
    explicit PlayedPool(bool yieldLateWork)
        : m_fleet{jobs::SchedulerLimits{.yieldLateWork = yieldLateWork}}
    {
        jobs::FleetConfig config;
        config.queues["queue"] = {"pool", 0, 2, 1.6, 600, false};
        config.pools["pool"] = {};
        m_fleet.scheduler.configure(config);
        for (int index = 0; index < workerCount; ++index) {
            m_fleet.addWorker(absl::StrCat("w", index));
        }
    }

    void add(const std::string &id, std::int64_t tasks, std::int64_t estimateMs, std::int64_t ageMs)
    {
        jobs::Step step = JobFleet::makeStep(tasks);
        step.each.cpu = 2000;
        step.estimateMs = estimateMs;
        step.savesProgress = true;
        jobs::Job job = JobFleet::makeJob(id, {step});
        job.submittedMs = m_fleet.wallMs() - ageMs;
        m_fleet.scheduler.addJob(job, std::nullopt, false, m_fleet.now);
    }

    void advance()
    {
        for (const jobs::StartCommand &start : m_fleet.advance(stepTime)) {
            m_fleet.scheduler.handleStartReply(start, jobs::StartOutcome::Started, m_fleet.clockMs(), m_fleet.now);
            const std::int64_t saved = start.checkpoint.empty() ? 0 : std::stoll(start.checkpoint) - restoreMs;
            const std::int64_t estimateMs = m_fleet.scheduler.findJob(start.task.job)->job.steps[start.task.step].estimateMs;
            m_runs[start.worker].push_back({{start.task, start.run, "", 0, 0}, saved, estimateMs, -1});
        }
        for (const jobs::StopCommand &stop : std::exchange(m_fleet.stops, {})) {
            ++m_stops[stop.task];
            for (Run &run : m_runs[stop.worker]) {
                run.stopsInMs = run.reported.task == stop.task && run.reported.run == stop.run ? stopMs : run.stopsInMs;
            }
            m_fleet.scheduler.handleStopReply(stop, true, m_fleet.now);
        }
        for (std::pair<const std::string, std::vector<Run>> &worker : m_runs) {
            advanceWorker(worker.first, worker.second);
        }
        for (const jobs::SaveRequest &save : m_fleet.scheduler.takeSaves(1000)) {
            if (save.record.state == jobs::JobState::Completed) {
                m_completedMs[save.job] = save.record.endedMs;
            }
            m_fleet.scheduler.handleSaved(save.job, save.version, true);
        }
        for (const jobs::PollCommand &poll : m_fleet.scheduler.takePolls(m_fleet.now)) {
            std::erase_if(m_fleet.ends[poll.worker], [&poll](const jobs::ReportedEnd &ended) {
                return ended.number <= poll.ackedEnd;
            });
            report(poll.worker);
        }
    }

    [[nodiscard]] std::int64_t wallMs() const
    {
        return m_fleet.wallMs();
    }

    /** Time at which a job completed, or a time after all others. */
    [[nodiscard]] std::int64_t completedMs(const std::string &id) const
    {
        const auto found = m_completedMs.find(id);
        return found == m_completedMs.end() ? std::numeric_limits<std::int64_t>::max() : found->second;
    }

    [[nodiscard]] const std::map<jobs::TaskName, std::int64_t> &stops() const
    {
        return m_stops;
    }

    static constexpr int workerCount = 12;

private:
    struct Run {
        jobs::ReportedRun reported;
        std::int64_t workedMs;
        std::int64_t workMs;
        std::int64_t stopsInMs; /**< Time until a stop takes effect; negative without a stop. */
    };

    void advanceWorker(const std::string &id, std::vector<Run> &runs)
    {
        bool ended = false;
        for (Run &run : runs) {
            run.workedMs += core::milliseconds(stepTime);
            run.reported.percent = std::max<std::int64_t>(run.workedMs, 0) * 100 / run.workMs;
            run.stopsInMs -= run.stopsInMs > 0 ? core::milliseconds(stepTime) : 0;
            const bool done = run.workedMs >= run.workMs;
            if (done || run.stopsInMs == 0) {
                const std::string checkpoint = done ? "" : absl::StrCat(std::max<std::int64_t>(run.workedMs, 0));
                const jobs::RunEndKind kind = done ? jobs::RunEndKind::Done : jobs::RunEndKind::Stopped;
                m_fleet.ends[id].push_back({++m_lastEnds[id], run.reported.task, run.reported.run, kind, checkpoint});
                run.reported.run = 0;
                ended = true;
            }
        }
        std::erase_if(runs, [](const Run &run) {
            return run.reported.run == 0;
        });
        if (ended) {
            report(id);
        }
    }

    void report(const std::string &id)
    {
        std::vector<jobs::ReportedRun> running;
        for (const Run &run : m_runs[id]) {
            running.push_back(run.reported);
        }
        m_fleet.report(id, running, m_fleet.ends[id]);
    }

    JobFleet m_fleet;
    std::map<std::string, std::vector<Run>> m_runs;
    std::map<std::string, std::int64_t> m_lastEnds;
    std::map<std::string, std::int64_t> m_completedMs;
    std::map<jobs::TaskName, std::int64_t> m_stops;
};

/** What a played load gave. */
struct Outcome {
    int timelyInTime{0};
    int timelyJobs{0};
    int lateEnded{0};
    int lateJobs{0};
    std::int64_t lastLateEndMs{0}; /**< After the start of the load. */
    std::int64_t mostStopsOfTask{0};
    std::int64_t stops{0};
};

/** Fills two thirds of the pool with late work, then submits timely jobs that need five eighths of its cpu for 8 s. */
Outcome playLoad(bool yieldLateWork)
{
    constexpr std::int64_t timelyEstimateMs = 600;
    constexpr std::int64_t objectiveMs = timelyEstimateMs * 16 / 10 + 600;
    PlayedPool pool{yieldLateWork};
    Outcome outcome;
    for (; outcome.lateJobs < 16; ++outcome.lateJobs) {
        pool.add(absl::StrCat("late", outcome.lateJobs), 4, 10'000 + 250 * outcome.lateJobs, 30'000);
    }
    const std::int64_t startMs = pool.wallMs();
    std::map<std::string, std::int64_t> submittedMs;
    for (int step = 0; step < 4000; ++step) {
        if (step >= 20 && step < 820 && step % 4 == 0) {
            const std::string id = absl::StrCat("timely", outcome.timelyJobs++);
            submittedMs[id] = pool.wallMs();
            pool.add(id, 4, timelyEstimateMs, 0);
        }
        pool.advance();
    }
    for (const std::pair<const std::string, std::int64_t> &job : submittedMs) {
        outcome.timelyInTime += pool.completedMs(job.first) - job.second <= objectiveMs ? 1 : 0;
    }
    for (int index = 0; index < outcome.lateJobs; ++index) {
        const std::int64_t endMs = pool.completedMs(absl::StrCat("late", index));
        outcome.lateEnded += endMs < std::numeric_limits<std::int64_t>::max() ? 1 : 0;
        outcome.lastLateEndMs = std::max(outcome.lastLateEndMs, endMs - startMs);
    }
    for (const std::pair<const jobs::TaskName, std::int64_t> &task : pool.stops()) {
        outcome.mostStopsOfTask = std::max(outcome.mostStopsOfTask, task.second);
        outcome.stops += task.second;
    }
    return outcome;
}

} // namespace

TEST_CASE("timely jobs meet their objective in a pool that late work fills to two thirds, and all late jobs end", "[late_work]")
{
    // Guards against late runs that keep timely jobs waiting until these are late, too, and against late jobs that are stopped for ever.
    const Outcome without = playLoad(false);
    const Outcome with = playLoad(true);
    UNSCOPED_INFO("in time " << without.timelyInTime << ", with yields " << with.timelyInTime << " of " << with.timelyJobs << "; last late end after "
                             << without.lastLateEndMs << " ms, with yields " << with.lastLateEndMs << " ms; stops " << with.stops);
    CHECK(without.stops == 0);
    CHECK(without.timelyInTime * 4 < without.timelyJobs * 3);
    CHECK(with.timelyInTime * 10 >= with.timelyJobs * 9);
    CHECK(without.lateEnded == without.lateJobs);
    CHECK(with.lateEnded == with.lateJobs);
    CHECK(with.stops > 0);
    CHECK(with.mostStopsOfTask <= 2);
}

#include <catch2/catch.hpp>

#include <cmath>

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

constexpr std::int64_t estimateMs = 1000;

jobs::SchedulerLimits farTakes(double factor)
{
    jobs::SchedulerLimits limits;
    limits.remoteFactor = factor;
    return limits;
}

/** Fleet with one worker of two cores on rack "near" and a large one on rack "far". */
struct TwoRacks : JobFleet {
    explicit TwoRacks(double factor, std::int64_t objectiveMs = 60'000)
        : JobFleet{farTakes(factor)}
    {
        jobs::FleetConfig config;
        config.queues["queue"] = {"pool", 0, 2, 1.0, objectiveMs, false};
        config.pools["pool"] = {};
        scheduler.configure(config);
        add("n1", "near", 2'000);
        add("f1", "far", 64'000);
    }

    void add(const std::string &id, const std::string &rack, std::int64_t cpu)
    {
        scheduler.registerWorker({id, "pool", "127.0.0.1:1", "", rack, {}, {cpu, 64'000, 0}, false, 1}, now);
        report(id, {}, {});
    }

    /** Submits a job whose tasks have their data on rack "near". */
    void submit(const std::string &id, std::int64_t tasks, std::int64_t taskMs = estimateMs)
    {
        jobs::Step step = makeStep(tasks);
        step.estimateMs = taskMs;
        step.affinityRack = "near";
        jobs::Job job = makeJob(id, {step});
        job.submittedMs = wallMs();
        scheduler.addJob(job, std::nullopt, false, now);
    }

    /** Fills the near worker with two tasks of `taskMs`. */
    std::vector<jobs::StartCommand> fillNear(std::int64_t taskMs = estimateMs)
    {
        submit("first", 2, taskMs);
        std::vector<jobs::StartCommand> starts = advance();
        REQUIRE(starts.size() == 2);
        CHECK(starts[0].worker == "n1");
        CHECK(starts[1].worker == "n1");
        accept(starts);
        return starts;
    }

    /** Advances in steps of 100 ms, with reports, until something starts or the time is over; returns the starts. */
    std::vector<jobs::StartCommand> advanceUntilStart(std::int64_t limitMs)
    {
        std::vector<jobs::StartCommand> starts;
        std::int64_t percent = 0;
        for (std::int64_t elapsed = 0; elapsed < limitMs && starts.empty(); elapsed += 100) {
            for (jobs::ReportedRun &run : running["n1"]) {
                run.percent = ++percent % 100;
            }
            report("n1", running["n1"], ends["n1"]);
            report("f1", running["f1"], ends["f1"]);
            starts = advance(std::chrono::milliseconds{100});
            // A poll extends the lease of the worker.
            CHECK(scheduler.takePolls(now).size() <= 2);
        }
        return starts;
    }
};

} // namespace

TEST_CASE("a task waits for its rack while that costs less than a far run", "[jobs]")
{
    // Guards against tasks that take three times as long on another rack although their own has room shortly.
    TwoRacks fleet{3.0};
    const std::vector<jobs::StartCommand> first = fleet.fillNear();
    fleet.submit("second", 1);
    CHECK(fleet.advance().empty());
    CHECK(fleet.advance(std::chrono::milliseconds{500}).empty());
    fleet.end(first[0], jobs::RunEndKind::Done);
    const std::vector<jobs::StartCommand> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "n1");
}

TEST_CASE("with the factor off a task starts on another rack at once", "[jobs]")
{
    TwoRacks fleet{1.0};
    fleet.fillNear();
    fleet.submit("second", 1);
    const std::vector<jobs::StartCommand> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "f1");
}

TEST_CASE("a task goes to another rack at once if its own is full for longer than a far run loses", "[jobs]")
{
    TwoRacks fleet{3.0};
    fleet.fillNear(10'000);
    fleet.submit("second", 1);
    const std::vector<jobs::StartCommand> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "f1");
}

TEST_CASE("a task doesn't wait for its rack beyond its slack", "[jobs]")
{
    // Guards against a job that misses its objective since it waited for its rack.
    TwoRacks fleet{3.0, 300};
    fleet.fillNear();
    fleet.submit("second", 1);
    const std::vector<jobs::StartCommand> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "f1");
}

TEST_CASE("a task that waits for runs past their estimates leaves after the time that a far run loses", "[jobs]")
{
    // Guards against an endless wait when estimates are too short: the runs on the near rack never end here.
    TwoRacks fleet{3.0};
    fleet.fillNear();
    fleet.submit("second", 1);
    const core::TimePoint submitted = fleet.now;
    const std::vector<jobs::StartCommand> second = fleet.advanceUntilStart(5'000);
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "f1");
    CHECK(fleet.now - submitted >= std::chrono::milliseconds{1000});
    CHECK(fleet.now - submitted <= std::chrono::milliseconds{2100});
}

TEST_CASE("of many tasks for one rack those wait that it can take in time, the others go elsewhere", "[jobs]")
{
    // Guards against a rack that many jobs want: all of them would wait while the other racks are idle.
    TwoRacks fleet{3.0};
    fleet.fillNear();
    for (int job = 0; job < 10; ++job) {
        fleet.submit(absl::StrCat("j", job), 1);
    }
    // In less than 2 s the two cores take one round of two tasks; a second round would begin just after that bound.
    const std::vector<jobs::StartCommand> far = fleet.advance();
    CHECK(far.size() >= 6);
    CHECK(far.size() <= 8);
    for (const jobs::StartCommand &start : far) {
        CHECK(start.worker == "f1");
    }
}

namespace
{

/**
 * Plays 60 jobs of one task that come in bursts and want one rack of two cores; returns the mean time until a job ends, in milliseconds.
 * The real durations are the estimates times each of `errors` in turn.
 */
double playWantedRack(double factor, const std::vector<double> &errors)
{
    struct Run {
        jobs::StartCommand start;
        core::TimePoint endsAt;
    };
    TwoRacks fleet{factor};
    std::vector<Run> runs;
    std::map<std::string, std::int64_t> lastEnd;
    std::map<std::string, std::int64_t> submittedMs;
    std::int64_t ended = 0;
    double totalMs = 0.0;
    for (int step = 0; step < 1000; ++step) {
        if (step % 60 == 0 && step < 900) {
            for (int index = 0; index < 4; ++index) {
                const std::string id = absl::StrCat("j", step, "-", index);
                submittedMs[id] = fleet.wallMs();
                fleet.submit(id, 1, 300 + 50 * index);
            }
        }
        for (const jobs::StartCommand &start : fleet.advance(std::chrono::milliseconds{20})) {
            fleet.scheduler.handleStartReply(start, jobs::StartOutcome::Started, fleet.clockMs(), fleet.now);
            const double error = errors[XXH64(start.task.job.data(), start.task.job.size(), 0) % errors.size()];
            const std::int64_t taskMs = std::llround(static_cast<double>(fleet.scheduler.findJob(start.task.job)->job.steps[0].estimateMs) * error);
            // A run away from the rack of its data takes three times as long, whatever the scheduler knows.
            runs.push_back({start, fleet.now + std::chrono::milliseconds{start.worker == "n1" ? taskMs : 3 * taskMs}});
        }
        for (const char *worker : {"n1", "f1"}) {
            std::vector<jobs::ReportedRun> running;
            std::vector<jobs::ReportedEnd> ends;
            for (const Run &run : runs) {
                if (run.start.worker == worker && run.endsAt <= fleet.now) {
                    ends.push_back({++lastEnd[worker], run.start.task, run.start.run, jobs::RunEndKind::Done, ""});
                    totalMs += static_cast<double>(fleet.wallMs() - submittedMs[run.start.task.job]);
                    ++ended;
                } else if (run.start.worker == worker) {
                    running.push_back({run.start.task, run.start.run, "", step % 100, 0});
                }
            }
            std::erase_if(runs, [&fleet, worker](const Run &run) {
                return run.start.worker == worker && run.endsAt <= fleet.now;
            });
            fleet.report(worker, running, ends);
        }
        fleet.save();
    }
    CHECK(ended == static_cast<std::int64_t>(submittedMs.size()));
    return totalMs / static_cast<double>(ended);
}

} // namespace

TEST_CASE("jobs that want one rack end sooner when they wait for it", "[jobs]")
{
    // Guards against a wait that costs callers more than it gains.
    const double waiting = playWantedRack(3.0, {1.0});
    const double unaware = playWantedRack(1.0, {1.0});
    INFO("waiting " << waiting << " ms, unaware " << unaware << " ms");
    CHECK(waiting < 0.8 * unaware);
    // Estimates of the large queues are off by a factor of about 2.
    const std::vector<double> errors{0.4, 0.6, 1.0, 1.6, 2.5};
    const double misjudging = playWantedRack(3.0, errors);
    const double unawareOfErrors = playWantedRack(1.0, errors);
    INFO("with wrong estimates: waiting " << misjudging << " ms, unaware " << unawareOfErrors << " ms");
    CHECK(misjudging < 0.9 * unawareOfErrors);
}

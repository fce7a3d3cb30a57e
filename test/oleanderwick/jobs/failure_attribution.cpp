#include <catch2/catch.hpp>

#include <random>
#include <set>

#include <absl/strings/str_cat.h>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

jobs::SchedulerLimits attributing()
{
    jobs::SchedulerLimits limits;
    limits.attributeFailures = true;
    return limits;
}

/** Fleet with two sound workers, on which a job "proof" has succeeded. */
struct ProvenFleet : JobFleet {
    explicit ProvenFleet(std::int64_t maxAttempts)
        : JobFleet{attributing()}
    {
        jobs::FleetConfig config;
        config.queues["queue"] = {"pool", 0, maxAttempts, 1.0, 600, false};
        config.pools["pool"] = {};
        scheduler.configure(config);
        prove("w1");
        prove("w2");
    }

    /** Adds a worker and lets a job succeed on it; the other workers have no room meanwhile. */
    void prove(const std::string &worker)
    {
        addWorker(worker);
        jobs::Step step = makeStep(1);
        step.requiredLabel = worker;
        jobs::WorkerEntry entry = scheduler.workers().at(worker).entry;
        entry.labels = {worker};
        scheduler.registerWorker(entry, now);
        report(worker, {}, {});
        scheduler.addJob(makeJob(absl::StrCat("proof-", worker), {step}), std::nullopt, false, now);
        const std::vector<jobs::StartCommand> starts = advance();
        REQUIRE(starts.size() == 1);
        accept(starts);
        end(starts[0], jobs::RunEndKind::Done);
        advance();
    }

    /** Fails all starts of the next two seconds; returns them. */
    std::vector<jobs::StartCommand> failAll()
    {
        std::vector<jobs::StartCommand> all;
        for (int step = 0; step < 40; ++step) {
            for (const jobs::StartCommand &start : advance()) {
                accept({start});
                end(start, jobs::RunEndKind::Failed);
                all.push_back(start);
            }
        }
        return all;
    }
};

/** Result of a played load. */
struct Outcome {
    std::int64_t soundJobs{0};
    std::int64_t soundCompleted{0};
    std::int64_t soundFailed{0};
    std::int64_t badJobs{0};
    std::int64_t badFailed{0};
    double meanMs{0.0}; /**< Mean time from submission to the end of sound jobs. */
    std::set<std::string> quarantined;
    std::int64_t startsOnBadWorker{0};
};

/** What is wrong in a played load. */
struct Faults {
    bool badJobs{false}; /**< 3% of the jobs fail wherever they run. */
    bool badWorker{false}; /**< "w0" fails all that it starts. */
    int firstWorker{0}; /**< With 1, "w0" is missing. */
    std::int64_t addedMs{0}; /**< Added to the duration of each task; 50 ms more is 5 cores more. */
};

/** Plays 20 s of jobs of two tasks that need 30 of the 40 cores of ten workers, followed by 10 s without new jobs. */
Outcome play(const jobs::SchedulerLimits &limits, const Faults &faults)
{
    struct Run {
        jobs::StartCommand start;
        core::TimePoint endsAt;
        jobs::RunEndKind kind;
    };
    JobFleet fleet{limits};
    for (int index = faults.firstWorker; index < 10; ++index) {
        fleet.addWorker(absl::StrCat("w", index), 4'000);
    }
    std::mt19937_64 random{7};
    std::vector<Run> runs;
    std::map<std::string, std::int64_t> lastEnd;
    std::map<std::string, std::int64_t> submittedMs;
    Outcome outcome;
    double totalMs = 0.0;
    for (int step = 0; step < 1500; ++step) {
        if (step < 1000) {
            const bool bad = step % 33 == 5;
            const std::string id = absl::StrCat(bad ? "bad" : "sound", step);
            jobs::Step definition = JobFleet::makeStep(2);
            definition.estimateMs = 200 + faults.addedMs + static_cast<std::int64_t>(random() % 200);
            jobs::Job job = JobFleet::makeJob(id, {definition});
            job.submittedMs = fleet.wallMs();
            if (!bad || faults.badJobs) {
                fleet.scheduler.addJob(job, std::nullopt, false, fleet.now);
                submittedMs[id] = job.submittedMs;
                ++(bad ? outcome.badJobs : outcome.soundJobs);
            }
        }
        for (const jobs::StartCommand &start : fleet.advance(std::chrono::milliseconds{20})) {
            fleet.scheduler.handleStartReply(start, jobs::StartOutcome::Started, fleet.clockMs(), fleet.now);
            const bool onBadWorker = faults.badWorker && start.worker == "w0";
            const bool fails = onBadWorker || start.task.job.starts_with("bad");
            outcome.startsOnBadWorker += onBadWorker ? 1 : 0;
            const std::int64_t durationMs = fails ? 60 : fleet.scheduler.findJob(start.task.job)->job.steps[0].estimateMs;
            runs.push_back({start, fleet.now + std::chrono::milliseconds{durationMs}, fails ? jobs::RunEndKind::Failed : jobs::RunEndKind::Done});
        }
        using Report = std::pair<std::vector<jobs::ReportedRun>, std::vector<jobs::ReportedEnd>>;
        std::map<std::string, Report> reports;
        for (const Run &run : runs) {
            if (run.endsAt <= fleet.now) {
                reports[run.start.worker].second.push_back({++lastEnd[run.start.worker], run.start.task, run.start.run, run.kind, ""});
            } else {
                reports[run.start.worker].first.push_back({run.start.task, run.start.run, "", step % 100, 0});
            }
        }
        std::erase_if(runs, [&fleet](const Run &run) {
            return run.endsAt <= fleet.now;
        });
        for (const std::pair<const std::string, Report> &report : reports) {
            fleet.report(report.first, report.second.first, report.second.second);
        }
        for (const jobs::Decision &decision : fleet.scheduler.takeDecisions()) {
            if (decision.event == "worker_quarantined") {
                outcome.quarantined.insert(decision.worker);
            }
            if (decision.event == "job_ended") {
                const bool sound = decision.job.starts_with("sound");
                const bool completed = decision.detail.starts_with("state=completed");
                outcome.soundCompleted += sound && completed ? 1 : 0;
                outcome.soundFailed += sound && !completed ? 1 : 0;
                outcome.badFailed += !sound && !completed ? 1 : 0;
                totalMs += sound ? static_cast<double>(fleet.wallMs() - submittedMs[decision.job]) : 0.0;
            }
        }
        fleet.save();
    }
    outcome.meanMs = totalMs / static_cast<double>(std::max<std::int64_t>(outcome.soundCompleted + outcome.soundFailed, 1));
    return outcome;
}

} // namespace

TEST_CASE("a task that fails on two sound workers is unsound and leaves them without a failure", "[jobs]")
{
    // Guards against sound workers that lose capacity to quarantine because of jobs that can't be done.
    ProvenFleet fleet{5};
    fleet.prove("w3");
    fleet.scheduler.addJob(JobFleet::makeJob("bad", {JobFleet::makeStep(3)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> starts = fleet.failAll();
    CHECK(starts.size() >= 6);
    for (const char *worker : {"w1", "w2", "w3"}) {
        CHECK(fleet.scheduler.workers().at(worker).consecutiveFailures == 0);
        CHECK(fleet.scheduler.workers().at(worker).quarantinedUntil <= fleet.now);
    }
}

TEST_CASE("unsound tasks of a job run one at a time until the attempts are used", "[jobs]")
{
    // Guards against a job that can't be done occupying as much room as it has tasks, and against one that never ends.
    ProvenFleet fleet{4};
    fleet.prove("w3");
    fleet.scheduler.addJob(JobFleet::makeJob("bad", {JobFleet::makeStep(3)}), std::nullopt, false, fleet.now);
    for (int attempt = 0; attempt < 2; ++attempt) {
        const std::vector<jobs::StartCommand> starts = fleet.advance();
        REQUIRE(starts.size() == 3);
        fleet.accept(starts);
        for (const jobs::StartCommand &start : starts) {
            fleet.end(start, jobs::RunEndKind::Failed);
        }
    }
    REQUIRE(fleet.scheduler.findJob("bad")->unsoundTasks == 3);
    const std::vector<jobs::StartCommand> third = fleet.advance(std::chrono::milliseconds{100});
    REQUIRE(third.size() == 1);
    CHECK(fleet.advance().empty());
    fleet.accept(third);
    fleet.end(third[0], jobs::RunEndKind::Failed);
    // The last attempt waits up to 10 s for a worker on which the task has not failed; there is none, so that it starts at once.
    fleet.failAll();
    const jobs::JobEntry *entry = fleet.scheduler.findJob("bad");
    CHECK((entry == nullptr || entry->state == jobs::JobState::Failed));
}

TEST_CASE("a task that failed goes to a proven worker on which it has not failed, and waits for room there", "[jobs]")
{
    // Guards against a sound job that loses its last attempt to a worker that fails every task.
    JobFleet fleet{attributing()};
    fleet.addWorker("bad");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.addWorker("good", 1'000);
    jobs::Step large = JobFleet::makeStep(1);
    large.each.cpu = 1'000;
    jobs::Job filler = JobFleet::makeJob("filler", {large});
    fleet.scheduler.setCordoned("bad", true);
    fleet.scheduler.addJob(filler, std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> filling = fleet.advance();
    REQUIRE(filling.size() == 1);
    fleet.accept(filling);
    fleet.scheduler.setCordoned("bad", false);
    fleet.end(first[0], jobs::RunEndKind::Failed);
    CHECK(fleet.advance().empty());
    fleet.end(filling[0], jobs::RunEndKind::Done);
    const std::vector<jobs::StartCommand> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "good");
}

TEST_CASE("a task that failed on the only worker runs there again", "[jobs]")
{
    // Guards against a task that waits forever for a worker that does not exist.
    JobFleet fleet{attributing()};
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.end(first[0], jobs::RunEndKind::Failed);
    CHECK(fleet.advance().size() == 1);
}

TEST_CASE("a task whose other workers stay full returns to the worker on which it failed after a bounded time", "[jobs]")
{
    // Guards against a job without an end while continuous tasks fill the other workers.
    JobFleet fleet{attributing()};
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.scheduler.setCordoned("w1", true);
    fleet.addWorker("w2", 1'000);
    jobs::Step continuous = JobFleet::makeStep(1);
    continuous.continuous = true;
    fleet.scheduler.addJob(JobFleet::makeJob("c", {continuous}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    fleet.scheduler.setCordoned("w1", false);
    fleet.end(first[0], jobs::RunEndKind::Failed);
    std::vector<jobs::StartCommand> later;
    int waitedS = 0;
    for (; waitedS < 15 && later.empty(); ++waitedS) {
        fleet.report("w1", {}, fleet.ends["w1"]);
        fleet.report("w2", fleet.running["w2"], {});
        // A poll extends the lease of the worker.
        CHECK_FALSE(fleet.scheduler.takePolls(fleet.now).empty());
        later = fleet.advance(std::chrono::seconds{1});
    }
    CHECK(waitedS >= 9);
    REQUIRE(later.size() == 1);
    CHECK(later[0].worker == "w1");
}

TEST_CASE("a worker that fails three jobs is quarantined, and one that fails one job's tasks gets no more of this job", "[jobs]")
{
    // Guards against a worker that fails every task and gets work without end, since each failure is blamed on its job.
    JobFleet fleet{attributing()};
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(3)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 3);
    fleet.accept(first);
    for (const jobs::StartCommand &start : first) {
        fleet.end(start, jobs::RunEndKind::Failed);
    }
    CHECK(fleet.scheduler.workers().at("w1").consecutiveFailures == 1);
    CHECK(fleet.advance().empty());
    for (const char *id : {"b", "c"}) {
        fleet.scheduler.addJob(JobFleet::makeJob(id, {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
        const std::vector<jobs::StartCommand> next = fleet.advance();
        REQUIRE(!next.empty());
        fleet.accept(next);
        for (const jobs::StartCommand &start : next) {
            CHECK(start.task.job != "a");
            fleet.end(start, jobs::RunEndKind::Failed);
        }
    }
    CHECK(fleet.scheduler.workers().at("w1").quarantinedUntil > fleet.now);
    CHECK(fleet.advance().empty());
    CHECK(fleet.advance(std::chrono::seconds{4}).size() == 1);
}

TEST_CASE("with attribution, sound jobs and workers do not suffer from jobs that can't be done", "[jobs]")
{
    const Outcome calm = play(attributing(), {});
    const Outcome mixed = play(attributing(), {true, false});
    REQUIRE(calm.soundJobs == calm.soundCompleted);
    CHECK(mixed.soundCompleted == mixed.soundJobs);
    CHECK(mixed.badFailed == mixed.badJobs);
    CHECK(mixed.badJobs > 25);
    CHECK(mixed.quarantined.empty());
    CHECK(mixed.meanMs < 1.02 * calm.meanMs);
}

TEST_CASE("with attribution, no sound job fails because of a worker that fails all it starts", "[jobs]")
{
    // A worker that does nothing useful is compared with one that is missing.
    const Outcome calm = play(attributing(), {false, false, 1});
    const Outcome one = play(attributing(), {false, true});
    CHECK(one.soundCompleted == one.soundJobs);
    CHECK(one.quarantined == std::set<std::string>{"w0"});
    CHECK(one.meanMs < 1.05 * calm.meanMs);
    // In a full pool, quarantine of sound workers costs most: without attribution the mean is more than twice as long.
    const Outcome full = play(attributing(), {true, true, 0, 50});
    const Outcome unattributed = play({}, {true, true, 0, 50});
    CHECK(unattributed.quarantined.size() > 1);
    CHECK(full.quarantined == std::set<std::string>{"w0"});
    CHECK(full.soundCompleted == full.soundJobs);
    CHECK(full.badFailed == full.badJobs);
    CHECK(2.0 * full.meanMs < unattributed.meanMs);
    const Outcome both = play(attributing(), {true, true});
    CHECK(both.soundCompleted == both.soundJobs);
    CHECK(both.badFailed == both.badJobs);
    CHECK(both.quarantined == std::set<std::string>{"w0"});
    CHECK(both.startsOnBadWorker < 20);
    CHECK(both.meanMs < 1.05 * calm.meanMs);
}

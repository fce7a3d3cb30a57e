#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

#include <absl/strings/str_cat.h>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

constexpr std::int64_t workerCpu = 4000;
constexpr jobs::SchedulerLimits yielding{.yieldLateWork = true};

/** Step of one task with the cpu of `cores` that saves its progress and takes 10 s. */
jobs::Step makeLongStep(std::int64_t cores, std::int64_t count = 1)
{
    jobs::Step step = JobFleet::makeStep(count);
    step.each.cpu = cores * 1000;
    step.estimateMs = 10'000;
    step.savesProgress = true;
    return step;
}

/** Fleet whose scheduler lets late work yield. */
struct YieldFixture {
    explicit YieldFixture(int workers, const jobs::SchedulerLimits &limits = yielding)
        : fleet{limits}
    {
        config.queues["queue"] = {"pool", 1, 2, 1.0, 600, false};
        config.queues["first"] = {"pool", 0, 2, 1.0, 600, false};
        config.pools["pool"] = {};
        fleet.scheduler.configure(config);
        for (int index = 0; index < workers; ++index) {
            fleet.addWorker(absl::StrCat("w", index), workerCpu);
        }
    }

    /** Submits a job of one step whose objective ends `slackMs` after the time at which it has to start. */
    void add(const std::string &id, const jobs::Step &step, std::int64_t slackMs, const std::string &queue = "queue", const std::string &team = "")
    {
        jobs::Job job = JobFleet::makeJob(id, {step});
        job.submittedMs = fleet.wallMs() + slackMs - 600;
        job.queue = queue;
        job.team = team;
        fleet.scheduler.addJob(job, std::nullopt, false, fleet.now);
    }

    /** Submits a job that is late, and lets its tasks start. */
    std::vector<jobs::StartCommand> runLate(const std::string &id, const jobs::Step &step, const std::string &queue = "queue")
    {
        add(id, step, -30'000, queue);
        const std::vector<jobs::StartCommand> starts = fleet.advance();
        fleet.accept(starts);
        return starts;
    }

    /** Lets some time pass in steps, in which the workers answer polls; returns the starts, which are accepted. */
    std::vector<jobs::StartCommand> advance(core::Duration span = std::chrono::milliseconds{50})
    {
        std::vector<jobs::StartCommand> all;
        for (const core::TimePoint end = fleet.now + span; fleet.now < end;) {
            const std::vector<jobs::StartCommand> starts = fleet.advance(std::chrono::milliseconds{50});
            fleet.accept(starts);
            all.insert(all.end(), starts.begin(), starts.end());
            for (const jobs::PollCommand &poll : fleet.scheduler.takePolls(fleet.now)) {
                fleet.report(poll.worker, fleet.running[poll.worker], fleet.ends[poll.worker]);
            }
        }
        return all;
    }

    /** Jobs of the stops that were issued since the last call. */
    std::vector<std::string> takeStops()
    {
        std::vector<std::string> stopped;
        for (const jobs::StopCommand &stop : std::exchange(fleet.stops, {})) {
            stopped.push_back(stop.task.job);
        }
        return stopped;
    }

    /** Ends a run by a stop that wrote a checkpoint. */
    void endStopped(const jobs::StartCommand &start, const std::string &checkpoint = "saved")
    {
        std::erase_if(fleet.running[start.worker], [&start](const jobs::ReportedRun &run) {
            return run.task == start.task;
        });
        std::vector<jobs::ReportedEnd> &ends = fleet.ends[start.worker];
        ends.push_back({static_cast<std::int64_t>(ends.size()) + 1, start.task, start.run, jobs::RunEndKind::Stopped, checkpoint});
        fleet.report(start.worker, fleet.running[start.worker], ends);
    }

    jobs::FleetConfig config;
    JobFleet fleet;
};

using Stops = std::vector<std::string>;

} // namespace

TEST_CASE("a late run is stopped for a timely task, which gets its room before late work does", "[late_work]")
{
    // Guards against freed room that other late work takes.
    YieldFixture fixture{1};
    const std::vector<jobs::StartCommand> late = fixture.runLate("late", makeLongStep(4));
    REQUIRE(late.size() == 1);
    fixture.add("other", makeLongStep(1), -20'000, "first");
    fixture.add("timely", makeLongStep(4), 1000);
    CHECK(fixture.advance().empty());
    CHECK(fixture.takeStops() == Stops{"late"});
    const std::vector<jobs::Decision> decisions = fixture.fleet.scheduler.takeDecisions();
    const auto yielded = std::find_if(decisions.begin(), decisions.end(), [](const jobs::Decision &decision) {
        return decision.event == "run_yielded";
    });
    REQUIRE(yielded != decisions.end());
    CHECK(yielded->job == "late.0.0.0");
    CHECK(yielded->worker == "w0");
    CHECK(yielded->detail.find("waiting=timely.0.0.0 waiting_slack_ms=950") != std::string::npos);
    CHECK(fixture.advance(std::chrono::milliseconds{250}).empty());
    fixture.endStopped(late[0]);
    const std::vector<jobs::StartCommand> next = fixture.advance();
    REQUIRE(next.size() == 1);
    CHECK(next[0].task.job == "timely");
}

TEST_CASE("nothing is stopped while the setting is off", "[late_work]")
{
    YieldFixture fixture{1, jobs::SchedulerLimits{}};
    (void)fixture.runLate("late", makeLongStep(4));
    fixture.add("timely", makeLongStep(4), 1000);
    (void)fixture.advance(std::chrono::milliseconds{500});
    CHECK(fixture.takeStops().empty());
}

TEST_CASE("promised room is free for all again if the waiting task does not take it", "[late_work]")
{
    // Guards against room that stays idle because the task for which it was freed has gone, or its stop was lost.
    YieldFixture fixture{1};
    const std::vector<jobs::StartCommand> late = fixture.runLate("late", makeLongStep(4));
    fixture.add("timely", makeLongStep(4), 1000);
    (void)fixture.advance();
    fixture.endStopped(late[0]);
    fixture.fleet.scheduler.cancelJob("timely", fixture.fleet.wallMs(), fixture.fleet.now);
    const std::vector<jobs::StartCommand> again = fixture.advance();
    REQUIRE(again.size() == 1);
    CHECK(again[0].task.job == "late");
}

TEST_CASE("only late runs that can be moved are stopped", "[late_work]")
{
    // Each row changes a run that would be stopped into one that must not be.
    const std::vector<std::function<void(jobs::Step &)>> changes{
        [](jobs::Step &step) {
            step.continuous = true;
        },
        [](jobs::Step &step) {
            step.bestEffort = true;
            step.each.memory = 64'000;
        },
        [](jobs::Step &step) {
            step.targetMs = 100;
        },
        [](jobs::Step &step) {
            step.gang = true;
        },
        [](jobs::Step &step) {
            // It ends as soon as it would be stopped.
            step.estimateMs = 400;
        },
    };
    for (const std::function<void(jobs::Step &)> &change : changes) {
        YieldFixture fixture{1};
        jobs::Step step = makeLongStep(4);
        change(step);
        REQUIRE(fixture.runLate("late", step).size() == 1);
        fixture.add("timely", makeLongStep(4), 1000);
        (void)fixture.advance(std::chrono::milliseconds{300});
        CHECK(fixture.takeStops().empty());
    }
    YieldFixture fixture{1};
    fixture.add("running", makeLongStep(4), 5000);
    REQUIRE(fixture.advance().size() == 1);
    fixture.add("timely", makeLongStep(4), 1000);
    (void)fixture.advance(std::chrono::milliseconds{300});
    CHECK(fixture.takeStops().empty());
}

TEST_CASE("a job that meets its objective if its run goes on is not late", "[late_work]")
{
    // Guards against stops of jobs that have too little time left to start anew, but not to go on.
    YieldFixture fixture{1};
    fixture.add("running", makeLongStep(4), 1000);
    REQUIRE(fixture.advance().size() == 1);
    fixture.fleet.report("w0", {{{"running", 0, 0, 0}, 1, "", 0, 0}}, {});
    fixture.fleet.running["w0"] = {{{"running", 0, 0, 0}, 1, "", 0, 0}};
    (void)fixture.advance(std::chrono::seconds{3});
    fixture.add("timely", makeLongStep(4), 1000);
    (void)fixture.advance(std::chrono::milliseconds{300});
    CHECK(fixture.takeStops().empty());
}

TEST_CASE("only a task that can be in time and gains by the room causes stops", "[late_work]")
{
    const auto stopsFor = [](const std::function<void(YieldFixture &)> &addWaiting) {
        YieldFixture fixture{1};
        fixture.config.teams["limited"].limit = {2000, 0, 0};
        fixture.fleet.scheduler.configure(fixture.config);
        jobs::Step small = makeLongStep(1);
        fixture.add("own", small, 20'000, "queue", "limited");
        REQUIRE(fixture.advance().size() == 1);
        REQUIRE(fixture.runLate("late", makeLongStep(3), "queue").size() == 1);
        addWaiting(fixture);
        (void)fixture.advance();
        return fixture.takeStops().size();
    };
    CHECK(stopsFor([](YieldFixture &fixture) {
              fixture.add("timely", makeLongStep(2), 1000);
          })
          == 1);
    CHECK(stopsFor([](YieldFixture &fixture) {
              fixture.add("late2", makeLongStep(2), -1);
          })
          == 0);
    // The stop would take longer than the task can wait.
    CHECK(stopsFor([](YieldFixture &fixture) {
              fixture.add("nearly_late", makeLongStep(2), 300);
          })
          == 0);
    CHECK(stopsFor([](YieldFixture &fixture) {
              fixture.add("at_limit", makeLongStep(2), 1000, "queue", "limited");
          })
          == 0);
    CHECK(stopsFor([](YieldFixture &fixture) {
              fixture.add("too_large", makeLongStep(4), 1000);
          })
          == 0);
    CHECK(stopsFor([](YieldFixture &fixture) {
              jobs::Step step = makeLongStep(2);
              step.requiredLabel = "ssd";
              fixture.add("elsewhere", step, 1000);
          })
          == 0);
}

TEST_CASE("a run does not yield to a queue that is placed after its own", "[late_work]")
{
    // Guards against a run that is stopped and, being first in the order, started again at once.
    YieldFixture fixture{1};
    REQUIRE(fixture.runLate("late", makeLongStep(4), "first").size() == 1);
    fixture.add("timely", makeLongStep(4), 1000);
    (void)fixture.advance();
    CHECK(fixture.takeStops().empty());
    fixture.add("urgent", makeLongStep(4), 1000, "first");
    (void)fixture.advance();
    CHECK(fixture.takeStops() == Stops{"late"});
}

TEST_CASE("a run without saved progress is stopped only for more work than is thrown away, of a task that cannot wait for its end", "[late_work]")
{
    const auto stopsAfter = [](core::Duration worked, std::int64_t waitingEstimateMs, std::int64_t slackMs) {
        YieldFixture fixture{1};
        jobs::Step step = makeLongStep(4);
        step.savesProgress = false;
        REQUIRE(fixture.runLate("late", step).size() == 1);
        (void)fixture.advance(worked);
        jobs::Step waiting = makeLongStep(4);
        waiting.estimateMs = waitingEstimateMs;
        fixture.add("timely", waiting, slackMs);
        (void)fixture.advance();
        return fixture.takeStops().size();
    };
    CHECK(stopsAfter(std::chrono::seconds{1}, 2000, 1000) == 1);
    CHECK(stopsAfter(std::chrono::seconds{3}, 2000, 1000) == 0);
    // The estimated end of the run is soon enough.
    CHECK(stopsAfter(std::chrono::seconds{1}, 2000, 12'000) == 0);
}

TEST_CASE("as few runs as possible are stopped, of these the cheapest, those with saved progress first", "[late_work]")
{
    YieldFixture fixture{3};
    (void)fixture.runLate("small", makeLongStep(2, 2));
    (void)fixture.runLate("large", makeLongStep(4));
    jobs::Step unsaved = makeLongStep(4);
    unsaved.savesProgress = false;
    (void)fixture.runLate("unsaved", unsaved);
    fixture.add("timely", makeLongStep(4), 1000);
    (void)fixture.advance();
    CHECK(fixture.takeStops() == Stops{"large"});
    // The room that is coming is taken; the next need has to be met by two small runs, since the last run loses its work.
    fixture.add("timely2", makeLongStep(4), 1000);
    (void)fixture.advance();
    CHECK(fixture.takeStops() == Stops{"small", "small"});
}

TEST_CASE("a need causes no further stops while a stop is under way, also if that is lost", "[late_work]")
{
    YieldFixture fixture{2};
    const std::vector<jobs::StartCommand> late = fixture.runLate("late", makeLongStep(4, 2));
    REQUIRE(late.size() == 2);
    fixture.add("timely", makeLongStep(4), 5000);
    (void)fixture.advance(std::chrono::milliseconds{700});
    CHECK(fixture.takeStops() == Stops{"late"});
    // Nobody has acknowledged the stop, so that it is repeated.
    (void)fixture.advance(std::chrono::milliseconds{400});
    const std::vector<jobs::StopCommand> repeated = std::exchange(fixture.fleet.stops, {});
    REQUIRE(repeated.size() == 1);
    fixture.endStopped(repeated[0].task == late[0].task ? late[0] : late[1]);
    const std::vector<jobs::StartCommand> next = fixture.advance();
    REQUIRE(next.size() == 1);
    CHECK(next[0].task.job == "timely");
}

TEST_CASE("the number of stops in flight is bounded", "[late_work]")
{
    YieldFixture fixture{7};
    REQUIRE(fixture.runLate("late", makeLongStep(4, 7)).size() == 7);
    fixture.add("timely", makeLongStep(4, 7), 5000);
    (void)fixture.advance(std::chrono::milliseconds{300});
    CHECK(fixture.takeStops().size() == 4);
}

TEST_CASE("a job that has yielded twice is not stopped again, also by the next owner", "[late_work]")
{
    YieldFixture fixture{1};
    std::vector<jobs::StartCommand> late = fixture.runLate("late", makeLongStep(4));
    for (int yield = 0; yield < 2; ++yield) {
        const std::string timely = absl::StrCat("timely", yield);
        fixture.add(timely, makeLongStep(4), 1000);
        (void)fixture.advance();
        REQUIRE(fixture.takeStops() == Stops{"late"});
        fixture.endStopped(late[0], absl::StrCat("saved", yield));
        const std::vector<jobs::StartCommand> started = fixture.advance(std::chrono::milliseconds{500});
        REQUIRE(started.size() == 1);
        CHECK(started[0].task.job == timely);
        fixture.fleet.end(started[0], jobs::RunEndKind::Done);
        late = fixture.advance(std::chrono::milliseconds{500});
        REQUIRE(late.size() == 1);
        CHECK(late[0].task.job == "late");
        CHECK(late[0].checkpoint == absl::StrCat("saved", yield));
    }
    fixture.add("timely", makeLongStep(4), 5000);
    (void)fixture.advance(std::chrono::seconds{1});
    CHECK(fixture.takeStops().empty());
    // A queue with two attempts would have failed the job if its stops counted.
    const std::map<std::string, jobs::JobRecord> stored = fixture.fleet.save();
    CHECK(stored.at("late").state == jobs::JobState::Running);
    CHECK(stored.at("late").occurrences.at(0)[0][0].failedRuns.empty());
    CHECK(stored.at("late").yields == 2);

    YieldFixture next{1};
    jobs::Job job = JobFleet::makeJob("late", {makeLongStep(4)});
    job.submittedMs = next.fleet.wallMs() - 30'000;
    next.fleet.scheduler.addJob(job, stored.at("late"), true, next.fleet.now);
    next.fleet.running["w0"] = {{{"late", 0, 0, 0}, late[0].run, "", 10, 0}};
    next.fleet.report("w0", next.fleet.running["w0"], {});
    next.add("timely", makeLongStep(4), 5000);
    (void)next.advance(std::chrono::milliseconds{500});
    CHECK(next.takeStops().empty());
    CHECK(next.fleet.scheduler.workers().at("w0").runs.size() == 1);
}

TEST_CASE("a new owner that gets the end of a stopped run resumes the task from its checkpoint", "[late_work]")
{
    // The former owner sent the stop; its successor has a record without checkpoint.
    YieldFixture fixture{1};
    jobs::JobRecord record;
    record.state = jobs::JobState::Running;
    record.nextOccurrence = 1;
    record.occurrences[0] = {{jobs::TaskRecord{false, {}, 1, ""}}};
    fixture.fleet.scheduler.addJob(JobFleet::makeJob("late", {makeLongStep(4)}), record, true, fixture.fleet.now);
    fixture.fleet.report("w0", {}, {{1, {"late", 0, 0, 0}, 1, jobs::RunEndKind::Stopped, "saved"}});
    CHECK(fixture.fleet.save().at("late").occurrences.at(0)[0][0].checkpoint == "saved");
    const std::vector<jobs::StartCommand> again = fixture.advance();
    REQUIRE(again.size() == 1);
    CHECK(again[0].checkpoint == "saved");
    CHECK(again[0].run > 1);
}

TEST_CASE("a run that ends while its stop is on the way counts as it ended", "[late_work]")
{
    YieldFixture fixture{1};
    const std::vector<jobs::StartCommand> late = fixture.runLate("late", makeLongStep(4));
    fixture.add("timely", makeLongStep(4), 1000);
    (void)fixture.advance();
    REQUIRE(fixture.takeStops() == Stops{"late"});
    fixture.fleet.end(late[0], jobs::RunEndKind::Done);
    CHECK(fixture.fleet.save().at("late").state == jobs::JobState::Completed);
    const std::vector<jobs::StartCommand> next = fixture.advance();
    REQUIRE(next.size() == 1);
    CHECK(next[0].task.job == "timely");
}

TEST_CASE("the loss of the worker during a stop lets another worker's late run be stopped", "[late_work]")
{
    YieldFixture fixture{2};
    REQUIRE(fixture.runLate("late", makeLongStep(4, 2)).size() == 2);
    fixture.add("timely", makeLongStep(4), 5000);
    (void)fixture.advance();
    REQUIRE(fixture.fleet.stops.size() == 1);
    const jobs::StopCommand first = fixture.fleet.stops[0];
    fixture.fleet.stops.clear();
    fixture.fleet.scheduler.handlePollFailure(first.worker, false, fixture.fleet.now);
    // The task keeps its promise for 500 ms.
    for (int step = 0; step < 12; ++step) {
        (void)fixture.fleet.advance();
    }
    REQUIRE(fixture.fleet.stops.size() == 1);
    CHECK(fixture.fleet.stops[0].worker != first.worker);
    // Nothing starts for the task of the lost worker while its run may exist.
    CHECK(fixture.fleet.scheduler.workers().at(first.worker).runs.size() == 1);
}

TEST_CASE("an instance drained for a pool that needs it does not wait for late work with saved progress", "[late_work]")
{
    const auto stopsWith = [](bool saves, const jobs::SchedulerLimits &limits) {
        YieldFixture fixture{2, limits};
        fixture.config.queues["needy"] = {"needy", 0, 2, 1.0, 600, false};
        fixture.config.pools["needy"] = {};
        fixture.fleet.scheduler.configure(fixture.config);
        jobs::Step step = makeLongStep(4, 2);
        step.savesProgress = saves;
        REQUIRE(fixture.runLate("late", step).size() == 2);
        jobs::CommandDelay commandDelay{fixture.fleet.now};
        jobs::MaintenanceController controller{commandDelay};
        jobs::PoolBalancer balancer{{}, commandDelay};
        jobs::Job job = JobFleet::makeJob("timely", {makeLongStep(4)});
        job.pool = "needy";
        job.queue = "needy";
        job.submittedMs = fixture.fleet.wallMs() + 20'000;
        fixture.fleet.scheduler.addJob(job, std::nullopt, false, fixture.fleet.now);
        const std::map<std::string, jobs::InstanceEntry> instances{{"m0", {"m0", "pool", "w0", jobs::InstanceState::Up, {workerCpu, 64'000, 0}, ""}},
                                                                   {"m1", {"m1", "pool", "w1", jobs::InstanceState::Up, {workerCpu, 64'000, 0}, ""}}};
        // Instances may be commanded once the delay since the start of the term is over.
        (void)fixture.advance(std::chrono::seconds{4});
        (void)fixture.takeStops();
        for (int index = 0; index < 4; ++index) {
            (void)fixture.advance();
            balancer.handleInstances(instances, fixture.fleet.now);
            balancer.advance(fixture.fleet.scheduler, controller, fixture.fleet.now);
        }
        (void)fixture.advance();
        const std::vector<jobs::Decision> drains = balancer.takeDecisions();
        CHECK(std::any_of(drains.begin(), drains.end(), [](const jobs::Decision &decision) {
            return decision.event == "instance_drained";
        }));
        return fixture.takeStops().size();
    };
    CHECK(stopsWith(true, yielding) >= 1);
    CHECK(stopsWith(false, yielding) == 0);
    CHECK(stopsWith(true, jobs::SchedulerLimits{}) == 0);
}

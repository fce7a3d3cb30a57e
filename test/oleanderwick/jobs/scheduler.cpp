#include <catch2/catch.hpp>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

TEST_CASE("a job's steps run one after the other, and then it is completed", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(2), JobFleet::makeStep(1, {0})}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 2);
    fleet.accept(first);
    fleet.end(first[0], jobs::EndKind::Done);
    CHECK(fleet.advance().empty());
    fleet.end(first[1], jobs::EndKind::Done);
    const std::vector<jobs::StartOrder> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].task.step == 1);
    fleet.accept(second);
    fleet.end(second[0], jobs::EndKind::Done);
    CHECK(fleet.save().at("a").state == jobs::JobState::Completed);
}

TEST_CASE("a second end of a step's last task does not complete the job", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1), JobFleet::makeStep(1, {0})}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.end(first[0], jobs::EndKind::Done);
    jobs::StartOrder again = first[0];
    again.run = 2;
    fleet.end(again, jobs::EndKind::Done);
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Running);
}

TEST_CASE("a job whose last end was stored without its own end is completed by the next owner", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    jobs::JobRecord record;
    record.state = jobs::JobState::Running;
    record.nextOccurrence = 1;
    record.occurrences[0] = {{jobs::TaskRecord{true, {}, 1, ""}}};
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), record, true, fleet.now);
    CHECK(fleet.advance().empty());
    CHECK(fleet.save().at("a").state == jobs::JobState::Completed);
}

TEST_CASE("runs that a new owner finds on a worker are adopted and not started again", "[jobs]")
{
    JobFleet fleet;
    jobs::JobRecord record;
    record.state = jobs::JobState::Running;
    record.nextOccurrence = 1;
    record.occurrences[0] = {{jobs::TaskRecord{}}};
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), record, true, fleet.now);
    fleet.addWorker("w1");
    fleet.report("w1", {{{"a", 0, 0, 0}, 3, "", 40, 0}}, {});
    CHECK(fleet.advance().empty());
    CHECK(fleet.advance(std::chrono::seconds{1}).empty());
    CHECK(fleet.scheduler.workers().at("w1").runs.size() == 1);
}

TEST_CASE("what a former owner may have started waits until its workers have shown their lists", "[jobs]")
{
    JobFleet fleet;
    fleet.scheduler.expectWorker("lost", "pool");
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("old", {JobFleet::makeStep(1)}), std::nullopt, true, fleet.now);
    fleet.scheduler.addJob(JobFleet::makeJob("new", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    CHECK(first[0].task.job == "new");
    fleet.accept(first);
    fleet.end(first[0], jobs::EndKind::Done);
    // The longest lease, on a clock that is 2% slow.
    CHECK(fleet.advance(std::chrono::milliseconds{5900}).empty());
    const std::vector<jobs::StartOrder> later = fleet.advance(std::chrono::milliseconds{500});
    REQUIRE(later.size() == 1);
    CHECK(later[0].task.job == "old");
}

TEST_CASE("a task on a worker that fell silent starts elsewhere only after its lease", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.addWorker("w2");
    fleet.scheduler.takeHoldFailure("w1", false, fleet.now);
    CHECK(fleet.advance(std::chrono::milliseconds{5900}).empty());
    const std::vector<jobs::StartOrder> second = fleet.advance(std::chrono::milliseconds{500});
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "w2");
    CHECK(second[0].run > first[0].run);
}

TEST_CASE("a silent worker that no instance runs has ended, and its tasks start elsewhere at once", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.addWorker("w2");
    fleet.now += std::chrono::milliseconds{10};
    fleet.scheduler.takeHoldFailure("w1", false, fleet.now);
    fleet.scheduler.takeRunningWorkers({"w1", "w2"}, fleet.now, fleet.now);
    CHECK(fleet.advance().empty());
    fleet.scheduler.takeRunningWorkers({"w2"}, fleet.now, fleet.now);
    const std::vector<jobs::StartOrder> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "w2");
}

TEST_CASE("a worker that answers is not taken as ended by a list of instances that leaves it out", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    fleet.scheduler.takeRunningWorkers({}, fleet.now, fleet.now);
    CHECK(fleet.advance().empty());
    CHECK(fleet.scheduler.workers().at("w1").runs.size() == 1);
}

TEST_CASE("a run that was ordered after the list of instances was asked for is kept", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    const core::TimePoint askedAt = fleet.now + std::chrono::milliseconds{1};
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.scheduler.takeStartAnswer(first[0], jobs::StartAnswer::Unknown, 0, fleet.now);
    fleet.scheduler.takeHoldFailure("w1", false, fleet.now);
    fleet.scheduler.takeRunningWorkers({}, askedAt, fleet.now);
    CHECK(fleet.scheduler.workers().at("w1").runs.size() == 1);
}

TEST_CASE("a former owner's jobs do not wait for workers that no instance runs any more", "[jobs]")
{
    JobFleet fleet;
    fleet.scheduler.expectWorker("moved", "pool");
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("old", {JobFleet::makeStep(1)}), std::nullopt, true, fleet.now);
    CHECK(fleet.advance().empty());
    fleet.scheduler.takeRunningWorkers({"w1"}, fleet.now, fleet.now);
    CHECK(fleet.advance().size() == 1);
}

TEST_CASE("a failure that a worker lists again to the next owner counts once", "[jobs]")
{
    JobFleet fleet;
    jobs::JobRecord record;
    record.state = jobs::JobState::Running;
    record.nextOccurrence = 1;
    record.occurrences[0] = {{jobs::TaskRecord{false, {1}, 1, ""}}};
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), record, true, fleet.now);
    fleet.addWorker("w1");
    fleet.report("w1", {}, {{1, {"a", 0, 0, 0}, 1, jobs::EndKind::Failed, ""}});
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Running);
    fleet.report("w1", {}, {{2, {"a", 0, 0, 0}, 2, jobs::EndKind::Failed, ""}});
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Failed);
}

TEST_CASE("a job whose queue was removed keeps the attempts that it was accepted with", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    jobs::Job job = JobFleet::makeJob("a", {JobFleet::makeStep(1)});
    job.queue = "removed";
    job.maxAttempts = 2;
    fleet.scheduler.addJob(job, std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.end(first[0], jobs::EndKind::Failed);
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Running);
}

TEST_CASE("members of a gang that fail in the same run are one failure", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    jobs::Step step = JobFleet::makeStep(2);
    step.gang = true;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 2);
    fleet.accept(first);
    fleet.end(first[0], jobs::EndKind::Failed);
    fleet.end(first[1], jobs::EndKind::Failed);
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Running);
}

TEST_CASE("a run that may still reach the new life of a worker starts elsewhere only after a stop", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.scheduler.takeStartAnswer(first[0], jobs::StartAnswer::Unknown, 0, fleet.now);
    fleet.addWorker("w2");
    jobs::WorkerEntry reborn = fleet.scheduler.workers().at("w1").entry;
    reborn.incarnation = 2;
    fleet.scheduler.listWorker(reborn, fleet.now);
    CHECK(fleet.advance().empty());
    fleet.report("w1", {}, {}, 2);
    CHECK(fleet.advance().empty());
    REQUIRE(fleet.stops.size() == 1);
    fleet.scheduler.takeStopAnswer(fleet.stops[0], true, fleet.now);
    fleet.now += std::chrono::milliseconds{10};
    fleet.report("w1", {}, {}, 2);
    CHECK(fleet.advance().size() == 1);
}

TEST_CASE("a run that the new life of a worker lists goes on there", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.report("w1", {{{"a", 0, 0, 0}, 1, "", 5, 0}}, {}, 2);
    CHECK(fleet.advance(std::chrono::seconds{1}).empty());
    CHECK(fleet.scheduler.workers().at("w1").runs.size() == 1);
}

TEST_CASE("a worker that failed several tasks is probed with one, also while a continuous task is on it", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    jobs::Step continuous = JobFleet::makeStep(1);
    continuous.continuous = true;
    fleet.scheduler.addJob(JobFleet::makeJob("c", {continuous}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    for (const char *id : {"a", "b", "d"}) {
        fleet.scheduler.addJob(JobFleet::makeJob(id, {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    }
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 3);
    fleet.accept(first);
    for (const jobs::StartOrder &start : first) {
        fleet.end(start, jobs::EndKind::Failed);
    }
    CHECK(fleet.advance().empty());
    const std::vector<jobs::StartOrder> probe = fleet.advance(std::chrono::seconds{4});
    REQUIRE(probe.size() == 1);
    fleet.accept(probe);
    CHECK(fleet.advance(std::chrono::milliseconds{200}).empty());
    fleet.end(probe[0], jobs::EndKind::Done);
    CHECK(fleet.advance().size() == 2);
}

TEST_CASE("a silent worker's lease is not lengthened", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    (void)fleet.scheduler.takeHolds(fleet.now);
    fleet.scheduler.takeHoldFailure("w1", false, fleet.now);
    (void)fleet.advance(std::chrono::seconds{1});
    const std::vector<jobs::HoldOrder> holds = fleet.scheduler.takeHolds(fleet.now);
    REQUIRE(holds.size() == 1);
    CHECK(holds[0].deadlineMs == 0);
}

TEST_CASE("a start without an answer is stopped before the task starts elsewhere", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.scheduler.takeStartAnswer(first[0], jobs::StartAnswer::Unknown, 0, fleet.now);
    CHECK(fleet.advance().empty());
    fleet.report("w1", {}, {});
    (void)fleet.advance();
    REQUIRE(fleet.stops.size() == 1);
    CHECK(fleet.advance().empty());
    fleet.scheduler.takeStopAnswer(fleet.stops[0], true, fleet.now);
    fleet.now += std::chrono::milliseconds{10};
    fleet.report("w1", {}, {});
    const std::vector<jobs::StartOrder> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].run == 2);
}

TEST_CASE("ends are acknowledged only once they are stored", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.end(first[0], jobs::EndKind::Done);
    CHECK(fleet.scheduler.workers().at("w1").ackedEnd == 0);
    (void)fleet.save();
    CHECK(fleet.scheduler.workers().at("w1").ackedEnd == 1);
}

TEST_CASE("a task that fails as often as its queue allows fails the job", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.end(first[0], jobs::EndKind::Failed);
    const std::vector<jobs::StartOrder> second = fleet.advance(std::chrono::milliseconds{100});
    REQUIRE(second.size() == 1);
    fleet.accept(second);
    fleet.end(second[0], jobs::EndKind::Failed);
    CHECK(fleet.save().at("a").state == jobs::JobState::Failed);
}

TEST_CASE("a cancelled job's runs are stopped and none is started", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1", 1000);
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(2)}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    fleet.scheduler.cancelJob("a", fleet.wallMs(), fleet.now);
    CHECK(fleet.advance().empty());
    CHECK(fleet.stops.size() == 1);
    CHECK(fleet.save().at("a").state == jobs::JobState::Cancelled);
}

TEST_CASE("a worker's new life ends what its former one ran", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    // The look has to be newer than the answer to the start.
    fleet.now += std::chrono::milliseconds{10};
    fleet.report("w1", {}, {}, 2);
    const std::vector<jobs::StartOrder> again = fleet.advance();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run == 2);
}

TEST_CASE("a team never has more running than its limit", "[jobs]")
{
    JobFleet fleet;
    jobs::FleetConfig config;
    config.queues["queue"].pool = "pool";
    config.teams["team"].limit = {2000, 0, 0};
    fleet.scheduler.configure(config);
    fleet.addWorker("w1");
    jobs::Job job = JobFleet::makeJob("a", {JobFleet::makeStep(5)});
    job.team = "team";
    fleet.scheduler.addJob(job, std::nullopt, false, fleet.now);
    CHECK(fleet.advance().size() == 2);
}

TEST_CASE("tasks of a step keep to the most of them on one worker", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    jobs::Step step = JobFleet::makeStep(5);
    step.maxPerWorker = 1;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    CHECK(fleet.advance().size() == 2);
}

TEST_CASE("a gang starts whole or not at all", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1", 2000);
    jobs::Step step = JobFleet::makeStep(3);
    step.gang = true;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    CHECK(fleet.advance().empty());
    fleet.addWorker("w2", 2000);
    const std::vector<jobs::StartOrder> starts = fleet.advance();
    REQUIRE(starts.size() == 3);
    CHECK(starts[0].run == starts[2].run);
}

TEST_CASE("an evacuation keeps to the step's budget, and counts tasks on silent workers as away", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    jobs::Step step = JobFleet::makeStep(2);
    step.continuous = true;
    step.maxPerWorker = 1;
    step.maxUnavailable = 1;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    for (const char *worker : {"w1", "w2"}) {
        fleet.running[worker][0].percent = 100;
        fleet.report(worker, fleet.running[worker], {});
    }
    fleet.scheduler.takeHoldFailure("w2", false, fleet.now);
    fleet.scheduler.evacuate("w1", fleet.now);
    (void)fleet.advance();
    CHECK(fleet.stops.empty());
    fleet.report("w2", fleet.running["w2"], {});
    fleet.scheduler.evacuate("w1", fleet.now);
    (void)fleet.advance();
    CHECK(fleet.stops.size() == 1);
}

TEST_CASE("a speculative task on a worker that fell silent starts elsewhere at once", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    jobs::Step step = JobFleet::makeStep(1);
    step.speculative = true;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    fleet.addWorker("w2");
    fleet.scheduler.takeHoldFailure("w1", false, fleet.now);
    const std::vector<jobs::StartOrder> copy = fleet.advance();
    REQUIRE(copy.size() == 1);
    CHECK(copy[0].worker == "w2");
}

TEST_CASE("in an overload the newest jobs are served in time before older ones, and late ones last", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1", 2000);
    for (int index = 0; index < 20; ++index) {
        jobs::Job job = JobFleet::makeJob("job" + std::to_string(index), {JobFleet::makeStep(1)});
        job.submittedMs = fleet.wallMs() - 20 * index;
        fleet.scheduler.addJob(job, std::nullopt, false, fleet.now);
    }
    jobs::Job late = JobFleet::makeJob("late", {JobFleet::makeStep(1)});
    late.submittedMs = fleet.wallMs() - 60'000;
    fleet.scheduler.addJob(late, std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> starts = fleet.advance();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].task.job == "job0");
    CHECK(starts[1].task.job == "job1");
}

TEST_CASE("a job that was cancelled before it was taken in never starts", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.cancelJob("a", fleet.wallMs(), fleet.now);
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    CHECK(fleet.advance().empty());
    CHECK(fleet.save().at("a").state == jobs::JobState::Cancelled);
}

TEST_CASE("a run whose progress stands still is stopped and its task starts anew", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    for (int second = 0; second < 4; ++second) {
        (void)fleet.scheduler.takeHolds(fleet.now);
        fleet.report("w1", fleet.running["w1"], {});
        (void)fleet.advance(std::chrono::seconds{1});
    }
    CHECK(fleet.stops.empty());
    for (int second = 0; second < 2; ++second) {
        (void)fleet.scheduler.takeHolds(fleet.now);
        fleet.report("w1", fleet.running["w1"], {});
        (void)fleet.advance(std::chrono::seconds{1});
    }
    REQUIRE_FALSE(fleet.stops.empty());
    fleet.end(first[0], jobs::EndKind::Stopped);
    const std::vector<jobs::StartOrder> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].run == 2);
}

#include <catch2/catch.hpp>

#include <set>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

TEST_CASE("dependent steps run one after the other and then complete the job", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(2), JobFleet::makeStep(1, {0})}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 2);
    fleet.accept(first);
    fleet.end(first[0], jobs::RunEndKind::Done);
    CHECK(fleet.advance().empty());
    fleet.end(first[1], jobs::RunEndKind::Done);
    const std::vector<jobs::StartCommand> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].task.step == 1);
    fleet.accept(second);
    fleet.end(second[0], jobs::RunEndKind::Done);
    CHECK(fleet.save().at("a").state == jobs::JobState::Completed);
}

TEST_CASE("a duplicate run end of a step's last task does not complete the job", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1), JobFleet::makeStep(1, {0})}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.end(first[0], jobs::RunEndKind::Done);
    jobs::StartCommand again = first[0];
    again.run = 2;
    fleet.end(again, jobs::RunEndKind::Done);
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Running);
}

TEST_CASE("a new owner completes a job whose tasks were all stored as done while the job was running", "[jobs]")
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

TEST_CASE("a new owner adopts reported runs and does not start them again", "[jobs]")
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

TEST_CASE("a previous owner's job waits until all workers have reported or their leases have expired", "[jobs]")
{
    JobFleet fleet;
    fleet.scheduler.restoreWorker("lost", "pool");
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("old", {JobFleet::makeStep(1)}), std::nullopt, true, fleet.now);
    fleet.scheduler.addJob(JobFleet::makeJob("new", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    CHECK(first[0].task.job == "new");
    fleet.accept(first);
    fleet.end(first[0], jobs::RunEndKind::Done);
    // The longest lease of 6 s lasts about 6.1 s if the worker's clock is 2% slow.
    CHECK(fleet.advance(std::chrono::milliseconds{5900}).empty());
    const std::vector<jobs::StartCommand> later = fleet.advance(std::chrono::milliseconds{500});
    REQUIRE(later.size() == 1);
    CHECK(later[0].task.job == "old");
}

TEST_CASE("a task on an unresponsive worker starts elsewhere only after the lease has expired", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.addWorker("w2");
    fleet.scheduler.handlePollFailure("w1", false, fleet.now);
    CHECK(fleet.advance(std::chrono::milliseconds{5900}).empty());
    const std::vector<jobs::StartCommand> second = fleet.advance(std::chrono::milliseconds{500});
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "w2");
    CHECK(second[0].run > first[0].run);
}

TEST_CASE("tasks of an unresponsive worker that runs on no instance start elsewhere at once", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.addWorker("w2");
    fleet.now += std::chrono::milliseconds{10};
    fleet.scheduler.handlePollFailure("w1", false, fleet.now);
    fleet.scheduler.handleRunningWorkers({"w1", "w2"}, fleet.now, fleet.now);
    CHECK(fleet.advance().empty());
    fleet.scheduler.handleRunningWorkers({"w2"}, fleet.now, fleet.now);
    const std::vector<jobs::StartCommand> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].worker == "w2");
}

TEST_CASE("a responsive worker keeps its runs when it is missing from the list of running workers", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    fleet.scheduler.handleRunningWorkers({}, fleet.now, fleet.now);
    CHECK(fleet.advance().empty());
    CHECK(fleet.scheduler.workers().at("w1").runs.size() == 1);
}

TEST_CASE("a run that was started after the list of running workers was requested is kept", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    const core::TimePoint requestedAt = fleet.now + std::chrono::milliseconds{1};
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.scheduler.handleStartReply(first[0], jobs::StartOutcome::Unknown, 0, fleet.now);
    fleet.scheduler.handlePollFailure("w1", false, fleet.now);
    fleet.scheduler.handleRunningWorkers({}, requestedAt, fleet.now);
    CHECK(fleet.scheduler.workers().at("w1").runs.size() == 1);
}

TEST_CASE("a previous owner's jobs do not wait for workers that run on no instance", "[jobs]")
{
    JobFleet fleet;
    fleet.scheduler.restoreWorker("moved", "pool");
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("old", {JobFleet::makeStep(1)}), std::nullopt, true, fleet.now);
    CHECK(fleet.advance().empty());
    fleet.scheduler.handleRunningWorkers({"w1"}, fleet.now, fleet.now);
    CHECK(fleet.advance().size() == 1);
}

TEST_CASE("a failure that a worker reports again to the next owner counts once", "[jobs]")
{
    JobFleet fleet;
    jobs::JobRecord record;
    record.state = jobs::JobState::Running;
    record.nextOccurrence = 1;
    record.occurrences[0] = {{jobs::TaskRecord{false, {1}, 1, ""}}};
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), record, true, fleet.now);
    fleet.addWorker("w1");
    fleet.report("w1", {}, {{1, {"a", 0, 0, 0}, 1, jobs::RunEndKind::Failed, ""}});
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Running);
    fleet.report("w1", {}, {{2, {"a", 0, 0, 0}, 2, jobs::RunEndKind::Failed, ""}});
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Failed);
}

TEST_CASE("a job whose queue was removed keeps the attempt limit from its acceptance", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    jobs::Job job = JobFleet::makeJob("a", {JobFleet::makeStep(1)});
    job.queue = "removed";
    job.maxAttempts = 2;
    fleet.scheduler.addJob(job, std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.end(first[0], jobs::RunEndKind::Failed);
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Running);
}

TEST_CASE("failures of several gang members in the same run count as one", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    jobs::Step step = JobFleet::makeStep(2);
    step.gang = true;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 2);
    fleet.accept(first);
    fleet.end(first[0], jobs::RunEndKind::Failed);
    fleet.end(first[1], jobs::RunEndKind::Failed);
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Running);
}

TEST_CASE("a start that may still reach a restarted worker is stopped before the task starts again", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.scheduler.handleStartReply(first[0], jobs::StartOutcome::Unknown, 0, fleet.now);
    fleet.addWorker("w2");
    jobs::WorkerEntry restarted = fleet.scheduler.workers().at("w1").entry;
    restarted.incarnation = 2;
    fleet.scheduler.registerWorker(restarted, fleet.now);
    CHECK(fleet.advance().empty());
    fleet.report("w1", {}, {}, 2);
    CHECK(fleet.advance().empty());
    REQUIRE(fleet.stops.size() == 1);
    fleet.scheduler.handleStopReply(fleet.stops[0], true, fleet.now);
    fleet.now += std::chrono::milliseconds{10};
    fleet.report("w1", {}, {}, 2);
    CHECK(fleet.advance().size() == 1);
}

TEST_CASE("a run that a restarted worker reports continues there", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.report("w1", {{{"a", 0, 0, 0}, 1, "", 5, 0}}, {}, 2);
    CHECK(fleet.advance(std::chrono::seconds{1}).empty());
    CHECK(fleet.scheduler.workers().at("w1").runs.size() == 1);
}

TEST_CASE("a worker with several consecutive failures is probed with one task, even while a continuous task is on it", "[jobs]")
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
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 3);
    fleet.accept(first);
    for (const jobs::StartCommand &start : first) {
        fleet.end(start, jobs::RunEndKind::Failed);
    }
    CHECK(fleet.advance().empty());
    const std::vector<jobs::StartCommand> probe = fleet.advance(std::chrono::seconds{4});
    REQUIRE(probe.size() == 1);
    fleet.accept(probe);
    CHECK(fleet.advance(std::chrono::milliseconds{200}).empty());
    fleet.end(probe[0], jobs::RunEndKind::Done);
    CHECK(fleet.advance().size() == 2);
}

TEST_CASE("the lease of an unresponsive worker is not extended", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    (void)fleet.scheduler.takePolls(fleet.now);
    fleet.scheduler.handlePollFailure("w1", false, fleet.now);
    (void)fleet.advance(std::chrono::seconds{1});
    const std::vector<jobs::PollCommand> polls = fleet.scheduler.takePolls(fleet.now);
    REQUIRE(polls.size() == 1);
    CHECK(polls[0].deadlineMs == 0);
}

TEST_CASE("a start without a reply is stopped before the task is started again", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.scheduler.handleStartReply(first[0], jobs::StartOutcome::Unknown, 0, fleet.now);
    CHECK(fleet.advance().empty());
    fleet.report("w1", {}, {});
    (void)fleet.advance();
    REQUIRE(fleet.stops.size() == 1);
    CHECK(fleet.advance().empty());
    fleet.scheduler.handleStopReply(fleet.stops[0], true, fleet.now);
    fleet.now += std::chrono::milliseconds{10};
    fleet.report("w1", {}, {});
    const std::vector<jobs::StartCommand> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].run == 2);
}

TEST_CASE("run ends are acknowledged only once they are stored", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.end(first[0], jobs::RunEndKind::Done);
    CHECK(fleet.scheduler.workers().at("w1").storedEnd == 0);
    (void)fleet.save();
    CHECK(fleet.scheduler.workers().at("w1").storedEnd == 1);
}

TEST_CASE("a job fails when a task reaches the attempt limit of the queue", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    fleet.end(first[0], jobs::RunEndKind::Failed);
    const std::vector<jobs::StartCommand> second = fleet.advance(std::chrono::milliseconds{100});
    REQUIRE(second.size() == 1);
    fleet.accept(second);
    fleet.end(second[0], jobs::RunEndKind::Failed);
    CHECK(fleet.save().at("a").state == jobs::JobState::Failed);
}

TEST_CASE("a cancelled job's active runs are stopped and its waiting tasks are not started", "[jobs]")
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

TEST_CASE("a restart of a worker ends the runs of its previous incarnation", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    // The poll has to be newer than the reply to the start.
    fleet.now += std::chrono::milliseconds{10};
    fleet.report("w1", {}, {}, 2);
    const std::vector<jobs::StartCommand> again = fleet.advance();
    REQUIRE(again.size() == 1);
    CHECK(again[0].run == 2);
}

TEST_CASE("a team's running tasks stay within its resource limit", "[jobs]")
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

TEST_CASE("the tasks of a step stay within its limit per worker", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    jobs::Step step = JobFleet::makeStep(5);
    step.maxPerWorker = 1;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    CHECK(fleet.advance().size() == 2);
}

TEST_CASE("a gang starts as a whole or not at all", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1", 2000);
    jobs::Step step = JobFleet::makeStep(3);
    step.gang = true;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    CHECK(fleet.advance().empty());
    fleet.addWorker("w2", 2000);
    const std::vector<jobs::StartCommand> starts = fleet.advance();
    REQUIRE(starts.size() == 3);
    CHECK(starts[0].run == starts[2].run);
}

TEST_CASE("evacuation keeps the availability budget and counts tasks on unresponsive workers as unavailable", "[jobs]")
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
    fleet.scheduler.handlePollFailure("w2", false, fleet.now);
    fleet.scheduler.evacuate("w1", fleet.now);
    (void)fleet.advance();
    CHECK(fleet.stops.empty());
    fleet.report("w2", fleet.running["w2"], {});
    fleet.scheduler.evacuate("w1", fleet.now);
    (void)fleet.advance();
    CHECK(fleet.stops.size() == 1);
}

TEST_CASE("a speculative task on an unresponsive worker starts elsewhere at once", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    jobs::Step step = JobFleet::makeStep(1);
    step.speculative = true;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    fleet.addWorker("w2");
    fleet.scheduler.handlePollFailure("w1", false, fleet.now);
    const std::vector<jobs::StartCommand> copy = fleet.advance();
    REQUIRE(copy.size() == 1);
    CHECK(copy[0].worker == "w2");
}

TEST_CASE("in an overload the newest jobs start first, and jobs that miss their objective start last", "[jobs]")
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
    const std::vector<jobs::StartCommand> starts = fleet.advance();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].task.job == "job0");
    CHECK(starts[1].task.job == "job1");
}

TEST_CASE("a job that was cancelled before it was added never starts", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.cancelJob("a", fleet.wallMs(), fleet.now);
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    CHECK(fleet.advance().empty());
    CHECK(fleet.save().at("a").state == jobs::JobState::Cancelled);
}

TEST_CASE("a run without progress is stopped and its task is started again", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 1);
    fleet.accept(first);
    for (int second = 0; second < 4; ++second) {
        (void)fleet.scheduler.takePolls(fleet.now);
        fleet.report("w1", fleet.running["w1"], {});
        (void)fleet.advance(std::chrono::seconds{1});
    }
    CHECK(fleet.stops.empty());
    for (int second = 0; second < 2; ++second) {
        (void)fleet.scheduler.takePolls(fleet.now);
        fleet.report("w1", fleet.running["w1"], {});
        (void)fleet.advance(std::chrono::seconds{1});
    }
    REQUIRE_FALSE(fleet.stops.empty());
    fleet.end(first[0], jobs::RunEndKind::Stopped);
    const std::vector<jobs::StartCommand> second = fleet.advance();
    REQUIRE(second.size() == 1);
    CHECK(second[0].run == 2);
}

TEST_CASE("a job is queued until a worker has confirmed the start of a task", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> refused = fleet.advance();
    REQUIRE(refused.size() == 1);
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Queued);
    fleet.scheduler.handleStartReply(refused[0], jobs::StartOutcome::NoRoom, fleet.clockMs(), fleet.now);
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Queued);
    CHECK(fleet.save().empty());
    const std::vector<jobs::StartCommand> starts = fleet.advance(std::chrono::seconds{2});
    REQUIRE(starts.size() == 1);
    fleet.accept(starts);
    CHECK(fleet.scheduler.findJob("a")->state == jobs::JobState::Running);
    const std::vector<jobs::SaveRequest> saves = fleet.scheduler.takeSaves(31);
    REQUIRE(saves.size() == 1);
    CHECK(saves[0].leavesQueue);
    fleet.scheduler.handleSaved("a", saves[0].version, true);
    fleet.end(starts[0], jobs::RunEndKind::Done);
    const std::vector<jobs::SaveRequest> ended = fleet.scheduler.takeSaves(31);
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].record.state == jobs::JobState::Completed);
    CHECK_FALSE(ended[0].leavesQueue);
}

TEST_CASE("a job that is cancelled while it is queued leaves the queue, also after a save that failed", "[jobs]")
{
    JobFleet fleet;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    fleet.scheduler.cancelJob("a", fleet.wallMs(), fleet.now);
    const std::vector<jobs::SaveRequest> failed = fleet.scheduler.takeSaves(31);
    REQUIRE(failed.size() == 1);
    CHECK(failed[0].leavesQueue);
    fleet.scheduler.handleSaved("a", failed[0].version, false);
    const std::vector<jobs::SaveRequest> repeated = fleet.scheduler.takeSaves(31);
    REQUIRE(repeated.size() == 1);
    CHECK(repeated[0].leavesQueue);
}

TEST_CASE("the states that are taken to be saved fit into one change of the store", "[jobs]")
{
    JobFleet fleet;
    for (int job = 0; job < 12; ++job) {
        fleet.scheduler.addJob(JobFleet::makeJob("job" + std::to_string(job), {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
        fleet.scheduler.cancelJob("job" + std::to_string(job), fleet.wallMs(), fleet.now);
    }
    CHECK(fleet.scheduler.takeSaves(31).size() == 10);
    CHECK(fleet.scheduler.takeSaves(31).size() == 2);
}

TEST_CASE("a job that changes again and again does not delay the save of another one", "[jobs]")
{
    JobFleet fleet;
    fleet.addWorker("w1", 64'000);
    for (int job = 0; job < 30; ++job) {
        fleet.scheduler.addJob(JobFleet::makeJob("job" + std::to_string(100 + job), {JobFleet::makeStep(2)}), std::nullopt, false, fleet.now);
    }
    const std::vector<jobs::StartCommand> starts = fleet.advance();
    REQUIRE(starts.size() == 60);
    fleet.accept(starts);
    std::set<std::string> saved;
    // Each round, the jobs that were just saved change again.
    for (int round = 0; round < 3; ++round) {
        const std::vector<jobs::SaveRequest> saves = fleet.scheduler.takeSaves(31);
        for (const jobs::SaveRequest &request : saves) {
            saved.insert(request.job);
        }
        fleet.scheduler.handleSaved(saves, true);
        for (const jobs::StartCommand &start : starts) {
            if (start.run == 1 && start.task.index == 0 && saved.contains(start.task.job)) {
                fleet.end(start, jobs::RunEndKind::Failed);
            }
        }
    }
    CHECK(saved.size() == 30);
}

// Guards against jobs that fit on no worker, or fail each time, and keep jobs from running that can be done.
TEST_CASE("many jobs that can't be done don't keep the others waiting", "[jobs]")
{
    constexpr int hopeless = 400;
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    for (int index = 0; index < hopeless; ++index) {
        jobs::Step tooLarge = JobFleet::makeStep(3);
        tooLarge.each.cpu = 17'000;
        fleet.scheduler.addJob(JobFleet::makeJob("large" + std::to_string(index), {tooLarge}), std::nullopt, false, fleet.now);
    }
    CHECK(fleet.advance().empty());
    for (int round = 0; round < 5; ++round) {
        const std::string id = "done" + std::to_string(round);
        fleet.scheduler.addJob(JobFleet::makeJob(id, {JobFleet::makeStep(4)}), std::nullopt, false, fleet.now);
        const std::vector<jobs::StartCommand> starts = fleet.advance();
        REQUIRE(starts.size() == 4);
        fleet.accept(starts);
        for (const jobs::StartCommand &start : starts) {
            CHECK(start.task.job == id);
            fleet.end(start, jobs::RunEndKind::Done);
        }
        CHECK(fleet.save().at(id).state == jobs::JobState::Completed);
    }
}

// Guards against failing jobs that never get their `failed`, since their failures make the workers look bad.
TEST_CASE("many jobs whose tasks fail each time all end as failed", "[jobs]")
{
    constexpr std::size_t failing = 60;
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    for (std::size_t index = 0; index < failing; ++index) {
        fleet.scheduler.addJob(JobFleet::makeJob("bad" + std::to_string(index), {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    }
    std::set<std::string> failed;
    for (int cycle = 0; cycle < 6000 && failed.size() < failing; ++cycle) {
        const std::vector<jobs::StartCommand> starts = fleet.advance();
        fleet.accept(starts);
        for (const jobs::StartCommand &start : starts) {
            fleet.end(start, jobs::RunEndKind::Failed);
        }
        for (const std::string worker : {"w1", "w2"}) {
            fleet.report(worker, fleet.running[worker], fleet.ends[worker]);
        }
        for (const std::pair<const std::string, jobs::JobRecord> &saved : fleet.save()) {
            if (saved.second.state == jobs::JobState::Failed) {
                failed.insert(saved.first);
            }
        }
    }
    INFO("virtual time in s: " << std::chrono::duration<double>(fleet.now - core::TimePoint{std::chrono::seconds{100}}).count());
    CHECK(failed.size() == failing);
}

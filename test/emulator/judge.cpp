#include <catch2/catch.hpp>

#include "emulator/judge.hpp"

using namespace oleanderwick;
using emulator::EmulatedRun;
using emulator::InvariantChecker;

namespace
{

/** @brief One worker, one accepted job of two steps, and a checker that observes them. */
struct InvariantCheckerFixture {
    InvariantCheckerFixture()
    {
        callbacks.onEnded = [](const emulator::WorkerModel &, const EmulatedRun &, jobs::RunEndKind) {
        };
        job.id = "a";
        job.pool = "pool";
        job.team = "team";
        job.spec = "text";
        job.maxAttempts = 2;
        jobs::Step step;
        step.each = {1000, 100, 0};
        job.steps = {step, step};
        job.steps[1].after = {0};
        checker.submitted(job);
        checker.accepted("a", now);
    }

    [[nodiscard]] EmulatedRun makeRun(std::size_t step = 0, std::int64_t run = 1) const
    {
        EmulatedRun made;
        made.task = {"a", 0, step, 0};
        made.run = run;
        made.step = job.steps[step];
        return made;
    }

    void start(const EmulatedRun &run, const std::string &spec = "text", const std::string &checkpoint = "")
    {
        jobs::StartCommand command;
        command.task = run.task;
        command.run = run.run;
        command.spec = spec;
        command.checkpoint = checkpoint;
        checker.started(worker, run, command, now);
    }

    void end(const EmulatedRun &run, jobs::RunEndKind kind, std::int64_t number = 1)
    {
        checker.ended(worker, run, kind);
        checker.acknowledged({number, run.task, run.run, kind, ""});
    }

    /** Returns whether exactly this invariant was violated, once. */
    [[nodiscard]] bool violatesOnly(const std::string &invariant) const
    {
        return checker.violations().size() == 1 && checker.violations()[0].invariant == invariant;
    }

    static jobs::WorkerEntry makeEntry()
    {
        jobs::WorkerEntry entry;
        entry.id = "w1";
        entry.pool = "pool";
        entry.capacity = {16'000, 64'000, 0};
        return entry;
    }

    core::TimePoint now{std::chrono::seconds{100}};
    jobs::Job job;
    emulator::WorkerModel::Callbacks callbacks;
    emulator::WorkerModel worker{makeEntry(), "m1", {}, 1.0, callbacks, now};
    InvariantChecker checker{InvariantChecker::Tolerances{}};
};

} // namespace

TEST_CASE("a job that ran and is reported as completed violates no invariant", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.start(fixture.makeRun(0));
    fixture.end(fixture.makeRun(0), jobs::RunEndKind::Done);
    fixture.start(fixture.makeRun(1));
    fixture.end(fixture.makeRun(1), jobs::RunEndKind::Done, 2);
    fixture.checker.stateReported("a", jobs::JobState::Completed, fixture.now);
    fixture.checker.simulationEnded(fixture.now);
    CHECK(fixture.checker.violations().empty());
}

TEST_CASE("two simultaneous runs of a task are a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.start(fixture.makeRun(0, 1));
    fixture.start(fixture.makeRun(0, 2));
    CHECK(fixture.violatesOnly("task_twice"));
}

TEST_CASE("a start of a task whose completion was acknowledged is a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.start(fixture.makeRun());
    fixture.end(fixture.makeRun(), jobs::RunEndKind::Done);
    fixture.start(fixture.makeRun(0, 2));
    CHECK(fixture.violatesOnly("task_twice"));
}

TEST_CASE("a step that starts before its predecessor is done is a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.start(fixture.makeRun(1));
    CHECK(fixture.violatesOnly("step_too_early"));
}

TEST_CASE("a start with another spec than the submitted one is a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.start(fixture.makeRun(), "another text");
    CHECK(fixture.violatesOnly("start_unasked"));
}

TEST_CASE("a start from the checkpoint of another job is a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.start(fixture.makeRun(), "text", emulator::makeCheckpoint({"b", 0, 0, 0}, 100.0));
    CHECK(fixture.violatesOnly("foreign_checkpoint"));
}

TEST_CASE("a start of a rejected job is a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.checker.rejected("a");
    fixture.start(fixture.makeRun());
    CHECK(fixture.violatesOnly("refused_job_started"));
}

TEST_CASE("a start more than 3 s after a cancellation is a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.checker.cancelled("a", fixture.now);
    fixture.now += std::chrono::milliseconds{3001};
    fixture.start(fixture.makeRun());
    CHECK(fixture.violatesOnly("start_after_cancel"));
}

TEST_CASE("a start after the last allowed failure is a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    for (std::int64_t run = 1; run <= 2; ++run) {
        fixture.start(fixture.makeRun(0, run));
        fixture.end(fixture.makeRun(0, run), jobs::RunEndKind::Failed, run);
    }
    fixture.start(fixture.makeRun(0, 3));
    CHECK(fixture.violatesOnly("attempts_exceeded"));
}

TEST_CASE("a start on a worker of another pool is a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.worker.entry.pool = "other";
    fixture.start(fixture.makeRun());
    CHECK(fixture.violatesOnly("wrong_pool"));
}

TEST_CASE("a start on a draining worker is a violation, unless the store had a fault shortly before", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.checker.draining("w1", fixture.now);
    fixture.now += std::chrono::milliseconds{2001};
    fixture.checker.storeFaultUntil(fixture.now);
    fixture.start(fixture.makeRun());
    CHECK(fixture.checker.violations().empty());
    fixture.end(fixture.makeRun(), jobs::RunEndKind::Stopped);
    fixture.now += std::chrono::seconds{4};
    fixture.start(fixture.makeRun(0, 2));
    CHECK(fixture.violatesOnly("start_on_draining"));
}

TEST_CASE("a team that exceeds its upper limit is a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.checker.setTeamLimits({{"team", {500, 0, 0}}});
    fixture.start(fixture.makeRun());
    CHECK(fixture.checker.violations().empty());
    EmulatedRun second = fixture.makeRun();
    second.task.index = 1;
    fixture.start(second);
    CHECK(fixture.violatesOnly("team_over_limit"));
}

TEST_CASE("a reported final state without a cause is a violation", "[invariant_checker]")
{
    const std::map<jobs::JobState, std::string> invariants{{jobs::JobState::Completed, "completed_early"},
                                                           {jobs::JobState::Failed, "failed_without_cause"},
                                                           {jobs::JobState::Cancelled, "cancelled_without_cause"}};
    for (const std::pair<const jobs::JobState, std::string> &invariant : invariants) {
        InvariantCheckerFixture fixture;
        fixture.checker.stateReported("a", invariant.first, fixture.now);
        CHECK(fixture.violatesOnly(invariant.second));
    }
}

TEST_CASE("an accepted job that is missing or stays unfinished is a violation", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.checker.reportedMissing("a", fixture.now + std::chrono::milliseconds{3001});
    CHECK(fixture.violatesOnly("job_lost"));
    InvariantCheckerFixture unfinished;
    unfinished.checker.simulationEnded(unfinished.now);
    CHECK(unfinished.violatesOnly("job_unfinished"));
}

TEST_CASE("commands of two owners to one instance within 3 s, and too many instances down, are violations", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.checker.commandReceived("m1", 5, fixture.now);
    fixture.checker.commandReceived("m1", 6, fixture.now + std::chrono::milliseconds{2999});
    CHECK(fixture.violatesOnly("owners_cross"));
    InvariantCheckerFixture waves;
    waves.checker.maintenanceStarted("m1", 3, 3, waves.now);
    CHECK(waves.checker.violations().empty());
    waves.checker.maintenanceStarted("m1", 4, 3, waves.now);
    CHECK(waves.violatesOnly("too_many_down"));
}

TEST_CASE("a number of pending jobs below half of the jobs that wait violates an invariant", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    const core::TimePoint accepted = fixture.now;
    fixture.checker.pendingReported("", 0, accepted + std::chrono::seconds{5}, accepted + std::chrono::seconds{5});
    fixture.checker.pendingReported("", 1, accepted + std::chrono::seconds{6}, accepted + std::chrono::seconds{6});
    CHECK(fixture.checker.violations().empty());
    fixture.checker.pendingReported("", 0, accepted + std::chrono::seconds{6}, accepted + std::chrono::seconds{6});
    CHECK(fixture.violatesOnly("pending_understated"));
}

TEST_CASE("a job that has started is not pending", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    const core::TimePoint asked = fixture.now + std::chrono::seconds{6};
    fixture.start(fixture.makeRun());
    fixture.checker.pendingReported("", 0, asked, asked);
    CHECK(fixture.checker.violations().empty());
}

// Guards against a checker that doesn't notice starts in a closed zone, or that reports those within the time that a closure may take.
TEST_CASE("a start in a closed zone is a violation from 5 s after the acknowledgement until it is opened", "[invariant_checker]")
{
    InvariantCheckerFixture fixture;
    fixture.worker.entry.zone = "zone-a";
    fixture.checker.zoneClosed("zone-a", fixture.now);
    fixture.checker.zoneClosed("zone-b", fixture.now);
    fixture.now += std::chrono::seconds{5};
    fixture.start(fixture.makeRun());
    fixture.end(fixture.makeRun(), jobs::RunEndKind::Failed);
    CHECK(fixture.checker.violations().empty());
    fixture.now += std::chrono::milliseconds{1};
    const EmulatedRun late = fixture.makeRun(0, 2);
    fixture.start(late);
    CHECK(fixture.violatesOnly("start_in_closed_zone"));
    fixture.end(late, jobs::RunEndKind::Done, 2);
    fixture.checker.zoneOpened("zone-a");
    fixture.start(fixture.makeRun(1, 3));
    CHECK(fixture.violatesOnly("start_in_closed_zone"));
}

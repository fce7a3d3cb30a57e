#include <catch2/catch.hpp>

#include "emulator/judge.hpp"

using namespace oleanderwick;
using emulator::EmulatedRun;
using emulator::Judge;

namespace
{

/** @brief One worker, one job of two steps, and a judge that watches them. */
struct JudgeFixture {
    JudgeFixture()
    {
        host.onEnded = [](const emulator::WorkerModel &, const EmulatedRun &, jobs::RunEndKind) {
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
        judge.submitted(job);
        judge.accepted("a", now);
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
        jobs::StartCommand order;
        order.task = run.task;
        order.run = run.run;
        order.spec = spec;
        order.checkpoint = checkpoint;
        judge.started(worker, run, order, now);
    }

    void end(const EmulatedRun &run, jobs::RunEndKind kind, std::int64_t number = 1)
    {
        judge.ended(worker, run, kind);
        judge.acknowledged({number, run.task, run.run, kind, ""});
    }

    /** Says whether exactly this promise was broken. */
    [[nodiscard]] bool brokeOnly(const std::string &promise) const
    {
        return judge.violations().size() == 1 && judge.violations()[0].promise == promise;
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
    emulator::WorkerModel::Host host;
    emulator::WorkerModel worker{makeEntry(), "m1", {}, 1.0, host, now};
    Judge judge{Judge::Bounds{}};
};

} // namespace

TEST_CASE("a job that is done and shown so breaks no promise", "[judge]")
{
    JudgeFixture fixture;
    fixture.start(fixture.makeRun(0));
    fixture.end(fixture.makeRun(0), jobs::RunEndKind::Done);
    fixture.start(fixture.makeRun(1));
    fixture.end(fixture.makeRun(1), jobs::RunEndKind::Done, 2);
    fixture.judge.shown("a", jobs::JobState::Completed, fixture.now);
    fixture.judge.endOfDay(fixture.now);
    CHECK(fixture.judge.violations().empty());
}

TEST_CASE("two runs of a task at a time are noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.start(fixture.makeRun(0, 1));
    fixture.start(fixture.makeRun(0, 2));
    CHECK(fixture.brokeOnly("task_twice"));
}

TEST_CASE("a start after an acknowledged end is noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.start(fixture.makeRun());
    fixture.end(fixture.makeRun(), jobs::RunEndKind::Done);
    fixture.start(fixture.makeRun(0, 2));
    CHECK(fixture.brokeOnly("task_twice"));
}

TEST_CASE("a step that starts before the one it follows is noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.start(fixture.makeRun(1));
    CHECK(fixture.brokeOnly("step_too_early"));
}

TEST_CASE("a start of a job that nobody handed in, or with another text, is noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.start(fixture.makeRun(), "another text");
    CHECK(fixture.brokeOnly("start_unasked"));
}

TEST_CASE("a checkpoint of another task is noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.start(fixture.makeRun(), "text", emulator::makeCheckpoint({"b", 0, 0, 0}, 100.0));
    CHECK(fixture.brokeOnly("foreign_checkpoint"));
}

TEST_CASE("a start of a refused job is noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.judge.refusedForGood("a");
    fixture.start(fixture.makeRun());
    CHECK(fixture.brokeOnly("refused_job_started"));
}

TEST_CASE("a start too long after a cancellation is noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.judge.cancelled("a", fixture.now);
    fixture.now += std::chrono::milliseconds{3001};
    fixture.start(fixture.makeRun());
    CHECK(fixture.brokeOnly("start_after_cancel"));
}

TEST_CASE("a start after the allowed failures is noticed", "[judge]")
{
    JudgeFixture fixture;
    for (std::int64_t run = 1; run <= 2; ++run) {
        fixture.start(fixture.makeRun(0, run));
        fixture.end(fixture.makeRun(0, run), jobs::RunEndKind::Failed, run);
    }
    fixture.start(fixture.makeRun(0, 3));
    CHECK(fixture.brokeOnly("attempts_exceeded"));
}

TEST_CASE("a start in another pool is noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.worker.entry.pool = "other";
    fixture.start(fixture.makeRun());
    CHECK(fixture.brokeOnly("wrong_pool"));
}

TEST_CASE("a start on a worker that drains is noticed, unless the store is in trouble", "[judge]")
{
    JudgeFixture fixture;
    fixture.judge.draining("w1", fixture.now);
    fixture.now += std::chrono::milliseconds{2001};
    fixture.judge.storeTroubled(fixture.now);
    fixture.start(fixture.makeRun());
    CHECK(fixture.judge.violations().empty());
    fixture.end(fixture.makeRun(), jobs::RunEndKind::Stopped);
    fixture.now += std::chrono::seconds{4};
    fixture.start(fixture.makeRun(0, 2));
    CHECK(fixture.brokeOnly("start_on_draining"));
}

TEST_CASE("a team above its limit is noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.judge.limitTeams({{"team", {500, 0, 0}}});
    fixture.start(fixture.makeRun());
    CHECK(fixture.judge.violations().empty());
    EmulatedRun second = fixture.makeRun();
    second.task.index = 1;
    fixture.start(second);
    CHECK(fixture.brokeOnly("team_over_limit"));
}

TEST_CASE("states that are not true are noticed", "[judge]")
{
    const std::map<jobs::JobState, std::string> promises{{jobs::JobState::Completed, "completed_early"},
                                                         {jobs::JobState::Failed, "failed_without_cause"},
                                                         {jobs::JobState::Cancelled, "cancelled_without_cause"}};
    for (const std::pair<const jobs::JobState, std::string> &promise : promises) {
        JudgeFixture fixture;
        fixture.judge.shown("a", promise.first, fixture.now);
        CHECK(fixture.brokeOnly(promise.second));
    }
}

TEST_CASE("an accepted job that is not known, or never ends, is noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.judge.shownMissing("a", fixture.now + std::chrono::milliseconds{3001});
    CHECK(fixture.brokeOnly("job_lost"));
    JudgeFixture unfinished;
    unfinished.judge.endOfDay(unfinished.now);
    CHECK(unfinished.brokeOnly("job_unfinished"));
}

TEST_CASE("two owners that order one instance in turns, and too many instances down, are noticed", "[judge]")
{
    JudgeFixture fixture;
    fixture.judge.ordered("m1", 5, fixture.now);
    fixture.judge.ordered("m1", 6, fixture.now + std::chrono::milliseconds{2999});
    CHECK(fixture.brokeOnly("owners_cross"));
    JudgeFixture waves;
    waves.judge.maintained("m1", 3, 3, waves.now);
    CHECK(waves.judge.violations().empty());
    waves.judge.maintained("m1", 4, 3, waves.now);
    CHECK(waves.brokeOnly("too_many_down"));
}

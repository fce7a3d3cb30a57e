#include <catch2/catch.hpp>

#include <optional>

#include "oleanderwick/jobnode/job_service.hpp"
#include "support/faulty_store.hpp"
#include "support/model_store.hpp"

using namespace oleanderwick;
using jobnode::JobCallOutcome;
using namespace std::chrono_literals;

namespace
{

/** @brief Node with a job of the team `owners` in its store, in virtual time. */
struct AccessFixture {
    AccessFixture()
    {
        REQUIRE(submit("owners").outcome == JobCallOutcome::Done);
    }

    template <typename Call>
    jobnode::JobReply wait(Call call)
    {
        std::optional<jobnode::JobReply> result;
        call([&result](const jobnode::JobReply &reply) {
            result = reply;
        });
        timeline.runUntil(timeline.now() + 4s);
        return result.value();
    }

    jobnode::JobReply submit(const std::string &team)
    {
        jobs::Job job;
        job.id = "a";
        job.queue = "q";
        job.team = team;
        return wait([&](jobnode::JobService::OnReply onReply) {
            service.submit(job, timeline.now() + 3s, std::move(onReply));
        });
    }

    JobCallOutcome status(const std::string &team)
    {
        return wait([&](jobnode::JobService::OnReply onReply) {
                   service.status("a", team, timeline.now() + 3s, std::move(onReply));
               })
            .outcome;
    }

    JobCallOutcome cancel(const std::string &team)
    {
        return wait([&](jobnode::JobService::OnReply onReply) {
                   service.cancel("a", team, timeline.now() + 3s, std::move(onReply));
               })
            .outcome;
    }

    void storeState(const std::optional<std::string> &team)
    {
        jobs::JobRecord record;
        record.state = jobs::JobState::Running;
        record.team = team;
        jobs::StoreChange change;
        change.writes = {{"s/a", jobs::toRecord(record), 0}};
        REQUIRE(model.commit(change).outcome == jobs::StoreOutcome::Done);
    }

    [[nodiscard]] bool isCancelled() const
    {
        return model.read("q/c/a").outcome == jobs::StoreOutcome::Done;
    }

    emulator::Timeline timeline;
    emulator::StoreModel model;
    test::FaultyStore store{timeline, model};
    emulator::ProcessExecutor executor{timeline, 1'000'000};
    jobnode::LogSink log{executor, std::make_unique<test::DiscardingOutput>()};
    jobnode::JobService service{executor, store, log};
};

} // namespace

// Guards against a team that reads the jobs of another one.
TEST_CASE("the state of a job is found by its team only", "[jobnode]")
{
    AccessFixture fixture;
    // Without a stored state, with one of an earlier version, and with one that names the team.
    const int version = GENERATE(0, 1, 2);
    if (version > 0) {
        fixture.storeState(version == 1 ? std::nullopt : std::optional<std::string>{"owners"});
    }
    CHECK(fixture.status("owners") == JobCallOutcome::Done);
    CHECK(fixture.status("others") == JobCallOutcome::NotFound);
    CHECK(fixture.status("") == JobCallOutcome::NotFound);
}

// Guards against a team that cancels the jobs of another one.
TEST_CASE("a job is cancelled by its team only, and others are told that there is none", "[jobnode]")
{
    AccessFixture fixture;
    CHECK(fixture.cancel("others") == JobCallOutcome::NotFound);
    CHECK(fixture.cancel("") == JobCallOutcome::NotFound);
    CHECK_FALSE(fixture.isCancelled());
    CHECK(fixture.cancel("owners") == JobCallOutcome::Done);
    CHECK(fixture.isCancelled());
}

TEST_CASE("a job of a queue that is open to all belongs to whoever knows its id", "[jobnode]")
{
    AccessFixture fixture;
    jobs::StoreChange change;
    jobs::Job job;
    job.id = "a";
    change.writes = {{"q/j/a", jobs::toRecord(job), 0}};
    REQUIRE(fixture.model.commit(change).outcome == jobs::StoreOutcome::Done);
    CHECK(fixture.status("others") == JobCallOutcome::Done);
    CHECK(fixture.status("") == JobCallOutcome::Done);
    CHECK(fixture.cancel("") == JobCallOutcome::Done);
}

// Guards against a submission that is said to be accepted although another team's job has its id.
TEST_CASE("a submission with the id of another team's job is not said to be accepted", "[jobnode]")
{
    AccessFixture fixture;
    CHECK(fixture.submit("owners").outcome == JobCallOutcome::Done);
    CHECK(fixture.submit("others").outcome == JobCallOutcome::OtherTeam);
}

TEST_CASE("a team that cancels an unknown id does not keep other teams from using it", "[jobnode]")
{
    AccessFixture fixture;
    jobs::StoreChange change;
    change.removals = {"q/j/a", "w/q/a"};
    REQUIRE(fixture.model.commit(change).outcome == jobs::StoreOutcome::Done);
    CHECK(fixture.cancel("others") == JobCallOutcome::NotFound);
    CHECK(fixture.submit("others").outcome == JobCallOutcome::Withdrawn);
    CHECK(fixture.submit("owners").outcome == JobCallOutcome::Done);
}

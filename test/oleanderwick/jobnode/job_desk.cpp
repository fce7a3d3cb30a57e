#include <catch2/catch.hpp>

#include "oleanderwick/http/loop.hpp"
#include "oleanderwick/jobnode/job_desk.hpp"
#include "support/scripted_store.hpp"

using namespace oleanderwick;

namespace
{

jobs::StoreReply outcome(jobs::StoreOutcome value)
{
    jobs::StoreReply answer;
    answer.outcome = value;
    return answer;
}

/** @brief Desk on a loop that runs until the answer is there. */
struct DeskFixture {
    http::Loop loop;
    test::ScriptedStore store;
    jobnode::LogSink log{loop, std::make_unique<jobnode::StandardOutput>()};
    jobnode::JobDesk desk{loop, store, log};

    template <typename Call>
    jobnode::DeskAnswer ask(Call call)
    {
        jobnode::DeskAnswer result;
        call(core::BootClock::now() + std::chrono::seconds{3}, [this, &result](const jobnode::DeskAnswer &answer) {
            result = answer;
            loop.stop();
        });
        loop.run();
        return result;
    }

    jobnode::DeskAnswer submit()
    {
        return ask([this](core::TimePoint deadline, jobnode::JobDesk::OnAnswer onAnswer) {
            jobs::Job job;
            job.id = "a";
            desk.submit(job, deadline, std::move(onAnswer));
        });
    }

    jobnode::DeskAnswer status()
    {
        return ask([this](core::TimePoint deadline, jobnode::JobDesk::OnAnswer onAnswer) {
            desk.status("a", deadline, std::move(onAnswer));
        });
    }
};

} // namespace

TEST_CASE("a job whose first write had no answer is accepted once it is found stored", "[jobnode]")
{
    DeskFixture fixture;
    fixture.store.answers = {outcome(jobs::StoreOutcome::Unknown), outcome(jobs::StoreOutcome::Conflict)};
    CHECK(fixture.submit().outcome == jobnode::DeskOutcome::Done);
}

TEST_CASE("a job that the store refused all the time is certainly not stored", "[jobnode]")
{
    DeskFixture fixture;
    CHECK(fixture.submit().outcome == jobnode::DeskOutcome::NotRun);
}

TEST_CASE("a job of which one write had no answer is never said not to have run", "[jobnode]")
{
    DeskFixture fixture;
    fixture.store.answers = {outcome(jobs::StoreOutcome::Unknown)};
    CHECK(fixture.submit().outcome == jobnode::DeskOutcome::Unknown);
}

TEST_CASE("a job without a state is queued, and one without a record is unknown", "[jobnode]")
{
    DeskFixture fixture;
    fixture.store.answers = {outcome(jobs::StoreOutcome::NotFound), outcome(jobs::StoreOutcome::Done)};
    const jobnode::DeskAnswer queued = fixture.status();
    CHECK(queued.outcome == jobnode::DeskOutcome::Done);
    CHECK(queued.state == jobs::JobState::Queued);
    DeskFixture other;
    other.store.answers = {outcome(jobs::StoreOutcome::NotFound), outcome(jobs::StoreOutcome::NotFound)};
    CHECK(other.status().outcome == jobnode::DeskOutcome::NotFound);
}

TEST_CASE("metrics are text in the format of Prometheus", "[jobnode]")
{
    jobnode::JobMetrics metrics;
    metrics.count("refused");
    metrics.recordJob("team", "queue", std::chrono::seconds{1});
    metrics.set("owner", 1);
    const std::string text = metrics.toText();
    CHECK(text.find("oleanderwick_owner 1\n") != std::string::npos);
    CHECK(text.find("oleanderwick_events_total{event=\"refused\"} 1\n") != std::string::npos);
    CHECK(text.find("oleanderwick_job_seconds_count{team=\"team\",queue=\"queue\"} 1\n") != std::string::npos);
}

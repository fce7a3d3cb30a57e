#include <catch2/catch.hpp>

#include "oleanderwick/http/loop.hpp"
#include "oleanderwick/jobnode/job_service.hpp"
#include "support/scripted_store.hpp"

using namespace oleanderwick;

namespace
{

jobs::StoreReply replyWith(jobs::StoreOutcome value)
{
    jobs::StoreReply reply;
    reply.outcome = value;
    return reply;
}

/** @brief Job service on an event loop that runs until the reply arrives. */
struct JobServiceFixture {
    http::Loop loop;
    test::ScriptedStore store;
    jobnode::LogSink log{loop, std::make_unique<jobnode::StandardOutput>()};
    jobnode::JobService service{loop, store, log};

    template <typename Request>
    jobnode::JobReply call(Request request)
    {
        jobnode::JobReply result;
        request(core::BootClock::now() + std::chrono::seconds{3}, [this, &result](const jobnode::JobReply &reply) {
            result = reply;
            loop.stop();
        });
        loop.run();
        return result;
    }

    jobnode::JobReply submit()
    {
        return call([this](core::TimePoint deadline, jobnode::JobService::OnReply onReply) {
            jobs::Job job;
            job.id = "a";
            service.submit(job, deadline, std::move(onReply));
        });
    }

    jobnode::JobReply pending(const std::string &queue)
    {
        return call([this, &queue](core::TimePoint deadline, jobnode::JobService::OnReply onReply) {
            service.pending(queue, deadline, std::move(onReply));
        });
    }

    jobnode::JobReply status()
    {
        return call([this](core::TimePoint deadline, jobnode::JobService::OnReply onReply) {
            service.status("a", "", deadline, std::move(onReply));
        });
    }
};

} // namespace

TEST_CASE("a submission whose first write got no reply succeeds once its record is found in the store", "[jobnode]")
{
    JobServiceFixture fixture;
    jobs::StoreReply stored = replyWith(jobs::StoreOutcome::Conflict);
    stored.items = {{"q/j/a", "", 12}, {"w//a", "1", 12}};
    fixture.store.replies = {replyWith(jobs::StoreOutcome::Unknown), stored};
    CHECK(fixture.submit().outcome == jobnode::JobCallOutcome::Done);
}

TEST_CASE("a submission that the store refuses on each attempt is reported as not stored", "[jobnode]")
{
    JobServiceFixture fixture;
    CHECK(fixture.submit().outcome == jobnode::JobCallOutcome::NotStored);
}

TEST_CASE("a submission is not reported as not stored if one of its writes got no reply", "[jobnode]")
{
    JobServiceFixture fixture;
    fixture.store.replies = {replyWith(jobs::StoreOutcome::Unknown)};
    CHECK(fixture.submit().outcome == jobnode::JobCallOutcome::Unknown);
}

TEST_CASE("a job without a stored state is queued, and a job without a record is not found", "[jobnode]")
{
    JobServiceFixture fixture;
    jobs::StoreReply stored = replyWith(jobs::StoreOutcome::Done);
    stored.items = {{"q/j/a", jobs::toRecord(jobs::Job{}), 12}};
    fixture.store.replies = {replyWith(jobs::StoreOutcome::NotFound), stored};
    const jobnode::JobReply queued = fixture.status();
    CHECK(queued.outcome == jobnode::JobCallOutcome::Done);
    CHECK(queued.state == jobs::JobState::Queued);
    JobServiceFixture other;
    other.store.replies = {replyWith(jobs::StoreOutcome::NotFound), replyWith(jobs::StoreOutcome::NotFound)};
    CHECK(other.status().outcome == jobnode::JobCallOutcome::NotFound);
}

TEST_CASE("a change that is stored is reported after its caller was answered, and one that may not be is not", "[jobnode]")
{
    JobServiceFixture fixture;
    std::vector<jobnode::OwnerNotice> notices;
    fixture.service.setOnStored([&notices](const jobnode::OwnerNotice &notice) {
        notices.push_back(notice);
    });
    jobs::StoreReply stored = replyWith(jobs::StoreOutcome::Done);
    stored.revision = 12;
    fixture.store.replies = {stored};
    jobs::Job job;
    job.id = "a";
    bool answeredFirst = false;
    fixture.call([&](core::TimePoint deadline, jobnode::JobService::OnReply onReply) {
        fixture.service.submit(job, deadline, [&, reply = std::move(onReply)](const jobnode::JobReply &result) {
            answeredFirst = notices.empty();
            reply(result);
        });
    });
    CHECK(answeredFirst);
    CHECK(answeredFirst);
    jobs::StoreReply found = replyWith(jobs::StoreOutcome::Done);
    found.items = {{"q/j/a", jobs::toRecord(jobs::Job{}), 12}};
    jobs::StoreReply cancelled = replyWith(jobs::StoreOutcome::Conflict);
    cancelled.items = {{"q/j/a", "", 12}, {"q/c/a", "1", 13}};
    fixture.store.replies = {found, cancelled};
    fixture.call([&fixture](core::TimePoint deadline, jobnode::JobService::OnReply onReply) {
        fixture.service.cancel("a", "", deadline, std::move(onReply));
    });
    CHECK(notices == std::vector<jobnode::OwnerNotice>{{jobnode::OwnerNotice::Kind::Job, "a", 12, 0}, {jobnode::OwnerNotice::Kind::Cancel, "a", 0, 0}});
    JobServiceFixture refused;
    refused.service.setOnStored([&notices](const jobnode::OwnerNotice &notice) {
        notices.push_back(notice);
    });
    CHECK(refused.submit().outcome == jobnode::JobCallOutcome::NotStored);
    CHECK(notices.size() == 2);
}

TEST_CASE("pending jobs are counted over all pages of the queue's markers", "[jobnode]")
{
    JobServiceFixture fixture;
    jobs::StoreReply first = replyWith(jobs::StoreOutcome::Done);
    first.items = {{"w/q/1", "1", 4}, {"w/q/2", "1", 5}};
    first.more = true;
    jobs::StoreReply second = replyWith(jobs::StoreOutcome::Done);
    // The last marker belongs to the queue `q/r`.
    second.items = {{"w/q/3", "1", 6}, {"w/q/r/4", "1", 7}};
    fixture.store.replies = {first, second};
    const jobnode::JobReply reply = fixture.pending("q");
    CHECK(reply.outcome == jobnode::JobCallOutcome::Done);
    CHECK(reply.pending == 3);
}

TEST_CASE("pending jobs are not said to be none while the store does not answer", "[jobnode]")
{
    JobServiceFixture fixture;
    CHECK(fixture.pending("q").outcome == jobnode::JobCallOutcome::Unknown);
}

TEST_CASE("job metrics are written in the Prometheus text format", "[jobnode]")
{
    jobnode::JobMetrics metrics;
    metrics.count("refused");
    metrics.recordJob("team", "queue", std::chrono::seconds{1});
    metrics.setGauge("owner", 1);
    metrics.setTeamFigures({{{{"pool", "team"}, {0.5, 0.25, 3, 2}}}, {{"queue", 4}}});
    const std::string text = metrics.toText();
    CHECK(text.find("oleanderwick_team_share{pool=\"pool\",team=\"team\"} 0.5\n") != std::string::npos);
    CHECK(text.find("oleanderwick_team_entitled_share{pool=\"pool\",team=\"team\"} 0.25\n") != std::string::npos);
    CHECK(text.find("oleanderwick_team_waiting_jobs{pool=\"pool\",team=\"team\"} 3\n") != std::string::npos);
    CHECK(text.find("oleanderwick_team_beyond_rate_jobs{pool=\"pool\",team=\"team\"} 2\n") != std::string::npos);
    CHECK(text.find("oleanderwick_late_jobs{queue=\"queue\"} 4\n") != std::string::npos);
    CHECK(text.find("oleanderwick_owner 1\n") != std::string::npos);
    CHECK(text.find("oleanderwick_events_total{event=\"refused\"} 1\n") != std::string::npos);
    CHECK(text.find("oleanderwick_job_seconds_count{team=\"team\",queue=\"queue\"} 1\n") != std::string::npos);
}

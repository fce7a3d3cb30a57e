#include <catch2/catch.hpp>

#include <optional>

#include <absl/strings/str_cat.h>

#include "oleanderwick/jobnode/job_service.hpp"
#include "oleanderwick/jobnode/keys.hpp"
#include "support/faulty_store.hpp"
#include "support/model_store.hpp"

using namespace oleanderwick;
using jobnode::JobCallOutcome;
using test::Fault;
using test::FaultyStore;
using namespace std::chrono_literals;

namespace
{

/** @brief Two nodes at one store, in virtual time. */
struct WithdrawalFixture {
    struct Node {
        explicit Node(WithdrawalFixture &fixture)
            : store{fixture.timeline, fixture.model}
            , executor{fixture.timeline, 1'000'000}
            , log{executor, std::make_unique<test::DiscardingOutput>()}
            , service{executor, store, log}
        {
        }
        FaultyStore store;
        emulator::ProcessExecutor executor;
        jobnode::LogSink log;
        jobnode::JobService service;
    };

    void submit(Node &node, std::optional<jobnode::JobReply> &result)
    {
        jobs::Job job;
        job.id = "a";
        job.queue = "q";
        job.team = "t";
        node.service.submit(job, timeline.now() + 3s, [&result](const jobnode::JobReply &reply) {
            result = reply;
        });
    }

    jobnode::JobReply submitNow(Node &node)
    {
        std::optional<jobnode::JobReply> result;
        submit(node, result);
        run(4s);
        return result.value();
    }

    jobnode::JobReply cancelNow(Node &node, const std::string &id = "a", const std::string &team = "t", core::Duration duration = 4s)
    {
        std::optional<jobnode::JobReply> result;
        node.service.cancel(id, team, timeline.now() + 3s, [&result](const jobnode::JobReply &reply) {
            result = reply;
        });
        run(duration);
        return result.value();
    }

    void run(core::Duration duration)
    {
        timeline.runUntil(timeline.now() + duration);
        model.expire(timeline.now());
    }

    [[nodiscard]] bool exists(const std::string &key) const
    {
        return model.read(key).outcome == jobs::StoreOutcome::Done;
    }

    emulator::Timeline timeline;
    emulator::StoreModel model;
    Node first{*this};
    Node second{*this};
};

} // namespace

// Guards against a job that runs although its submitter was told that it doesn't exist, as its submission reached a paused node.
TEST_CASE("a submission that arrives after its job was cancelled is not stored and says when the id can be used again", "[jobnode]")
{
    WithdrawalFixture fixture;
    CHECK(fixture.cancelNow(fixture.second).outcome == JobCallOutcome::NotFound);
    fixture.run(60s);
    const jobnode::JobReply reply = fixture.submitNow(fixture.first);
    CHECK(reply.outcome == JobCallOutcome::Withdrawn);
    CHECK(reply.retryAfterS > 20);
    CHECK(reply.retryAfterS <= 150);
    CHECK_FALSE(fixture.exists("q/j/a"));
    CHECK_FALSE(fixture.exists("w/q/a"));
}

// Guards against the same by a write that the store carries out late.
TEST_CASE("a delayed write of a submission does not store a job that was cancelled meanwhile", "[jobnode]")
{
    WithdrawalFixture fixture;
    fixture.first.store.faults = {{Fault::Kind::LostReply, 6s}, {Fault::Kind::LostCall}, {Fault::Kind::LostCall}};
    std::optional<jobnode::JobReply> submission;
    fixture.submit(fixture.first, submission);
    fixture.run(100ms);
    CHECK(fixture.cancelNow(fixture.second).outcome == JobCallOutcome::NotFound);
    fixture.run(30s);
    CHECK(submission.value().outcome == JobCallOutcome::Unknown);
    CHECK_FALSE(fixture.exists("q/j/a"));
}

TEST_CASE("a job that is stored while it is being withdrawn is cancelled", "[jobnode]")
{
    WithdrawalFixture fixture;
    // The cancellation reads the store before the submission is written, and writes after it.
    std::optional<jobnode::JobReply> submission;
    fixture.first.store.faults = {{Fault::Kind::None, 3ms}};
    fixture.submit(fixture.first, submission);
    CHECK(fixture.cancelNow(fixture.second).outcome == JobCallOutcome::Done);
    CHECK(submission.value().outcome == JobCallOutcome::Done);
    CHECK(fixture.exists("q/j/a"));
    CHECK(fixture.exists("q/c/a"));
}

TEST_CASE("each cancellation of an unknown job holds for its full time", "[jobnode]")
{
    WithdrawalFixture fixture;
    CHECK(fixture.cancelNow(fixture.first).outcome == JobCallOutcome::NotFound);
    fixture.run(100s);
    CHECK(fixture.cancelNow(fixture.second).outcome == JobCallOutcome::NotFound);
    fixture.run(100s);
    CHECK(fixture.submitNow(fixture.first).outcome == JobCallOutcome::Withdrawn);
}

TEST_CASE("an id whose withdrawal has expired can be used again", "[jobnode]")
{
    WithdrawalFixture fixture;
    CHECK(fixture.cancelNow(fixture.second).outcome == JobCallOutcome::NotFound);
    fixture.run(160s);
    CHECK_FALSE(fixture.exists("q/w/t/a"));
    CHECK(fixture.submitNow(fixture.first).outcome == JobCallOutcome::Done);
}

TEST_CASE("a submission whose conflict comes without the store's items finds the withdrawal", "[jobnode]")
{
    WithdrawalFixture fixture;
    CHECK(fixture.cancelNow(fixture.second).outcome == JobCallOutcome::NotFound);
    fixture.first.store.faults = {{Fault::Kind::LostItems}};
    CHECK(fixture.submitNow(fixture.first).outcome == JobCallOutcome::Withdrawn);
}

TEST_CASE("a cancellation whose record may be missing is not answered as that of an unknown job", "[jobnode]")
{
    WithdrawalFixture fixture;
    fixture.second.store.faults.assign(100, Fault{Fault::Kind::LostCall});
    CHECK(fixture.cancelNow(fixture.second).outcome == JobCallOutcome::Unknown);
    fixture.second.store.faults.assign(100, Fault{Fault::Kind::NotSent});
    CHECK(fixture.cancelNow(fixture.second).outcome == JobCallOutcome::NotStored);
    fixture.second.store.faults.clear();
    fixture.second.store.grantsFail = true;
    WithdrawalFixture other;
    other.first.store.grantsFail = true;
    CHECK(other.cancelNow(other.first).outcome == JobCallOutcome::NotStored);
    CHECK_FALSE(other.exists("q/w/t/a"));
}

TEST_CASE("a cancellation whose lease the store has lost gets a new one", "[jobnode]")
{
    WithdrawalFixture fixture;
    CHECK(fixture.cancelNow(fixture.first).outcome == JobCallOutcome::NotFound);
    // The store has lost the lease with everything bound to it.
    fixture.model.expire(fixture.timeline.now() + 1h);
    CHECK(fixture.cancelNow(fixture.first).outcome == JobCallOutcome::NotFound);
    CHECK(fixture.first.store.grants == 2);
    CHECK(fixture.exists("q/w/t/a"));
}

// Guards against records without a job that nothing removes.
TEST_CASE("a delayed cancellation leaves no record once the job's records are removed", "[jobnode]")
{
    WithdrawalFixture fixture;
    REQUIRE(fixture.submitNow(fixture.first).outcome == JobCallOutcome::Done);
    fixture.second.store.faults = {{Fault::Kind::LostReply, 6s}, {Fault::Kind::LostCall}, {Fault::Kind::LostCall}};
    CHECK(fixture.cancelNow(fixture.second).outcome == JobCallOutcome::Unknown);
    jobs::StoreChange removal;
    removal.removals = {"q/j/a"};
    CHECK(fixture.model.commit(removal).outcome == jobs::StoreOutcome::Done);
    fixture.run(10s);
    CHECK_FALSE(fixture.exists("q/c/a"));
}

TEST_CASE("a flood of cancellations of unknown jobs occupies a bounded number of records and leaves room to other teams", "[jobnode]")
{
    WithdrawalFixture fixture;
    std::size_t recorded = 0;
    for (int index = 0; index < 1000; ++index) {
        const jobnode::JobReply reply = fixture.cancelNow(fixture.first, absl::StrCat("flood-", index), "flooding", 20ms);
        recorded += reply.outcome == JobCallOutcome::NotFound ? 1 : 0;
        if (reply.outcome != JobCallOutcome::NotFound) {
            CHECK(reply.outcome == JobCallOutcome::NotStored);
            CHECK(reply.retryAfterS >= 1);
        }
    }
    CHECK(recorded == 300);
    CHECK(fixture.cancelNow(fixture.first, "b", "other").outcome == JobCallOutcome::NotFound);
    REQUIRE(fixture.submitNow(fixture.second).outcome == JobCallOutcome::Done);
    CHECK(fixture.cancelNow(fixture.first, "a", "t").outcome == JobCallOutcome::Done);
    fixture.run(40s);
    CHECK(fixture.cancelNow(fixture.first, "flood-again", "flooding").outcome == JobCallOutcome::NotFound);
}

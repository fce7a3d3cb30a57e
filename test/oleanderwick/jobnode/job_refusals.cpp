#include <array>
#include <deque>
#include <optional>
#include <random>

#include <catch2/catch.hpp>

#include "emulator/timeline.hpp"
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
struct RefusalFixture {
    struct Node {
        explicit Node(RefusalFixture &fixture)
            : store{fixture.timeline, fixture.model}
            , executor{fixture.timeline, 1'000'000}
            , log{executor, std::make_unique<test::DiscardingOutput>()}
            , service{executor, store, log, true}
        {
        }
        FaultyStore store;
        emulator::ProcessExecutor executor;
        jobnode::LogSink log;
        jobnode::JobService service;
    };

    void submit(Node &node, std::optional<JobCallOutcome> &outcome, const jobnode::RefusalRecord &refusal = {})
    {
        jobs::Job job;
        job.id = "a";
        job.queue = "q";
        job.submittedMs = node.executor.wallMs();
        node.service.submit(
            job,
            timeline.now() + 3s,
            [&outcome](const jobnode::JobReply &reply) {
                outcome = reply.outcome;
            },
            refusal);
    }

    void refuse(Node &node, std::optional<JobCallOutcome> &outcome, const jobnode::RefusalRecord &refusal = {})
    {
        node.service.refuse(
            "a",
            timeline.now() + 3s,
            [&outcome](const jobnode::JobReply &reply) {
                outcome = reply.outcome;
            },
            refusal);
    }

    JobCallOutcome submitNow(Node &node)
    {
        std::optional<JobCallOutcome> outcome;
        submit(node, outcome);
        run(4s);
        return outcome.value();
    }

    JobCallOutcome refuseNow(Node &node)
    {
        std::optional<JobCallOutcome> outcome;
        refuse(node, outcome);
        run(4s);
        return outcome.value();
    }

    void run(core::Duration duration)
    {
        timeline.runUntil(timeline.now() + duration);
        model.expire(timeline.now());
    }

    [[nodiscard]] bool isStored() const
    {
        return model.read("q/j/a").outcome == jobs::StoreOutcome::Done;
    }

    [[nodiscard]] jobnode::RefusalRecord record() const
    {
        const jobs::StoreReply reply = model.read("q/r/a");
        return reply.items.empty() ? jobnode::RefusalRecord{} : jobnode::refusalFromItem(reply.items.front());
    }

    emulator::Timeline timeline;
    emulator::StoreModel model;
    Node first{*this};
    Node second{*this};
};

} // namespace

TEST_CASE("without refusals the change of a submission depends on the job, its marker and a withdrawal, and on nothing else", "[jobnode]")
{
    RefusalFixture fixture;
    jobnode::JobService service{fixture.first.executor, fixture.first.store, fixture.first.log};
    jobs::Job job;
    job.id = "a";
    job.queue = "q";
    service.submit(job, fixture.timeline.now() + 3s, [](const jobnode::JobReply &) {
    });
    fixture.run(1s);
    const jobs::StoreChange &change = fixture.first.store.changes.at(0);
    REQUIRE(change.conditions.size() == 3);
    CHECK(change.conditions[0].key == "q/j/a");
    CHECK(change.conditions[1].key == "w/q/a");
    CHECK(change.conditions[2].key == "q/w//a");
    CHECK(change.writes.size() == 2);
    CHECK(change.removals.empty());
}

TEST_CASE("a delayed write of an earlier attempt does not store a job that was refused afterwards", "[jobnode]")
{
    RefusalFixture fixture;
    fixture.first.store.faults = {{Fault::Kind::LostReply, 6s}, {Fault::Kind::LostCall}, {Fault::Kind::LostCall}};
    std::optional<JobCallOutcome> attempt;
    fixture.submit(fixture.first, attempt);
    fixture.run(100ms);
    CHECK(fixture.refuseNow(fixture.second) == JobCallOutcome::Refused);
    CHECK(attempt == JobCallOutcome::Unknown);
    fixture.run(60s);
    CHECK_FALSE(fixture.isStored());
}

TEST_CASE("a delayed write that depends on the first refusal does not take effect after the second one", "[jobnode]")
{
    RefusalFixture fixture;
    REQUIRE(fixture.refuseNow(fixture.first) == JobCallOutcome::Refused);
    const jobnode::RefusalRecord firstRecord = fixture.record();
    fixture.first.store.faults = {{Fault::Kind::LostReply, 5s}, {Fault::Kind::LostCall}, {Fault::Kind::LostCall}};
    std::optional<JobCallOutcome> attempt;
    fixture.submit(fixture.first, attempt, firstRecord);
    CHECK(fixture.refuseNow(fixture.second) == JobCallOutcome::Refused);
    CHECK(fixture.record().revision > firstRecord.revision);
    CHECK(fixture.record().firstMs == firstRecord.firstMs);
    fixture.run(50s);
    CHECK_FALSE(fixture.isStored());
}

TEST_CASE("a job is not refused once it is stored", "[jobnode]")
{
    RefusalFixture fixture;
    REQUIRE(fixture.submitNow(fixture.first) == JobCallOutcome::Done);
    CHECK(fixture.refuseNow(fixture.second) == JobCallOutcome::Done);
    CHECK(fixture.record() == jobnode::RefusalRecord{});
}

TEST_CASE("a refused job that is accepted later keeps the time of its first refusal and loses its record", "[jobnode]")
{
    RefusalFixture fixture;
    REQUIRE(fixture.refuseNow(fixture.first) == JobCallOutcome::Refused);
    const std::int64_t firstMs = fixture.record().firstMs;
    fixture.run(10s);
    CHECK(fixture.submitNow(fixture.second) == JobCallOutcome::Done);
    REQUIRE(fixture.isStored());
    CHECK(jobs::jobFromRecord(fixture.model.read("q/j/a").items.front().value)->submittedMs == firstMs);
    CHECK(fixture.record() == jobnode::RefusalRecord{});
}

TEST_CASE("a submission whose refusal expires while it is under way is stored", "[jobnode]")
{
    RefusalFixture fixture;
    std::optional<JobCallOutcome> outcome;
    fixture.submit(fixture.first, outcome, jobnode::RefusalRecord{500, 17});
    fixture.run(1s);
    CHECK(outcome == JobCallOutcome::Done);
    CHECK(fixture.isStored());
}

TEST_CASE("a conflict whose reply lost its items is not taken for a stored job", "[jobnode]")
{
    RefusalFixture fixture;
    REQUIRE(fixture.refuseNow(fixture.first) == JobCallOutcome::Refused);
    fixture.second.store.faults = {{Fault::Kind::LostItems}};
    CHECK(fixture.submitNow(fixture.second) == JobCallOutcome::Done);
    CHECK(fixture.isStored());
}

TEST_CASE("a refusal that is not certainly recorded is no refusal", "[jobnode]")
{
    RefusalFixture fixture;
    SECTION("no lease")
    {
        fixture.first.store.grantsFail = true;
    }
    SECTION("a lease that ends before delayed writes do")
    {
        fixture.first.store.maxTtl = 10s;
    }
    SECTION("a write without effect")
    {
        fixture.first.store.faults = {{Fault::Kind::NotSent}};
    }
    SECTION("a write without a reply")
    {
        fixture.first.store.faults = {{Fault::Kind::LostReply, 5s}};
    }
    CHECK(fixture.refuseNow(fixture.first) == JobCallOutcome::NotRefused);
    CHECK(fixture.submitNow(fixture.first) == JobCallOutcome::Done);
    fixture.run(30s);
    CHECK(fixture.isStored());
}

TEST_CASE("a process that was frozen does not report a refusal after the submitter's deadline", "[jobnode]")
{
    RefusalFixture fixture;
    std::optional<JobCallOutcome> outcome;
    fixture.first.service.refuse("a", fixture.timeline.now() + 5ms, [&outcome](const jobnode::JobReply &reply) {
        outcome = reply.outcome;
    });
    fixture.run(1s);
    CHECK(outcome == JobCallOutcome::Unknown);
}

TEST_CASE("refusals share leases, and each record lasts between 60 s and 80 s", "[jobnode]")
{
    RefusalFixture fixture;
    for (int call = 0; call < 3; ++call) {
        REQUIRE(fixture.refuseNow(fixture.first) == JobCallOutcome::Refused);
    }
    CHECK(fixture.first.store.grants == 1);
    fixture.run(56s);
    CHECK(fixture.record().revision != 0);
    fixture.run(15s);
    CHECK(fixture.record().revision == 0);
}

TEST_CASE("under random losses, delays and reordering a refused job runs only if a later attempt accepts it", "[jobnode]")
{
    std::mt19937_64 random{20261203};
    int refusals = 0;
    int stored = 0;
    for (int round = 0; round < 2000; ++round) {
        RefusalFixture fixture;
        // One caller tries again after each answer at a random node, as long as it is told that the job was refused or is unknown.
        bool mayBeStored = false;
        for (int attempt = 0; attempt < 6; ++attempt) {
            RefusalFixture::Node &node = random() % 2 == 0 ? fixture.first : fixture.second;
            node.store.faults.clear();
            for (int call = 0; call < 8; ++call) {
                const std::array<Fault::Kind, 6> kinds{
                    Fault::Kind::None, Fault::Kind::None, Fault::Kind::LostReply, Fault::Kind::LostCall, Fault::Kind::LostItems, Fault::Kind::NotSent};
                const Fault::Kind kind = kinds.at(random() % kinds.size());
                const core::Duration delay = kind == Fault::Kind::LostReply ? core::Duration{std::chrono::milliseconds{random() % 6000}} : 2ms;
                node.store.faults.push_back({kind, delay});
            }
            std::optional<JobCallOutcome> outcome;
            const bool refuses = random() % 2 == 0;
            refuses ? fixture.refuse(node, outcome) : fixture.submit(node, outcome);
            while (!outcome.has_value()) {
                fixture.run(10ms);
            }
            if (outcome == JobCallOutcome::Done) {
                REQUIRE(fixture.isStored());
                mayBeStored = true;
                ++stored;
                break;
            }
            if (outcome == JobCallOutcome::Refused) {
                ++refusals;
                mayBeStored = false;
                REQUIRE_FALSE(fixture.isStored());
                if (random() % 2 == 0) {
                    break;
                }
            } else if (!refuses) {
                mayBeStored = mayBeStored || outcome == JobCallOutcome::Unknown;
            }
        }
        fixture.run(100s);
        REQUIRE((mayBeStored || !fixture.isStored()));
    }
    CHECK(refusals > 200);
    CHECK(stored > 200);
}

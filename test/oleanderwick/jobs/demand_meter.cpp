#include <catch2/catch.hpp>

#include "oleanderwick/jobs/jobs.hpp"

using namespace oleanderwick;

namespace
{

constexpr core::TimePoint start{std::chrono::seconds{1000}};
constexpr std::int64_t startMs = 5'000'000;

/** @brief Scheduler with one worker of 4 cores, with which it has no contact, so that nothing starts. */
struct DemandFixture {
    explicit DemandFixture(std::int64_t objectiveMs = 1000)
    {
        jobs::FleetConfig config;
        config.queues["queue"].pool = "pool";
        config.queues["queue"].objectiveMs = objectiveMs;
        config.pools["pool"] = {};
        config.teams["team"].rate = 3.0;
        scheduler.configure(config);
        jobs::WorkerEntry worker;
        worker.id = "w";
        worker.pool = "pool";
        worker.capacity = {4000, 4000, 0};
        scheduler.registerWorker(worker, start);
    }

    void add(const std::string &id, std::int64_t tasks, bool restored = false)
    {
        jobs::Job job;
        job.id = id;
        job.queue = "queue";
        job.pool = "pool";
        job.team = "team";
        job.submittedMs = startMs;
        jobs::Step step;
        step.count = tasks;
        step.each = {500, 10, 0};
        step.estimateMs = 2000;
        job.steps = {step, step, step};
        job.steps[1].after = {0};
        job.steps[2].bestEffort = true;
        scheduler.addJob(job, std::nullopt, restored, start);
    }

    admission::FleetDemand measureAfter(core::Duration span)
    {
        const std::int64_t wallMs = startMs + core::milliseconds(span);
        scheduler.advance(start + span, wallMs);
        return scheduler.fleetDemand(3.0, wallMs);
    }

    jobs::Scheduler scheduler{{}, start};
};

} // namespace

TEST_CASE("demand counts arrivals and waiting work in core seconds, without best-effort steps and former arrivals", "[jobs]")
{
    DemandFixture fixture;
    fixture.add("a", 2);
    fixture.add("b", 1, true);
    const admission::FleetDemand demand = fixture.measureAfter(std::chrono::milliseconds{100});
    REQUIRE(demand.shares.size() == 1);
    CHECK(demand.shares.front().team == "team");
    CHECK(demand.shares.front().arrivedJobs == 1);
    CHECK(demand.shares.front().arrivedWork == Approx(4.0));
    CHECK(demand.shares.front().backlog == Approx(6.0));
    CHECK(demand.rates.at("team") == 3.0);
    REQUIRE(demand.pools.contains("pool"));
    CHECK(demand.pools.at("pool").capacity == Approx(4.0));
    CHECK_FALSE(demand.pools.at("pool").overloaded);
}

TEST_CASE("a pool is overloaded by ready timely work beyond 1.2 of its cpu, or by a timely job that waits for half of its objective", "[jobs]")
{
    DemandFixture full;
    full.add("a", 10);
    CHECK(full.measureAfter(std::chrono::milliseconds{100}).pools.at("pool").overloaded);
    // The critical path takes 4 s, so that the objective is 10 s and the job can still be timely after 5 s.
    DemandFixture slow{6000};
    slow.add("a", 1);
    CHECK_FALSE(slow.measureAfter(std::chrono::milliseconds{4900}).pools.at("pool").overloaded);
    CHECK(slow.measureAfter(std::chrono::milliseconds{5100}).pools.at("pool").overloaded);
    CHECK_FALSE(slow.measureAfter(std::chrono::milliseconds{6100}).pools.at("pool").overloaded);
}

TEST_CASE("work of no use any more does not count as backlog", "[jobs]")
{
    DemandFixture fixture;
    fixture.add("a", 1);
    CHECK(fixture.measureAfter(std::chrono::seconds{8}).shares.front().backlog > 0.0);
    CHECK(fixture.measureAfter(std::chrono::seconds{60}).shares.front().backlog == 0.0);
}

#include <catch2/catch.hpp>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

/** Advances for a time in steps of 100 ms; returns the details of the events `job_waits_long`. */
std::vector<std::string> longWaits(JobFleet &fleet, int steps)
{
    std::vector<std::string> details;
    for (int step = 0; step < steps; ++step) {
        CHECK(fleet.advance(std::chrono::milliseconds{100}).empty());
        for (const jobs::Decision &decision : fleet.scheduler.takeDecisions()) {
            if (decision.event == "job_waits_long") {
                details.push_back(decision.detail);
            }
        }
    }
    return details;
}

} // namespace

TEST_CASE("the oldest job of a queue is reported once a second when it is past three times its objective", "[jobs]")
{
    // Guards against jobs that are accepted and never served without a sign of it.
    JobFleet fleet;
    for (const char *id : {"a", "b"}) {
        jobs::Job job = JobFleet::makeJob(id, {JobFleet::makeStep(1)});
        job.submittedMs = fleet.wallMs() + (job.id == "a" ? 0 : 500);
        fleet.scheduler.addJob(job, std::nullopt, false, fleet.now);
    }
    // The objective is the estimate of 1000 ms and 600 ms.
    CHECK(longWaits(fleet, 47).empty());
    CHECK(fleet.scheduler.queueAgesMs().at("queue") >= 3'500);
    CHECK(fleet.scheduler.queueAgesMs().at("queue") <= 4'700);
    const std::vector<std::string> details = longWaits(fleet, 33);
    CHECK(details.size() >= 3);
    CHECK(details.size() <= 4);
    REQUIRE(!details.empty());
    CHECK(details[0].starts_with("queue=queue age_ms="));
    CHECK(details[0].ends_with(" objective_ms=1600"));
}

TEST_CASE("the age of a queue drops to zero with its last job, and continuous tasks have none", "[jobs]")
{
    // Guards against an alarm that never ends.
    JobFleet fleet;
    jobs::Step continuous = JobFleet::makeStep(1);
    continuous.continuous = true;
    fleet.scheduler.addJob(JobFleet::makeJob("c", {continuous}), std::nullopt, false, fleet.now);
    CHECK(longWaits(fleet, 70).empty());
    CHECK(fleet.scheduler.queueAgesMs().empty());
    jobs::Job job = JobFleet::makeJob("a", {JobFleet::makeStep(1)});
    job.submittedMs = fleet.wallMs();
    fleet.scheduler.addJob(job, std::nullopt, false, fleet.now);
    longWaits(fleet, 20);
    CHECK(fleet.scheduler.queueAgesMs().at("queue") > 0);
    fleet.scheduler.cancelJob("a", fleet.wallMs(), fleet.now);
    CHECK(longWaits(fleet, 20).empty());
    CHECK(fleet.scheduler.queueAgesMs().at("queue") == 0);
}

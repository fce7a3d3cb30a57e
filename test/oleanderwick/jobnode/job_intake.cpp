#include <catch2/catch.hpp>

#include "oleanderwick/jobnode/job_intake.hpp"
#include "support/node_fixture.hpp"

using namespace oleanderwick;
using test::NodeFixture;

TEST_CASE("jobs are taken from the intake once, oldest first, a bounded number at a time", "[jobnode]")
{
    jobnode::JobIntake intake;
    for (const std::string id : {"a", "b", "a", "c"}) {
        intake.add(id, {"q/j/" + id, id, 1});
    }
    const std::vector<jobs::StoreItem> first = intake.take(2);
    REQUIRE(first.size() == 2);
    CHECK(first.back().value == "b");
    CHECK_FALSE(intake.contains("a"));
    CHECK(intake.contains("c"));
    CHECK(intake.take(2).size() == 1);
    CHECK(intake.isEmpty());
}

TEST_CASE("a cancel is applied while the delivery of jobs is seconds behind", "[jobnode]")
{
    // Under a flood of jobs the watch that delivered both was seconds behind, and tasks started 6 s after their job's cancel was acknowledged.
    NodeFixture fixture;
    const std::unique_ptr<jobnode::JobNode> node = fixture.makeNode("n1");
    fixture.remove("workers/w1");
    fixture.run(std::chrono::seconds{1});
    REQUIRE(node->isOwner());
    fixture.submit("cancelled");
    fixture.submit("kept");
    fixture.run(std::chrono::seconds{1});
    fixture.store.slowPrefix = "q/j/";
    fixture.store.slowDelay = std::chrono::seconds{5};
    fixture.submit("late");
    fixture.run(std::chrono::milliseconds{100});
    fixture.put("q/c/cancelled", "1");
    fixture.put("q/c/late", "1");
    fixture.run(std::chrono::milliseconds{500});
    fixture.put("workers/w1", "a");
    fixture.run(std::chrono::seconds{10});
    CHECK(fixture.workers.startedJobs == std::vector<std::string>{"kept"});
}

TEST_CASE("jobs that arrive in one delivery of thousands are all started, and the cancelled ones among them are not", "[jobnode]")
{
    constexpr int jobCount = 1000;
    NodeFixture fixture;
    const std::unique_ptr<jobnode::JobNode> node = fixture.makeNode("n1");
    fixture.remove("workers/w1");
    fixture.run(std::chrono::seconds{1});
    for (int job = 0; job < jobCount; ++job) {
        fixture.submit("j" + std::to_string(job));
    }
    fixture.put("q/c/j999", "1");
    fixture.run(std::chrono::seconds{1});
    for (int worker = 0; worker < 30; ++worker) {
        fixture.put("workers/x" + std::to_string(worker), "a");
    }
    fixture.run(std::chrono::seconds{3});
    const std::set<std::string> started{fixture.workers.startedJobs.begin(), fixture.workers.startedJobs.end()};
    CHECK(started.size() == jobCount - 1);
    CHECK_FALSE(started.contains("j999"));
}

#include <catch2/catch.hpp>

#include <map>

#include "support/job_fleet.hpp"

using namespace oleanderwick;

TEST_CASE("OpenTasks keeps half of the room for other teams, and lets what is alone in", "[jobs]")
{
    jobs::OpenTasks tasks{100};
    CHECK(tasks.hasRoom("a", 1000));
    tasks.add("a", 50);
    CHECK_FALSE(tasks.hasRoom("a", 1));
    CHECK(tasks.hasRoom("b", 50));
    CHECK_FALSE(tasks.hasRoom("b", 51));
    tasks.remove("a", 50);
    CHECK(tasks.count() == 0);
    CHECK(tasks.hasRoom("b", 1000));
    CHECK(jobs::OpenTasks{0}.hasRoom("a", 1'000'000));
}

TEST_CASE("OpenTasks opens deferred jobs in the order of each team, the teams in turn, as long as there is room", "[jobs]")
{
    jobs::OpenTasks tasks{100};
    for (const char *job : {"a1", "a2", "a3"}) {
        tasks.defer("a", job);
    }
    tasks.defer("b", "b1");
    std::string opened;
    tasks.openDeferred([&opened](const std::string &job) {
        if (opened.size() >= 6) {
            return false;
        }
        opened += job;
        return true;
    });
    CHECK(opened == "a1b1a2");
    CHECK(tasks.deferredJobs() == 1);
}

namespace
{

constexpr std::int64_t maxOpenTasks = 1000;

jobs::SchedulerLimits limitsWithRoom()
{
    jobs::SchedulerLimits limits;
    limits.maxOpenTasks = maxOpenTasks;
    return limits;
}

} // namespace

TEST_CASE("Scheduler bounds the open tasks of jobs that wait, serves another team, and opens further jobs as earlier ones end", "[jobs]")
{
    const core::TimePoint start = core::TimePoint{} + std::chrono::hours{1};
    jobs::Scheduler scheduler{limitsWithRoom(), start};
    const auto addJob = [&scheduler, start](const std::string &id, const std::string &team, std::int64_t tasks) {
        jobs::Job job = test::JobFleet::makeJob(id, {test::JobFleet::makeStep(tasks)});
        job.team = team;
        scheduler.addJob(job, std::nullopt, false, start);
    };
    for (int number = 0; number < 100; ++number) {
        addJob("large" + std::to_string(number), "crowd", 100);
    }
    scheduler.advance(start, 0);
    CHECK(scheduler.openTasks() == jobs::OpenTaskFigures{500, 95});
    addJob("small", "other", 10);
    scheduler.advance(start, 0);
    CHECK(scheduler.openTasks() == jobs::OpenTaskFigures{510, 95});
    for (int number = 0; number < 100; ++number) {
        scheduler.cancelJob("large" + std::to_string(number), 0, start);
    }
    scheduler.advance(start, 0);
    scheduler.handleSaved(scheduler.takeSaves(1000), true);
    scheduler.advance(start, 0);
    scheduler.advance(start, 0);
    CHECK(scheduler.openTasks() == jobs::OpenTaskFigures{10, 0});
}

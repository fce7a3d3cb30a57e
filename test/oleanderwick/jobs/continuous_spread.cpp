#include <catch2/catch.hpp>

#include <map>
#include <string>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

/** Fleet that runs a continuous step of five small tasks, with an objective of 2.5 s. */
struct ContinuousFleet : JobFleet {
    ContinuousFleet()
    {
        jobs::FleetConfig config;
        config.queues["queue"] = {"pool", 0, 2, 1.0, 2500, false};
        config.pools["pool"] = {};
        scheduler.configure(config);
    }

    void addWorkerOn(const std::string &id, const std::string &rack)
    {
        scheduler.registerWorker({id, "pool", "127.0.0.1:1", "", rack, {}, {16'000, 64'000, 0}, false, 1}, now);
        report(id, {}, {});
    }

    void submit(const std::string &id, bool gang = false)
    {
        jobs::Step step = makeStep(5);
        step.continuous = true;
        step.gang = gang;
        step.estimateMs = 0;
        jobs::Job job = makeJob(id, {step});
        job.submittedMs = wallMs();
        scheduler.addJob(job, std::nullopt, false, now);
    }

    /** Advances for a time and returns the number of tasks started by worker. */
    std::map<std::string, int> startsWithin(int milliseconds)
    {
        std::map<std::string, int> started;
        for (int passed = 0; passed < milliseconds; passed += 50) {
            const std::vector<jobs::StartCommand> starts = advance();
            accept(starts);
            for (const jobs::StartCommand &start : starts) {
                ++started[start.worker];
            }
            for (const jobs::PollCommand &poll : scheduler.takePolls(now)) {
                report(poll.worker, running[poll.worker], {});
            }
        }
        return started;
    }
};

} // namespace

TEST_CASE("the loss of one worker does not end all tasks of a continuous step", "[continuous_spread]")
{
    ContinuousFleet fleet;
    fleet.addWorkerOn("w0", "r0");
    fleet.submit("first");
    CHECK(fleet.startsWithin(500) == std::map<std::string, int>{{"w0", 3}});
    fleet.addWorkerOn("w1", "r1");
    CHECK(fleet.startsWithin(500) == std::map<std::string, int>{{"w1", 2}});
}

TEST_CASE("tasks of a continuous step that find no second worker within the objective start on the first", "[continuous_spread]")
{
    ContinuousFleet fleet;
    fleet.addWorkerOn("w0", "r0");
    fleet.submit("first");
    CHECK(fleet.startsWithin(3000) == std::map<std::string, int>{{"w0", 5}});
}

TEST_CASE("a continuous gang starts on one worker at once, as any loss ends it", "[continuous_spread]")
{
    ContinuousFleet fleet;
    fleet.addWorkerOn("w0", "r0");
    fleet.submit("first", true);
    CHECK(fleet.startsWithin(500) == std::map<std::string, int>{{"w0", 5}});
}

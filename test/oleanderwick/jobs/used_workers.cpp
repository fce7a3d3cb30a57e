#include <catch2/catch.hpp>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

/** @brief Fleet whose list of used workers is stored when the test says so. */
struct UnstoredFleet : JobFleet {
    std::vector<jobs::StartCommand> place()
    {
        now += std::chrono::milliseconds{200};
        scheduler.advance(now, wallMs());
        return scheduler.takeCommands().starts;
    }

    void storeUsedWorkers()
    {
        scheduler.handleUsedWorkersStored(scheduler.usedWorkersVersion());
    }
};

} // namespace

// Guards against a run that a successor doesn't know of and starts again elsewhere, since the record of its worker came after the start.
TEST_CASE("a worker gets its first run only once the stored list of used workers contains it", "[jobs]")
{
    UnstoredFleet fleet;
    fleet.addWorker("w1");
    CHECK(fleet.scheduler.usedWorkers() == std::map<std::string, std::string>{{"w1", "pool"}});
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    CHECK(fleet.place().empty());
    fleet.storeUsedWorkers();
    CHECK(fleet.place().size() == 1);
}

TEST_CASE("workers of the stored list get runs while another one waits for the list to be stored", "[jobs]")
{
    UnstoredFleet fleet;
    fleet.addWorker("w1");
    fleet.storeUsedWorkers();
    fleet.addWorker("w2");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(20)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> starts = fleet.place();
    CHECK(starts.size() == 16);
    CHECK(std::all_of(starts.begin(), starts.end(), [](const jobs::StartCommand &start) {
        return start.worker == "w1";
    }));
    fleet.storeUsedWorkers();
    CHECK(fleet.place().size() == 4);
}

TEST_CASE("a worker of a predecessor's list gets runs at once, unless it has changed its pool", "[jobs]")
{
    UnstoredFleet fleet;
    fleet.scheduler.restoreWorker("w1", "pool");
    fleet.addWorker("w1");
    fleet.scheduler.restoreWorker("w2", "other");
    fleet.addWorker("w2");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(20)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> starts = fleet.place();
    CHECK(starts.size() == 16);
    CHECK(std::all_of(starts.begin(), starts.end(), [](const jobs::StartCommand &start) {
        return start.worker == "w1";
    }));
}

TEST_CASE("a worker that has left and comes back gets runs only once it is in the stored list again", "[jobs]")
{
    UnstoredFleet fleet;
    fleet.addWorker("w1");
    fleet.storeUsedWorkers();
    fleet.scheduler.unregisterWorker("w1");
    for (int seconds = 0; seconds < 8; ++seconds) {
        fleet.now += std::chrono::seconds{1};
        fleet.scheduler.advance(fleet.now, fleet.wallMs());
    }
    CHECK(fleet.scheduler.usedWorkers().empty());
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    CHECK(fleet.place().empty());
    fleet.storeUsedWorkers();
    CHECK(fleet.place().size() == 1);
}

// Guards against a list that can't be read being taken for an empty one.
TEST_CASE("jobs of a predecessor whose list of used workers can't be read wait until its leases have expired", "[jobs]")
{
    JobFleet fleet;
    fleet.scheduler.setPreviousWorkersUnknown();
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("old", {JobFleet::makeStep(1)}), std::nullopt, true, fleet.now);
    CHECK(fleet.advance().empty());
    CHECK(fleet.advance(std::chrono::milliseconds{5900}).empty());
    CHECK(fleet.advance(std::chrono::milliseconds{500}).size() == 1);
}

#include <catch2/catch.hpp>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

/** Fleet whose workers accept runs beyond their capacity. */
class UnguardedFleet : public JobFleet
{
public:
    UnguardedFleet()
    {
        jobs::FleetConfig config;
        config.queues["queue"] = {"pool", 0, 2, 1.6, 600, false};
        config.pools["pool"] = {false, false};
        scheduler.configure(config);
    }

    void resize(const std::string &worker, std::int64_t cpu)
    {
        jobs::WorkerEntry entry = scheduler.workers().at(worker).entry;
        entry.capacity.cpu = cpu;
        scheduler.registerWorker(entry, now);
    }
};

} // namespace

TEST_CASE("a worker that has shrunk below its runs gets none until there is room again", "[jobs]")
{
    UnguardedFleet fleet;
    fleet.addWorker("w0", 4000);
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(8)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 4);
    fleet.accept(first);
    fleet.resize("w0", 2000);
    fleet.end(first[0], jobs::RunEndKind::Done);
    fleet.end(first[1], jobs::RunEndKind::Done);
    CHECK(fleet.advance().empty());
    fleet.end(first[2], jobs::RunEndKind::Done);
    CHECK(fleet.advance().size() == 1);
    fleet.resize("w0", 4000);
    CHECK(fleet.advance().size() == 2);
}

TEST_CASE("a speculative run on a silent worker that accepts everything keeps its room there", "[jobs]")
{
    UnguardedFleet fleet;
    fleet.addWorker("w0", 2000);
    jobs::Step step = JobFleet::makeStep(2);
    step.speculative = true;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartCommand> first = fleet.advance();
    REQUIRE(first.size() == 2);
    fleet.scheduler.handleStartReply(first[0], jobs::StartOutcome::Unknown, 0, fleet.now);
    fleet.scheduler.handleStartReply(first[1], jobs::StartOutcome::Started, fleet.clockMs(), fleet.now);
    fleet.now += std::chrono::milliseconds{10};
    fleet.scheduler.handlePollFailure("w0", false, fleet.now);
    fleet.report("w0", {{first[1].task, first[1].run, "", 10, 0}}, {});
    fleet.scheduler.addJob(JobFleet::makeJob("b", {JobFleet::makeStep(2)}), std::nullopt, false, fleet.now);
    CHECK(fleet.advance(std::chrono::seconds{2}).empty());
}

TEST_CASE("runs that a worker reports without being known there count against its capacity until they are gone", "[jobs]")
{
    UnguardedFleet fleet;
    fleet.addWorker("w0", 2000);
    const std::string job = GENERATE("known", "gone");
    jobs::JobRecord record;
    record.state = jobs::JobState::Running;
    record.nextOccurrence = 1;
    record.occurrences[0] = {{jobs::TaskRecord{true, {}, 1, ""}, jobs::TaskRecord{true, {}, 1, ""}, jobs::TaskRecord{}}};
    fleet.scheduler.addJob(JobFleet::makeJob("known", {JobFleet::makeStep(3)}), record, false, fleet.now);
    const std::vector<jobs::ReportedRun> stale{{{job, 0, 0, 0}, 1, "", 10, 0}, {{job, 0, 0, 1}, 1, "", 10, 0}};
    fleet.report("w0", stale, {});
    CHECK(fleet.advance().empty());
    CHECK_FALSE(fleet.stops.empty());
    fleet.report("w0", {}, {});
    CHECK(fleet.advance().size() == 1);
}

#include <algorithm>

#include <catch2/catch.hpp>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

jobs::MaintenanceWave makeWave(std::vector<std::string> instances, std::int64_t mostAtOnce)
{
    jobs::MaintenanceWave wave;
    wave.number = 1;
    wave.instances = std::move(instances);
    wave.duration = std::chrono::seconds{20};
    wave.mostAtOnce = mostAtOnce;
    return wave;
}

jobs::InstanceEntry makeInstance(const std::string &id, const std::string &worker, const std::string &pool = "pool")
{
    return {id, pool, worker, jobs::InstanceState::Up, {}};
}

} // namespace

TEST_CASE("maintenance of an instance is commanded only when its worker is empty", "[upkeep]")
{
    JobFleet fleet;
    fleet.addWorker("w1");
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> starts = fleet.advance();
    REQUIRE(starts.size() == 1);
    fleet.accept(starts);
    const jobs::OrderPause pause{fleet.now};
    jobs::Upkeep upkeep{pause};
    upkeep.addWave(makeWave({"m1"}, 1), std::nullopt, fleet.wallMs());
    upkeep.takeInstances({{"m1", makeInstance("m1", "w1")}}, fleet.now);
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    CHECK(upkeep.takeOrders().empty());
    fleet.end(starts[0], jobs::EndKind::Done);
    (void)fleet.save();
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    CHECK(upkeep.takeOrders().size() == 1);
}

TEST_CASE("maintenance of an instance is commanded only after its worker has reported to the new owner", "[upkeep]")
{
    JobFleet fleet;
    fleet.scheduler.expectWorker("w1", "pool");
    const jobs::OrderPause pause{fleet.now};
    jobs::Upkeep upkeep{pause};
    upkeep.addWave(makeWave({"m1"}, 1), std::nullopt, fleet.wallMs());
    upkeep.takeInstances({{"m1", makeInstance("m1", "w1")}}, fleet.now);
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    CHECK(upkeep.takeOrders().empty());
    fleet.addWorker("w1");
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    CHECK(upkeep.takeOrders().size() == 1);
}

TEST_CASE("a wave never takes more instances down at once than its limit", "[upkeep]")
{
    JobFleet fleet;
    const jobs::OrderPause pause{fleet.now};
    jobs::Upkeep upkeep{pause};
    upkeep.addWave(makeWave({"m1", "m2", "m3"}, 1), std::nullopt, fleet.wallMs());
    upkeep.takeInstances({{"m1", makeInstance("m1", "")}, {"m2", makeInstance("m2", "")}, {"m3", makeInstance("m3", "")}}, fleet.now);
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    const std::vector<jobs::MaintainOrder> orders = upkeep.takeOrders();
    REQUIRE(orders.size() == 1);
    upkeep.takeAnswer(orders[0], jobs::InstanceAnswer::Unknown, fleet.now);
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    CHECK(upkeep.takeOrders().empty());
}

TEST_CASE("an instance on standby without a worker counts as back once it is listed as up", "[upkeep]")
{
    JobFleet fleet;
    const jobs::OrderPause pause{fleet.now};
    jobs::Upkeep upkeep{pause};
    upkeep.addWave(makeWave({"m1", "m2"}, 1), std::nullopt, fleet.wallMs());
    const std::map<std::string, jobs::InstanceEntry> listed{{"m1", makeInstance("m1", "")}, {"m2", makeInstance("m2", "")}};
    upkeep.takeInstances(listed, fleet.now);
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    const std::vector<jobs::MaintainOrder> first = upkeep.takeOrders();
    REQUIRE(first.size() == 1);
    upkeep.takeAnswer(first[0], jobs::InstanceAnswer::Done, fleet.now);
    fleet.now += std::chrono::seconds{3};
    upkeep.takeInstances(listed, fleet.now);
    for (int round = 0; round < 3; ++round) {
        upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    }
    const std::vector<jobs::MaintainOrder> second = upkeep.takeOrders();
    REQUIRE(second.size() == 1);
    CHECK(second[0].instance != first[0].instance);
}

TEST_CASE("a wave is completed only when maintenance of every instance that still exists has started", "[upkeep]")
{
    JobFleet fleet;
    const jobs::OrderPause pause{fleet.now};
    jobs::Upkeep upkeep{pause};
    upkeep.addWave(makeWave({"m1", "gone"}, 2), std::nullopt, fleet.wallMs());
    fleet.now += std::chrono::seconds{1};
    upkeep.takeInstances({{"m1", makeInstance("m1", "")}}, fleet.now);
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    CHECK_FALSE(upkeep.takeSaves().at(1).completed);
    const std::vector<jobs::MaintainOrder> orders = upkeep.takeOrders();
    REQUIRE(orders.size() == 1);
    upkeep.takeAnswer(orders[0], jobs::InstanceAnswer::Done, fleet.now);
    upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
    CHECK(upkeep.takeSaves().at(1).completed);
}

TEST_CASE("a burst of jobs moves idle instances into a pool, and surplus ones go to standby afterwards", "[balancer]")
{
    JobFleet fleet;
    jobs::FleetConfig config;
    config.queues["queue"].pool = "pool";
    config.queues["queue"].objectiveMs = 600;
    config.pools["pool"] = {};
    config.pools["other"] = {};
    config.pools["standby"].standby = true;
    fleet.scheduler.configure(config);
    fleet.addWorker("w1");
    std::map<std::string, jobs::InstanceEntry> listed{{"m1", makeInstance("m1", "w1")}};
    for (const char *id : {"2", "3", "4"}) {
        jobs::WorkerEntry entry;
        entry.id = std::string{"w"} + id;
        entry.pool = "other";
        entry.address = "127.0.0.1:1";
        entry.capacity = {16'000, 64'000, 0};
        fleet.scheduler.listWorker(entry, fleet.now);
        fleet.report(entry.id, {}, {});
        listed[std::string{"m"} + id] = makeInstance(std::string{"m"} + id, entry.id, "other");
    }
    listed["m5"] = makeInstance("m5", "", "standby");
    const jobs::OrderPause pause{fleet.now};
    jobs::Upkeep upkeep{pause};
    jobs::PoolBalancer balancer{{}, pause};
    balancer.takeInstances(listed, fleet.now);
    jobs::Job job = JobFleet::makeJob("a", {JobFleet::makeStep(40)});
    job.submittedMs = fleet.wallMs();
    fleet.scheduler.addJob(job, std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> starts = fleet.advance();
    fleet.accept(starts);
    balancer.advance(fleet.scheduler, upkeep, fleet.now);
    const std::vector<jobs::MoveOrder> lent = balancer.takeOrders();
    REQUIRE(lent.size() == 2);
    CHECK(lent[0].from == "other");
    CHECK(lent[0].pool == "pool");
    for (const jobs::MoveOrder &order : lent) {
        CHECK(fleet.scheduler.workers().at(order.worker).closed);
        balancer.takeAnswer(order, jobs::InstanceAnswer::Refused, fleet.scheduler, fleet.now);
        CHECK_FALSE(fleet.scheduler.workers().at(order.worker).closed);
    }
    fleet.scheduler.cancelJob("a", fleet.wallMs(), fleet.now);
    for (const jobs::StartOrder &start : starts) {
        fleet.end(start, jobs::EndKind::Stopped);
    }
    (void)fleet.save();
    bool parked = false;
    for (int round = 0; round < 100 && !parked; ++round) {
        (void)fleet.advance();
        balancer.advance(fleet.scheduler, upkeep, fleet.now);
        for (const jobs::MoveOrder &order : balancer.takeOrders()) {
            parked = parked || order.pool == "standby";
            balancer.takeAnswer(order, jobs::InstanceAnswer::Refused, fleet.scheduler, fleet.now);
        }
    }
    CHECK(parked);
}

TEST_CASE("a continuous task that fits on none of a pool's workers adds an instance to the need", "[balancer]")
{
    jobs::PoolLoad load;
    load.workers = 5;
    load.leastWorkers = 5;
    CHECK(jobs::PoolBalancer::needOf({}, load, 16'000).timely == 5);
    load.unplaced = 1;
    CHECK(jobs::PoolBalancer::needOf({}, load, 16'000).timely == 6);
}

TEST_CASE("an instance whose move command was lost returns to service and can be moved again", "[balancer]")
{
    JobFleet fleet;
    jobs::FleetConfig config;
    config.queues["queue"].pool = "pool";
    config.pools["pool"] = {};
    config.pools["standby"].standby = true;
    fleet.scheduler.configure(config);
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    const std::map<std::string, jobs::InstanceEntry> listed{
        {"m1", makeInstance("m1", "w1")}, {"m2", makeInstance("m2", "w2")}, {"m3", makeInstance("m3", "", "standby")}};
    const jobs::OrderPause pause{fleet.now};
    jobs::Upkeep upkeep{pause};
    jobs::PoolBalancer balancer{{}, pause};
    balancer.takeInstances(listed, fleet.now);
    std::vector<jobs::MoveOrder> orders;
    for (int round = 0; round < 100 && orders.empty(); ++round) {
        (void)fleet.advance();
        balancer.advance(fleet.scheduler, upkeep, fleet.now);
        orders = balancer.takeOrders();
    }
    REQUIRE(orders.size() == 1);
    CHECK(fleet.scheduler.workers().at(orders[0].worker).closed);
    balancer.takeAnswer(orders[0], jobs::InstanceAnswer::Unknown, fleet.scheduler, fleet.now);
    (void)fleet.advance(std::chrono::seconds{7});
    balancer.advance(fleet.scheduler, upkeep, fleet.now);
    // The instance is still idle, so its move is commanded again from its present pool.
    const std::vector<jobs::MoveOrder> again = balancer.takeOrders();
    REQUIRE(again.size() == 1);
    balancer.takeAnswer(again[0], jobs::InstanceAnswer::Busy, fleet.scheduler, fleet.now);
    CHECK_FALSE(fleet.scheduler.workers().at(orders[0].worker).closed);
}

TEST_CASE("a new owner delays commands for all instances, or only for those that its predecessor recorded", "[upkeep]")
{
    JobFleet fleet;
    jobs::OrderPause pause{fleet.now + std::chrono::seconds{3}};
    jobs::Upkeep upkeep{pause};
    upkeep.addWave(makeWave({"m1", "m2"}, 2), std::nullopt, fleet.wallMs());
    upkeep.takeInstances({{"m1", makeInstance("m1", "")}, {"m2", makeInstance("m2", "")}}, fleet.now);
    const auto advance = [&] {
        upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
        upkeep.advance(fleet.scheduler, fleet.now, fleet.wallMs());
        return upkeep.takeOrders();
    };
    CHECK(advance().empty());
    pause.limitTo({"m1"});
    const std::vector<jobs::MaintainOrder> early = advance();
    REQUIRE(early.size() == 1);
    CHECK(early[0].instance == "m2");
    fleet.now += std::chrono::seconds{3};
    const std::vector<jobs::MaintainOrder> later = advance();
    REQUIRE(later.size() == 1);
    CHECK(later[0].instance == "m1");
}

TEST_CASE("an instance that is drained does not count for its pool, which gets a replacement", "[balancer]")
{
    JobFleet fleet;
    jobs::FleetConfig config;
    config.queues["queue"].pool = "pool";
    config.pools["pool"] = {};
    config.pools["standby"].standby = true;
    fleet.scheduler.configure(config);
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    jobs::Step step = JobFleet::makeStep(2);
    step.continuous = true;
    step.maxPerWorker = 1;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    fleet.accept(fleet.advance());
    const jobs::OrderPause pause{fleet.now};
    jobs::Upkeep upkeep{pause};
    jobs::PoolBalancer balancer{{}, pause};
    balancer.takeInstances({{"m1", makeInstance("m1", "w1")}, {"m2", makeInstance("m2", "w2")}, {"m3", makeInstance("m3", "", "standby")}}, fleet.now);
    (void)fleet.advance();
    balancer.advance(fleet.scheduler, upkeep, fleet.now);
    CHECK(balancer.takeOrders().empty());
    fleet.scheduler.closeWorker("w1", true);
    (void)fleet.advance();
    balancer.advance(fleet.scheduler, upkeep, fleet.now);
    const std::vector<jobs::MoveOrder> orders = balancer.takeOrders();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].instance == "m3");
    CHECK(orders[0].pool == "pool");
}

TEST_CASE("an instance that runs late jobs is drained for another pool's jobs that can meet their objective", "[balancer]")
{
    JobFleet fleet;
    jobs::FleetConfig config;
    config.queues["queue"].pool = "pool";
    config.queues["queue"].objectiveMs = 600;
    config.queues["urgent"].pool = "other";
    config.queues["urgent"].objectiveMs = 600;
    config.pools["pool"] = {};
    config.pools["other"] = {};
    fleet.scheduler.configure(config);
    std::map<std::string, jobs::InstanceEntry> listed;
    for (const char *id : {"1", "2", "3", "4"}) {
        fleet.addWorker(std::string{"w"} + id);
        listed[std::string{"m"} + id] = makeInstance(std::string{"m"} + id, std::string{"w"} + id);
    }
    const jobs::OrderPause pause{fleet.now};
    jobs::Upkeep upkeep{pause};
    jobs::PoolBalancer balancer{{}, pause};
    balancer.takeInstances(listed, fleet.now);
    jobs::Job late = JobFleet::makeJob("late", {JobFleet::makeStep(60)});
    late.submittedMs = fleet.wallMs() - 10'000;
    fleet.scheduler.addJob(late, std::nullopt, false, fleet.now);
    const std::vector<jobs::StartOrder> starts = fleet.advance();
    fleet.accept(starts);
    balancer.advance(fleet.scheduler, upkeep, fleet.now);
    CHECK(balancer.takeOrders().empty());
    jobs::Job urgent = JobFleet::makeJob("urgent", {JobFleet::makeStep(16)});
    urgent.queue = "urgent";
    urgent.pool = "other";
    urgent.submittedMs = fleet.wallMs();
    fleet.scheduler.addJob(urgent, std::nullopt, false, fleet.now);
    (void)fleet.advance();
    balancer.advance(fleet.scheduler, upkeep, fleet.now);
    // No instance is idle: one is cordoned, and moves once it is empty.
    CHECK(balancer.takeOrders().empty());
    const auto closed =
        std::find_if(fleet.scheduler.workers().begin(), fleet.scheduler.workers().end(), [](const std::pair<const std::string, jobs::Worker> &worker) {
            return worker.second.closed;
        });
    REQUIRE(closed != fleet.scheduler.workers().end());
    const std::string drained = closed->first;
    for (const jobs::StartOrder &start : starts) {
        if (start.worker == drained) {
            fleet.end(start, jobs::EndKind::Done);
        }
    }
    (void)fleet.save();
    (void)fleet.scheduler.takeHolds(fleet.now + std::chrono::seconds{1});
    (void)fleet.advance();
    balancer.advance(fleet.scheduler, upkeep, fleet.now);
    const std::vector<jobs::MoveOrder> orders = balancer.takeOrders();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].worker == drained);
    CHECK(orders[0].pool == "other");
}

TEST_CASE("a pool without workers gets an instance for waiting jobs", "[balancer]")
{
    JobFleet fleet;
    jobs::FleetConfig config;
    config.queues["queue"].pool = "pool";
    config.queues["queue"].objectiveMs = 600;
    config.pools["pool"] = {};
    config.pools["standby"].standby = true;
    fleet.scheduler.configure(config);
    const jobs::OrderPause pause{fleet.now};
    jobs::Upkeep upkeep{pause};
    jobs::PoolBalancer balancer{{}, pause};
    balancer.takeInstances({{"m1", makeInstance("m1", "", "standby")}}, fleet.now);
    jobs::Job job = JobFleet::makeJob("a", {JobFleet::makeStep(2)});
    job.submittedMs = fleet.wallMs();
    fleet.scheduler.addJob(job, std::nullopt, false, fleet.now);
    CHECK(fleet.advance().empty());
    balancer.advance(fleet.scheduler, upkeep, fleet.now);
    const std::vector<jobs::MoveOrder> orders = balancer.takeOrders();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].pool == "pool");
}

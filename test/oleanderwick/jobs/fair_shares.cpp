#include <cmath>
#include <numeric>

#include <catch2/catch.hpp>

#include "support/load_player.hpp"

using namespace oleanderwick;
using test::JobFleet;
using test::LoadPlayer;
using test::LoadResult;
using test::TeamLoad;

namespace
{

/** Ten workers of 16 cores; at their rates, all teams together use 60 cores. */
constexpr int workerCount = 10;
const std::map<std::string, double> weights{{"a", 10}, {"b", 4}, {"c", 2}, {"d", 2}, {"e", 2}};

double cpuOf(const std::vector<LoadResult> &results)
{
    return std::accumulate(results.begin(), results.end(), 0.0, [](double sum, const LoadResult &result) {
        return sum + result.cpuMs;
    });
}

double shareInTime(const LoadResult &result)
{
    return static_cast<double>(result.inTime) / static_cast<double>(result.jobs);
}

/** Two pools of 8 and 2 instances that both need more than there are; returns how many instances of the large one are drained for the small one. */
std::size_t countDrained(bool divide)
{
    JobFleet fleet;
    jobs::FleetConfig config;
    std::map<std::string, jobs::InstanceEntry> instances;
    for (const char *pool : {"large", "small"}) {
        config.pools[pool] = {};
        config.queues[pool] = {pool, 0, 2, 1.0, 600, false};
    }
    fleet.scheduler.configure(config);
    for (int index = 0; index < 10; ++index) {
        const std::string id = absl::StrCat("w", index);
        const std::string pool = index < 8 ? "large" : "small";
        fleet.scheduler.registerWorker({id, pool, "127.0.0.1:1", "", "", {}, {4000, 64'000, 0}, false, 1}, fleet.now);
        fleet.report(id, {}, {});
        instances["i" + id] = {"i" + id, pool, id, jobs::InstanceState::Up, {}, ""};
    }
    for (const char *pool : {"large", "small"}) {
        jobs::Job job = JobFleet::makeJob(pool, {JobFleet::makeStep(64)});
        job.queue = pool;
        job.pool = pool;
        job.submittedMs = fleet.wallMs();
        fleet.scheduler.addJob(std::move(job), std::nullopt, false, fleet.now);
    }
    jobs::CommandDelay commandDelay{fleet.now - std::chrono::seconds{10}};
    jobs::MaintenanceController controller{commandDelay};
    jobs::BalancingPolicy policy;
    policy.divideScarceInstances = divide;
    jobs::PoolBalancer balancer{policy, commandDelay};
    std::size_t drained = 0;
    for (int step = 0; step < 8; ++step) {
        fleet.accept(fleet.advance());
        balancer.handleInstances(instances, fleet.now);
        balancer.advance(fleet.scheduler, controller, fleet.now);
        for (const jobs::Decision &decision : balancer.takeDecisions()) {
            drained += decision.event == "instance_drained" && decision.detail.ends_with("from=large to=small") ? 1 : 0;
        }
    }
    return drained;
}

} // namespace

// Guards against a flood of one team that costs others their objective, as it does without the setting.
TEST_CASE("jobs of teams within their rate start in time beside a team at seven times its rate", "[fair]")
{
    const std::vector<TeamLoad> loads{{"a", 70}, {"b", 4}, {"c", 2}, {"d", 2}, {"e", 2}};
    LoadPlayer without{false, weights, workerCount};
    CHECK(shareInTime(without.play(loads, 25)[1]) < 0.8);
    LoadPlayer with{true, weights, workerCount};
    const std::vector<LoadResult> results = with.play(loads, 25);
    for (std::size_t team = 1; team < results.size(); ++team) {
        CAPTURE(team);
        CHECK(results[team].jobs > 20);
        CHECK(results[team].inTime == results[team].jobs);
    }
    CHECK(with.idleSteps == 0);
}

// Guards against shares by demand instead of by weight.
TEST_CASE("teams that all send five times their rate share the pool by their weights", "[fair]")
{
    LoadPlayer player{true, weights, workerCount};
    const std::vector<LoadResult> results = player.play({{"a", 50}, {"b", 20}, {"c", 10}, {"d", 10}, {"e", 10}}, 25);
    const std::vector<double> expected{0.5, 0.2, 0.1, 0.1, 0.1};
    for (std::size_t team = 0; team < expected.size(); ++team) {
        CAPTURE(team);
        CHECK(std::abs(results[team].cpuMs / cpuOf(results) - expected[team]) < 0.03);
    }
    CHECK(player.fullSteps > 1000);
    CHECK(player.idleSteps == 0);
}

// Guards against a share that follows the number of jobs that a team sends.
TEST_CASE("one team of twenty that sends half of all jobs gets about what the others get", "[fair]")
{
    std::map<std::string, double> equal{{"t0", 1}};
    std::vector<TeamLoad> loads{{"t0", 50}};
    for (int team = 1; team < 20; ++team) {
        equal[absl::StrCat("t", team)] = 1;
        loads.push_back({absl::StrCat("t", team), 50.0 / 19});
    }
    LoadPlayer player{true, equal, workerCount};
    const std::vector<LoadResult> results = player.play(loads, 25);
    // 0.05 is its share by weight; others leave some, since the gaps of their jobs are random.
    CHECK(results[0].cpuMs / cpuOf(results) < 0.09);
    const double others = std::accumulate(results.begin() + 1, results.end(), 0.0, [](double sum, const LoadResult &result) {
        return sum + shareInTime(result);
    });
    CHECK(others / 19 > 0.9);
    CHECK(player.idleSteps == 0);
}

// Guards against large tasks that never find room because small ones take all that becomes free.
TEST_CASE("the largest tenth of jobs is served beside small ones in a full pool", "[fair]")
{
    for (const std::int64_t largeCpu : {std::int64_t{10'000}, std::int64_t{5'000}}) {
        CAPTURE(largeCpu);
        const std::int64_t largeTasks = largeCpu == 10'000 ? 2 : 3;
        LoadPlayer player{true, {{"a", 20}, {"b", 20}}, workerCount};
        const std::vector<LoadResult> results =
            player.play({{"a", 40, 3, 1500, 400}, {"b", 20, 3, 1500, 400}, {"a", 4, largeTasks, largeCpu, 800}, {"b", 2, largeTasks, largeCpu, 800}}, 25);
        // Team b is near its rate; team a is at twice its rate, so that its jobs are only required to go on.
        CHECK(shareInTime(results[3]) > 0.9);
        CHECK(results[2].started * 3 > results[2].jobs);
        CHECK(player.idleSteps == 0);
    }
}

// Guards against decisions that differ from those without the setting while nothing is scarce.
TEST_CASE("while the pool is not full the order is that without the setting", "[fair]")
{
    const std::vector<TeamLoad> loads{{"a", 10}, {"b", 4}, {"c", 2}, {"d", 2, 1, 9000, 900}};
    LoadPlayer without{false, weights, 20};
    (void)without.play(loads, 10);
    LoadPlayer with{true, weights, 20};
    (void)with.play(loads, 10);
    CHECK(with.fullSteps == 0);
    CHECK(without.starts.size() > 500);
    CHECK(with.starts == without.starts);
}

// Guards against a class that depends on the order in which a new owner lists jobs, and against work beyond the rate that sizes pools like timely work.
TEST_CASE("a job beyond its team's rate counts as late work, and a new owner classifies in the order of submission", "[fair]")
{
    JobFleet fleet{jobs::SchedulerLimits{.teamShares = true}};
    jobs::FleetConfig config;
    config.queues["queue"] = {"pool", 0, 2, 1.6, 600, false};
    config.pools["pool"] = {};
    config.teams["team"] = jobs::TeamPolicy{1.0, 0.4, {}};
    fleet.scheduler.configure(config);
    const auto add = [&fleet](const std::string &id, std::int64_t submittedMs, bool predatesTerm) {
        jobs::Job job = JobFleet::makeJob(id, {JobFleet::makeStep(1)});
        job.team = "team";
        job.submittedMs = submittedMs;
        fleet.scheduler.addJob(std::move(job), std::nullopt, predatesTerm, fleet.now);
    };
    // The bucket holds two tokens.
    add("a", fleet.wallMs() - 10, true);
    add("b", fleet.wallMs() - 20, true);
    add("c", fleet.wallMs() - 30, true);
    (void)fleet.advance();
    CHECK(fleet.scheduler.findJob("a")->beyondRate);
    CHECK_FALSE(fleet.scheduler.findJob("b")->beyondRate);
    CHECK_FALSE(fleet.scheduler.findJob("c")->beyondRate);
    CHECK(fleet.scheduler.poolLoads().at("pool").waitingCpu == 2000);
    CHECK(fleet.scheduler.poolLoads().at("pool").waitingLateCpu == 1000);
    add("d", fleet.wallMs(), false);
    CHECK(fleet.scheduler.findJob("d")->beyondRate);
    const jobs::TeamFigures figures = fleet.scheduler.measureTeams(fleet.wallMs());
    CHECK(figures.uses.at({"pool", "team"}) == jobs::TeamUse{0.0, 0.0, 4, 2});
    CHECK(figures.lateJobs.at("queue") == 0);
    (void)fleet.advance(std::chrono::milliseconds{2600});
    CHECK(fleet.scheduler.measureTeams(fleet.wallMs()).lateJobs.at("queue") == 4);
    add("e", fleet.wallMs(), false);
    CHECK_FALSE(fleet.scheduler.findJob("e")->beyondRate);
    CHECK(fleet.scheduler.findJob("d")->beyondRate);
}

// Guards against a fleet that stays with the pool that asked first when the timely needs of all exceed it.
TEST_CASE("scarce instances are divided among pools, with a tolerance of one", "[fair]")
{
    CHECK(countDrained(false) == 0);
    CHECK(countDrained(true) == 2);
}

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>
#include <iostream>
#include <random>

#include <nlohmann/json.hpp>

#include "oleanderwick/maintenance/maintenance.hpp"

namespace core = oleanderwick::core;
namespace maintenance = oleanderwick::maintenance;
using maintenance::Health;
using maintenance::Step;
using maintenance::WaveStatus;

namespace
{

/** Simulated pool whose instances drain, reboot and fail, with a platform list that lags behind; time advances in ticks. */
class PoolModel
{
public:
    PoolModel(std::size_t instances, std::uint32_t budget, std::uint64_t seed)
        : m_random{seed}
    {
        m_actual.budget = budget;
        for (std::size_t index = 0; index < instances; ++index) {
            maintenance::InstanceView instance;
            instance.id = core::InstanceId{"i" + std::to_string(index)};
            instance.zone = "z" + std::to_string(index % 3);
            instance.rack = "r" + std::to_string(index / 4);
            instance.health = Health::Healthy;
            instance.slots = 8;
            instance.permitsHeld = 8;
            m_actual.instances.push_back(instance);
        }
        m_listed = m_actual;
    }

    [[nodiscard]] const maintenance::PoolView &listed() const
    {
        return m_listed;
    }

    [[nodiscard]] maintenance::PoolView &actual()
    {
        return m_actual;
    }

    [[nodiscard]] std::uint64_t random(std::uint64_t bound)
    {
        return m_random() % bound;
    }

    /** Reboots an instance; a mark that was executed already has no effect. */
    void reboot(const maintenance::Wave &wave, const core::InstanceId &id)
    {
        maintenance::InstanceView &instance = find(id);
        const std::string mark = maintenance::rebootMark(wave, id);
        if (instance.bootMark == mark) {
            return;
        }
        workCut += instance.permitsHeld;
        ++reboots[id];
        instance.bootMark = mark;
        instance.health = Health::Rebooting;
    }

    /**
     * @brief Advances by one tick: drained instances lose permits, rebooting ones come back, and the list is refreshed at times.
     * @param wave Wave whose instances get no new work.
     * @param ticksPerFailure Mean number of ticks until a healthy instance fails; 0 for never.
     * @param ticksPerRefresh Mean number of ticks between two refreshes of the list.
     */
    void tick(const maintenance::Wave &wave, std::uint64_t ticksPerFailure, std::uint64_t ticksPerRefresh)
    {
        const maintenance::WaveList list{{wave}};
        const std::set<core::InstanceId> out = maintenance::outOfService(list);
        for (maintenance::InstanceView &instance : m_actual.instances) {
            const bool drained = out.contains(instance.id);
            if (drained && instance.permitsHeld > 0) {
                --instance.permitsHeld;
            } else if (!drained && instance.health == Health::Healthy) {
                instance.permitsHeld = 8;
            }
            if (instance.health == Health::Rebooting && random(3) == 0) {
                instance.health = Health::Healthy;
            } else if (instance.health == Health::Unhealthy && random(10) == 0) {
                instance.health = Health::Healthy;
            } else if (instance.health == Health::Healthy && ticksPerFailure > 0 && random(ticksPerFailure) == 0) {
                instance.health = Health::Unhealthy;
            }
        }
        if (random(ticksPerRefresh) == 0) {
            m_listed = m_actual;
        } else {
            // Permits are read from the quota ledger, which is always current; only the platform's list lags.
            for (std::size_t index = 0; index < m_actual.instances.size(); ++index) {
                m_listed.instances[index].permitsHeld = m_actual.instances[index].permitsHeld;
            }
        }
    }

    std::map<core::InstanceId, int> reboots;
    std::uint32_t workCut{0};

private:
    [[nodiscard]] maintenance::InstanceView &find(const core::InstanceId &id)
    {
        return *std::find_if(m_actual.instances.begin(), m_actual.instances.end(), [&id](const maintenance::InstanceView &instance) {
            return instance.id == id;
        });
    }

    std::mt19937_64 m_random;
    maintenance::PoolView m_actual;
    maintenance::PoolView m_listed;
};

std::uint32_t countNewDrains(const maintenance::Wave &before, const maintenance::Wave &after)
{
    std::uint32_t count = 0;
    for (const std::pair<const core::InstanceId, Step> &step : after.steps) {
        count += step.second == Step::Draining && !before.steps.contains(step.first) ? 1 : 0;
    }
    return count;
}

maintenance::Wave runningWave(const std::string &pool = "p")
{
    return maintenance::Wave{"w", core::PoolId{pool}, WaveStatus::Running, "", {}};
}

} // namespace

TEST_CASE("advance never drains beyond the availability budget, whatever fails", "[maintenance]")
{
    const bool passed =
        rc::check("instances known to be down stay within the budget after each drain, no work is cut off, each instance reboots at most once", [] {
            const std::size_t instances = *rc::gen::inRange<std::size_t>(1, 30);
            const std::uint32_t budget = *rc::gen::inRange<std::uint32_t>(0, 6);
            PoolModel pool{instances, budget, *rc::gen::arbitrary<std::uint64_t>()};
            maintenance::Wave recorded = runningWave();
            maintenance::Wave stale = recorded;
            for (int tick = 0; tick < 400; ++tick) {
                // `stale` is not used: a paused owner that works from an old state has no effect, as its compare-and-swap is refused.
                stale = pool.random(5) == 0 ? recorded : stale;
                const maintenance::Wave next = maintenance::advance(recorded, pool.listed());
                if (countNewDrains(recorded, next) > 0) {
                    RC_ASSERT(maintenance::countDown(next, pool.listed()) <= budget);
                }
                recorded = next;
                for (const core::InstanceId &id : maintenance::dueReboots(recorded, pool.listed())) {
                    // A request that is lost, or whose reply is lost, makes the owner request the reboot again.
                    if (pool.random(3) != 0) {
                        pool.reboot(recorded, id);
                    }
                }
                pool.tick(recorded, 200, 3);
            }
            RC_ASSERT(pool.workCut == 0);
            for (const std::pair<const core::InstanceId, int> &reboot : pool.reboots) {
                RC_ASSERT(reboot.second == 1);
            }
        });
    CHECK(passed);
}

TEST_CASE("advance maintains every instance once", "[maintenance]")
{
    PoolModel pool{20, 3, 1};
    maintenance::Wave wave = runningWave();
    for (int tick = 0; tick < 2000 && wave.status == WaveStatus::Running; ++tick) {
        wave = maintenance::advance(wave, pool.listed());
        for (const core::InstanceId &id : maintenance::dueReboots(wave, pool.listed())) {
            pool.reboot(wave, id);
        }
        pool.tick(wave, 0, 1);
    }
    CHECK(wave.status == WaveStatus::Done);
    CHECK(pool.reboots.size() == 20);
    CHECK(pool.workCut == 0);
}

TEST_CASE("a wave takes at most 1.15 times the lower bound of its duration", "[maintenance]")
{
    // Each instance always takes 8 ticks to drain and 5 to reboot; the lower bound assumes that the budget is used up at all times.
    constexpr std::size_t instances = 50;
    const std::uint32_t budget = GENERATE(1U, 4U, 10U);
    PoolModel pool{instances, budget, 1};
    std::map<core::InstanceId, int> ticksLeft;
    maintenance::Wave wave = runningWave();
    int ticks = 0;
    for (; wave.status == WaveStatus::Running && ticks < 5000; ++ticks) {
        wave = maintenance::advance(wave, pool.actual());
        for (const core::InstanceId &id : maintenance::dueReboots(wave, pool.actual())) {
            pool.reboot(wave, id);
            ticksLeft[id] = 5;
        }
        for (maintenance::InstanceView &instance : pool.actual().instances) {
            const auto step = wave.steps.find(instance.id);
            if (step != wave.steps.end() && step->second == Step::Draining && instance.permitsHeld > 0) {
                --instance.permitsHeld;
            }
            if (instance.health == Health::Rebooting && --ticksLeft[instance.id] == 0) {
                instance.health = Health::Healthy;
            }
        }
    }
    const double bound = std::ceil(static_cast<double>(instances) / budget) * (8 + 5);
    std::cout << "wave of " << instances << " with budget " << budget << ": " << ticks << " ticks, lower bound " << bound << '\n';
    CHECK(ticks <= 1.15 * bound);
}

TEST_CASE("advance records why a wave waits", "[maintenance]")
{
    PoolModel pool{1, 0, 1};
    maintenance::Wave wave = maintenance::advance(runningWave(), pool.listed());
    CHECK(wave.reason == "waits: 0 instances are down, the budget is 0");
    PoolModel busy{1, 1, 1};
    maintenance::PoolView view = busy.listed();
    view.demand = 1;
    wave = maintenance::advance(runningWave(), view);
    CHECK(wave.reason == "waits: without 'i0' 0 slots stay, the demand is 1");
    CHECK(wave.steps.empty());
}

TEST_CASE("advance counts failed and unknown instances against the budget", "[maintenance]")
{
    PoolModel pool{5, 2, 1};
    maintenance::PoolView view = pool.listed();
    view.instances[0].health = Health::Unhealthy;
    view.instances[1].health = Health::Unknown;
    CHECK(maintenance::advance(runningWave(), view).steps.empty());
}

TEST_CASE("advance pauses a wave after one unhealthy instance and stops it after two", "[maintenance]")
{
    PoolModel pool{10, 2, 1};
    maintenance::PoolView view = pool.listed();
    maintenance::Wave wave = maintenance::advance(runningWave(), view);
    REQUIRE(wave.steps.size() == 2);
    for (maintenance::InstanceView &instance : view.instances) {
        instance.permitsHeld = 0;
    }
    wave = maintenance::advance(wave, view);
    const auto returnUnhealthy = [&](std::size_t which) {
        const core::InstanceId id = std::next(wave.steps.begin(), static_cast<std::ptrdiff_t>(which))->first;
        for (maintenance::InstanceView &instance : view.instances) {
            if (instance.id == id) {
                instance.bootMark = maintenance::rebootMark(wave, id);
                instance.health = Health::Unhealthy;
            }
        }
    };
    returnUnhealthy(0);
    wave = maintenance::advance(wave, view);
    CHECK(wave.status == WaveStatus::Paused);
    returnUnhealthy(1);
    wave = maintenance::advance(wave, view);
    CHECK(wave.status == WaveStatus::Stopped);
    CHECK(maintenance::hasEnded(wave));
}

TEST_CASE("advance cancels the drains of a stopped wave", "[maintenance]")
{
    PoolModel pool{10, 2, 1};
    maintenance::WaveList list{{maintenance::advance(runningWave(), pool.listed())}};
    CHECK(maintenance::outOfService(list).size() == 2);
    list = maintenance::changeWave(list, "w", WaveStatus::Stopped).value();
    list.waves[0] = maintenance::advance(list.waves[0], pool.listed());
    CHECK(maintenance::outOfService(list).empty());
}

TEST_CASE("startWave allows one unfinished wave per pool", "[maintenance]")
{
    maintenance::WaveList list = maintenance::startWave({}, "one", core::PoolId{"p"}).value();
    CHECK(maintenance::startWave(list, "two", core::PoolId{"p"}).status().code() == absl::StatusCode::kAlreadyExists);
    CHECK(maintenance::startWave(list, "one", core::PoolId{"p"}).value() == list);
    CHECK(maintenance::startWave(list, "two", core::PoolId{"q"}).ok());
    CHECK(maintenance::changeWave(list, "none", WaveStatus::Paused).status().code() == absl::StatusCode::kNotFound);
}

TEST_CASE("parseWaveList parses the output of toJson and rejects malformed text", "[maintenance]")
{
    PoolModel pool{4, 2, 1};
    const maintenance::WaveList list{{maintenance::advance(runningWave(), pool.listed())}};
    CHECK(maintenance::parseWaveList(maintenance::toJson(list).dump()).value() == list);
    const std::string text = GENERATE(std::string{}, std::string{"{}"}, std::string{"[1]"}, std::string{R"([{"id":"w","pool":"p","status":"odd"}])"});
    CHECK_FALSE(maintenance::parseWaveList(text).ok());
}

TEST_CASE("parsePlatformList reads a missing or invalid health as unknown", "[maintenance]")
{
    const maintenance::PlatformList list = maintenance::parsePlatformList(R"({"a":{"health":"healthy","bootMark":"m"},"b":{"health":7},"c":{}})").value();
    CHECK(list.at(core::InstanceId{"a"}) == maintenance::PlatformInstance{Health::Healthy, "m"});
    CHECK(list.at(core::InstanceId{"b"}).health == Health::Unknown);
    CHECK_FALSE(maintenance::parsePlatformList("[]").ok());
}

// Guards against a wave that takes more instances out of service than the budget while a zone is closed as well.
TEST_CASE("advance counts instances of closed zones against the budget and not as room", "[maintenance]")
{
    PoolModel pool{6, 2, 1};
    maintenance::PoolView view = pool.listed();
    for (maintenance::InstanceView &instance : view.instances) {
        instance.zoneClosed = instance.zone == "z0";
    }
    CHECK(maintenance::countDown(runningWave(), view) == 2);
    CHECK(maintenance::advance(runningWave(), view).steps.empty());
    view.budget = 3;
    view.demand = 32;
    CHECK(maintenance::advance(runningWave(), view).reason == "waits: without 'i1' 24 slots stay, the demand is 32");
}

#include <algorithm>
#include <cmath>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <oleanderwick/fairness/rate_meter.hpp>
#include <oleanderwick/fairness/share_table.hpp>
#include <oleanderwick/fairness/water_filling.hpp>

using namespace oleanderwick;

namespace
{

constexpr core::TimePoint start{std::chrono::hours{1}};

} // namespace

// Guards against a bucket that loses tokens to rounding, refills beyond its depth, or lets a flood pass.
TEST_CASE("a team at its rate stays within it, and one at seven times its rate is beyond it for six sevenths", "[fairness]")
{
    fairness::RateMeter meter{std::chrono::seconds{5}};
    for (int job = 0; job < 3000; ++job) {
        REQUIRE(meter.take("steady", 3.0, start + job * core::Duration{std::chrono::seconds{1}} / 3));
    }
    int within = 0;
    for (int job = 0; job < 2100; ++job) {
        within += meter.take("flooding", 3.0, start + job * core::Duration{std::chrono::seconds{1}} / 21) ? 1 : 0;
    }
    CHECK(within >= 300 + 14);
    CHECK(within <= 300 + 15);
    // The bucket fills again in its window, and no further.
    const core::TimePoint later = start + std::chrono::seconds{1000};
    int burst = 0;
    for (int job = 0; job < 100; ++job) {
        burst += meter.take("flooding", 3.0, later) ? 1 : 0;
    }
    CHECK(burst == 15);
    CHECK_FALSE(meter.take("flooding", 3.0, later - std::chrono::seconds{60}));
}

// Guards against a team with a low rate, whose bucket would never hold a whole token, and against a rate of 0 taken for no job at all.
TEST_CASE("a team with a low rate has jobs within it, and one without a rate has no others", "[fairness]")
{
    fairness::RateMeter meter{std::chrono::seconds{5}};
    CHECK(meter.take("small", 0.1, start));
    CHECK_FALSE(meter.take("small", 0.1, start + std::chrono::seconds{9}));
    CHECK(meter.take("small", 0.1, start + std::chrono::seconds{10}));
    for (int job = 0; job < 100; ++job) {
        REQUIRE(meter.take("open", 0.0, start));
    }
}

// Guards against portions beyond a need, room left over while someone needs it, and a party below its weighted share for the benefit of another.
TEST_CASE("water-filling is work-conserving and weighted max-min", "[fairness]")
{
    rc::check([] {
        std::map<std::string, fairness::Claim> claims;
        double needs = 0.0;
        const int count = *rc::gen::inRange(1, 9);
        for (int party = 0; party < count; ++party) {
            const fairness::Claim claim{static_cast<double>(*rc::gen::inRange(0, 50)), static_cast<double>(*rc::gen::inRange(1, 10))};
            claims[std::to_string(party)] = claim;
            needs += claim.need;
        }
        const double total = *rc::gen::inRange(0, 200);
        const std::map<std::string, double> portions = fairness::fillByWeight(total, claims);
        double sum = 0.0;
        double level = 0.0;
        for (const std::pair<const std::string, double> &portion : portions) {
            RC_ASSERT(portion.second <= claims[portion.first].need + 1e-9);
            sum += portion.second;
            level = std::max(level, portion.second / claims[portion.first].weight);
        }
        RC_ASSERT(std::abs(sum - std::min(total, needs)) < 1e-6);
        for (const std::pair<const std::string, double> &portion : portions) {
            const fairness::Claim &claim = claims[portion.first];
            RC_ASSERT(portion.second >= claim.need - 1e-6 || portion.second / claim.weight >= level - 1e-6);
        }
    });
}

// Guards against items lost or invented by rounding.
TEST_CASE("whole items are divided without a rest", "[fairness]")
{
    CHECK(fairness::divideItems(10, {{"a", 9}, {"b", 9}, {"c", 9}}) == std::map<std::string, std::int64_t>{{"a", 4}, {"b", 3}, {"c", 3}});
    CHECK(fairness::divideItems(10, {{"a", 1}, {"b", 9}, {"c", 3}}) == std::map<std::string, std::int64_t>{{"a", 1}, {"b", 6}, {"c", 3}});
    CHECK(fairness::divideItems(20, {{"a", 1}, {"b", 9}, {"c", 3}}) == std::map<std::string, std::int64_t>{{"a", 1}, {"b", 9}, {"c", 3}});
}

// Guards against shares by one resource only, and against debts that grow in a pool that isn't full or never decay.
TEST_CASE("the share is the dominant one, and a debt grows by the excess and decays in seconds", "[fairness]")
{
    fairness::ShareTable table;
    table.setCapacity("pool", {16'000, 32'000, 0});
    table.add("pool", "a", {4'000, 16'000, 0});
    table.add("pool", "b", {8'000, 1'000, 0});
    CHECK(table.share("pool", "a") == Approx(0.5));
    CHECK(table.share("pool", "b") == Approx(0.5));
    CHECK(table.share("pool", "b", {4'000, 0, 0}) == Approx(0.75));
    CHECK(table.share("other", "a") == Approx(0.0));
    table.updateDebts("pool", {{"a", 0.3}, {"b", 0.6}}, start);
    CHECK(table.debt("pool", "a") == Approx(0.0));
    for (int step = 1; step <= 200; ++step) {
        table.updateDebts("pool", {{"a", 0.3}, {"b", 0.6}}, start + step * std::chrono::milliseconds{100});
    }
    CHECK(table.debt("pool", "a") == Approx(0.2).epsilon(0.01));
    CHECK(table.debt("pool", "b") == Approx(0.0));
    table.updateDebts("pool", {}, start + std::chrono::seconds{22});
    CHECK(table.debt("pool", "a") == Approx(0.2 * std::exp(-1.0)).epsilon(0.01));
    table.add("pool", "a", {-4'000, -16'000, 0});
    CHECK(table.share("pool", "a") == Approx(0.0));
}

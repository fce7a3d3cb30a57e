#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <iostream>
#include <queue>

#include "oleanderwick/routing/routing.hpp"

namespace core = oleanderwick::core;
namespace routing = oleanderwick::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t slots = 8;
const core::TimePoint start{std::chrono::hours{1}};

const routing::UpstreamTable::SlotsOf allSlots = [](const core::InstanceId &) {
    return slots;
};

core::InstanceId instance(std::size_t index)
{
    return core::InstanceId{"i" + std::to_string(index)};
}

routing::UpstreamTable tableOf(std::size_t count, const std::vector<std::string> &zones = {"a"})
{
    std::vector<routing::UpstreamInfo> upstreams;
    for (std::size_t index = 0; index < count; ++index) {
        upstreams.push_back(routing::UpstreamInfo{instance(index), "127.0.0.1:" + std::to_string(9000 + index), zones[index % zones.size()], false});
    }
    routing::UpstreamTable table{"a"};
    table.assign(upstreams, start);
    return table;
}

/** Strategy for the choice among upstreams with free slots. */
using ChoiceStrategy = std::function<std::optional<core::InstanceId>(const routing::UpstreamTable &, core::TimePoint, routing::RandomEngine &)>;

struct Result {
    core::Duration p99{};
    double failed{0.0}; /**< Fraction of the requests that failed. */
};

/** Simulates ten upstreams of 8 slots at 40% load; one takes ten times as long, one fails after 1 ms. */
Result simulate(const ChoiceStrategy &choose)
{
    constexpr std::size_t count = 10;
    constexpr std::size_t slowIndex = 3;
    constexpr std::size_t failingIndex = 7;
    struct ScheduledEnd {
        core::TimePoint at;
        core::TimePoint startedAt;
        std::size_t upstream;
        bool operator>(const ScheduledEnd &other) const
        {
            return at > other.at;
        }
    };
    routing::UpstreamTable table = tableOf(count);
    routing::RandomEngine random{3};
    std::priority_queue<ScheduledEnd, std::vector<ScheduledEnd>, std::greater<>> ends;
    std::vector<core::Duration> totals;
    std::deque<core::TimePoint> waiting;
    std::size_t failures = 0;
    std::poisson_distribution<int> arrivals{0.8};
    for (core::TimePoint now = start; now < start + seconds{60}; now += milliseconds{1}) {
        for (; !ends.empty() && ends.top().at <= now; ends.pop()) {
            const ScheduledEnd &end = ends.top();
            const bool failed = end.upstream == failingIndex;
            table.observe(instance(end.upstream), failed, now - end.startedAt, now);
            table.finish(instance(end.upstream));
        }
        for (int left = arrivals(random); left > 0; --left) {
            waiting.push_back(now);
        }
        while (!waiting.empty()) {
            const std::optional<core::InstanceId> chosen = choose(table, now, random);
            if (!chosen) {
                break;
            }
            const std::size_t index = std::stoul(chosen->text().substr(1));
            const milliseconds run{index == failingIndex ? 1 : (index == slowIndex ? 400 : 40)};
            table.start(*chosen);
            ends.push(ScheduledEnd{now + run, now, index});
            failures += index == failingIndex ? 1 : 0;
            totals.push_back(now + run - waiting.front());
            waiting.pop_front();
        }
    }
    std::sort(totals.begin(), totals.end());
    return Result{totals[totals.size() * 99 / 100], static_cast<double>(failures) / static_cast<double>(totals.size())};
}

bool hasFreeSlot(const routing::UpstreamTable &table, std::size_t index)
{
    return table.running(instance(index)) < slots;
}

} // namespace

TEST_CASE("UpstreamTable has a lower p99 response time and failure rate than round robin and random with one slow and one failing upstream", "[routing]")
{
    const Result ours = simulate([](const routing::UpstreamTable &table, core::TimePoint now, routing::RandomEngine &random) {
        return table.choose(allSlots, core::InstanceId{}, now, random);
    });
    std::size_t turn = 0;
    const Result roundRobin = simulate([&turn](const routing::UpstreamTable &table, core::TimePoint, routing::RandomEngine &) {
        for (std::size_t tries = 0; tries < 10; ++tries) {
            const std::size_t index = ++turn % 10;
            if (hasFreeSlot(table, index)) {
                return std::optional{instance(index)};
            }
        }
        return std::optional<core::InstanceId>{};
    });
    const Result atRandom = simulate([](const routing::UpstreamTable &table, core::TimePoint, routing::RandomEngine &random) {
        for (std::size_t tries = 0; tries < 100; ++tries) {
            const std::size_t index = random() % 10;
            if (hasFreeSlot(table, index)) {
                return std::optional{instance(index)};
            }
        }
        return std::optional<core::InstanceId>{};
    });
    std::cout << "upstream choice p99 ms / failed: ours " << core::milliseconds(ours.p99) << " / " << ours.failed << ", round robin "
              << core::milliseconds(roundRobin.p99) << " / " << roundRobin.failed << ", random " << core::milliseconds(atRandom.p99) << " / " << atRandom.failed
              << '\n';
    CHECK(ours.p99 < roundRobin.p99);
    CHECK(ours.p99 < atRandom.p99);
    CHECK(ours.failed < roundRobin.failed / 2);
    CHECK(ours.failed < atRandom.failed / 2);
}

TEST_CASE("UpstreamTable prefers its own availability zone and falls back to others", "[routing]")
{
    routing::UpstreamTable table = tableOf(4, {"a", "b"});
    routing::RandomEngine random{1};
    for (std::uint32_t count = 0; count < 2 * slots; ++count) {
        const core::InstanceId chosen = table.choose(allSlots, core::InstanceId{}, start, random).value();
        CHECK(table.find(chosen)->zone == "a");
        table.start(chosen);
    }
    CHECK(table.find(table.choose(allSlots, core::InstanceId{}, start, random).value())->zone == "b");
}

TEST_CASE("UpstreamTable ejects upstreams after three failures in a row, at most half of them", "[routing]")
{
    routing::UpstreamTable table = tableOf(4);
    for (std::size_t index = 0; index < 4; ++index) {
        for (int failure = 0; failure < 3; ++failure) {
            table.observe(instance(index), true, milliseconds{1}, start);
        }
    }
    std::size_t usable = 0;
    for (std::size_t index = 0; index < 4; ++index) {
        usable += table.usable(instance(index), start) ? 1 : 0;
    }
    CHECK(usable == 2);
    CHECK(table.usable(instance(0), start + seconds{2}));
}

TEST_CASE("UpstreamTable starts an upstream slowly after its ejection", "[routing]")
{
    routing::UpstreamTable table = tableOf(1);
    routing::RandomEngine random{1};
    table.markLeaving(instance(0), start);
    CHECK_FALSE(table.choose(allSlots, core::InstanceId{}, start + seconds{9}, random).has_value());
    const core::TimePoint back = start + seconds{10};
    table.start(table.choose(allSlots, core::InstanceId{}, back, random).value());
    CHECK_FALSE(table.choose(allSlots, core::InstanceId{}, back, random).has_value());
    CHECK(table.choose(allSlots, core::InstanceId{}, back + seconds{5}, random).has_value());
}

TEST_CASE("UpstreamTable ejects an upstream briefly after one refusal and longer after two in a row", "[routing]")
{
    routing::UpstreamTable table = tableOf(1);
    table.markRefused(instance(0), start);
    CHECK_FALSE(table.usable(instance(0), start + milliseconds{499}));
    CHECK(table.usable(instance(0), start + milliseconds{500}));
    table.markRefused(instance(0), start + seconds{1});
    CHECK_FALSE(table.usable(instance(0), start + seconds{10}));
    table.observe(instance(0), false, milliseconds{1}, start + seconds{11});
    table.markRefused(instance(0), start + seconds{12});
    CHECK(table.usable(instance(0), start + seconds{13}));
}

TEST_CASE("UpstreamTable avoids the upstream of the previous attempt if there is another", "[routing]")
{
    routing::UpstreamTable two = tableOf(2);
    routing::RandomEngine random{1};
    for (int count = 0; count < 20; ++count) {
        CHECK(two.choose(allSlots, instance(0), start, random) == instance(1));
    }
    const routing::UpstreamTable one = tableOf(1);
    CHECK(one.choose(allSlots, instance(0), start, random) == instance(0));
}

TEST_CASE("RetryBudget limits retries to a tenth of the first attempts plus the starting balance", "[routing]")
{
    routing::RetryBudget budget;
    std::uint32_t retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.deposit();
        retries += budget.withdraw() ? 1 : 0;
    }
    CHECK(retries >= 100);
    CHECK(retries <= 103);
}

TEST_CASE("isIdempotent follows RFC 9110", "[routing]")
{
    CHECK(routing::isIdempotent("GET"));
    CHECK(routing::isIdempotent("PUT"));
    CHECK_FALSE(routing::isIdempotent("POST"));
    CHECK_FALSE(routing::isIdempotent("PATCH"));
}

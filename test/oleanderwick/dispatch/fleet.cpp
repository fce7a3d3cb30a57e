#include <catch2/catch.hpp>

#include <ctime>
#include <random>

#include "support/virtual_fleet.hpp"

namespace config = oleanderwick::config;
namespace core = oleanderwick::core;
namespace dispatch = oleanderwick::dispatch;
namespace routing = oleanderwick::routing;
using oleanderwick::test::DocumentBuilder;
using oleanderwick::test::FinishedRequest;
using oleanderwick::test::VirtualFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::size_t fleetSize = 7;

VirtualFleet::ExchangeOf runTimes(std::int64_t minMs, std::int64_t maxMs)
{
    return [minMs, maxMs](const dispatch::StartAttempt &, std::mt19937_64 &random) {
        std::uniform_int_distribution<std::int64_t> run{minMs, maxMs};
        return VirtualFleet::SimulatedExchange{milliseconds{run(random)}, routing::ExchangeOutcome::Complete};
    };
}

/** Fraction of the running requests that belongs to each team, sampled every millisecond. */
struct UsageCounter {
    std::map<std::string, double> sums;

    void count(const VirtualFleet &fleet, const std::vector<std::string> &teams)
    {
        for (const std::string &team : teams) {
            sums[team] += fleet.running(team);
        }
    }

    [[nodiscard]] double fraction(const std::string &team) const
    {
        double all = 0;
        for (const std::pair<const std::string, double> &entry : sums) {
            all += entry.second;
        }
        return sums.at(team) / all;
    }
};

core::Duration percentile(std::vector<core::Duration> values, double fraction)
{
    REQUIRE_FALSE(values.empty());
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

std::vector<core::Duration> totals(const VirtualFleet &fleet, const std::string &queue, core::TimePoint from)
{
    std::vector<core::Duration> values;
    for (const FinishedRequest &completed : fleet.completed()) {
        if (completed.delivered && completed.queue.text() == queue && completed.arrival >= from) {
            values.push_back(completed.total);
        }
    }
    return values;
}

std::size_t delivered(const VirtualFleet &fleet)
{
    return static_cast<std::size_t>(std::count_if(fleet.completed().begin(), fleet.completed().end(), [](const FinishedRequest &completed) {
        return completed.delivered;
    }));
}

} // namespace

TEST_CASE("Dispatchers use a team's upper limit over the fleet and do not exceed it", "[dispatch]")
{
    VirtualFleet fleet{fleetSize, DocumentBuilder{}.pool("p", 10, 8).team("t", 1, 20).queue("q", "p", {"t"}).build(), runTimes(10, 90)};
    std::size_t turn = 0;
    fleet.runFor(seconds{10}, [&] {
        fleet.send(++turn % fleetSize, "q", "t");
    });
    CHECK(fleet.peakRunning("t") <= 20);
    CHECK(fleet.peakRunning("t") >= 19);
}

TEST_CASE("Dispatchers use the slots of an upstream over the fleet and do not exceed them", "[dispatch]")
{
    VirtualFleet fleet{fleetSize, DocumentBuilder{}.pool("p", 2, 8).team("t", 1, 1000).queue("q", "p", {"t"}).build(), runTimes(10, 90)};
    std::size_t turn = 0;
    fleet.runFor(seconds{5}, [&] {
        fleet.send(++turn % fleetSize, "q", "t");
    });
    CHECK(fleet.peakOn("p0") == 8);
    CHECK(fleet.peakOn("p1") == 8);
}

TEST_CASE("Dispatchers let one node use a team's whole upper limit within 2 s", "[dispatch]")
{
    VirtualFleet fleet{fleetSize, DocumentBuilder{}.pool("p", 50, 8).team("t", 1, 100).queue("q", "p", {"t"}).build(), runTimes(200, 200)};
    const std::function<void()> load = [&] {
        fleet.send(0, "q", "t");
    };
    fleet.runFor(seconds{2}, load);
    double sum = 0;
    int steps = 0;
    fleet.runFor(seconds{2}, [&] {
        load();
        sum += fleet.running("t");
        ++steps;
    });
    CHECK(sum / steps >= 97.0);
}

TEST_CASE("Dispatchers move a team's permits to the nodes that get its requests", "[dispatch]")
{
    const config::Document document = DocumentBuilder{}.pool("p", 20, 8).team("t", 1, 21).queue("q", "p", {"t"}).build();
    VirtualFleet fleet{fleetSize, document, runTimes(40, 40)};
    fleet.runFor(seconds{3}, [&] {
        fleet.send(0, "q", "t");
    });
    std::vector<std::size_t> delivered(fleetSize, 0);
    const std::size_t before = fleet.completed().size();
    std::size_t turn = 0;
    fleet.runFor(seconds{5}, [&] {
        fleet.send(++turn % fleetSize, "q", "t");
    });
    for (std::size_t index = before; index < fleet.completed().size(); ++index) {
        delivered[fleet.completed()[index].node] += fleet.completed()[index].delivered ? 1 : 0;
    }
    // 21 permits and runs of 40 ms allow 525 requests per second, or 375 on each node in 5 s.
    for (std::size_t node = 0; node < fleetSize; ++node) {
        CAPTURE(node);
        CHECK(delivered[node] >= 200);
    }
}

TEST_CASE("Dispatchers serve callers of every node when a team has fewer permits than nodes", "[dispatch]")
{
    const std::uint32_t limit = GENERATE(1U, 3U);
    const config::Document document = DocumentBuilder{}.pool("p", 2, 8).team("t", 1, limit).queue("q", "p", {"t"}, 20'000).build();
    VirtualFleet fleet{fleetSize, document, runTimes(20, 20)};
    std::vector<std::size_t> delivered(fleetSize, 0);
    std::size_t turn = 0;
    fleet.runFor(seconds{30}, [&] {
        if (++turn % 5 == 0) {
            fleet.send(turn / 5 % fleetSize, "q", "t");
        }
    });
    for (const FinishedRequest &completed : fleet.completed()) {
        delivered[completed.node] += completed.delivered ? 1 : 0;
    }
    for (std::size_t node = 0; node < fleetSize; ++node) {
        CAPTURE(node, limit);
        CHECK(delivered[node] >= 20);
    }
    CHECK(fleet.peakRunning("t") <= limit);
}

TEST_CASE("Dispatchers divide a full pool by share", "[dispatch]")
{
    const config::Document document =
        DocumentBuilder{}.pool("p", 10, 8).team("a", 1, 1000).team("b", 2, 1000).team("c", 5, 1000).queue("q", "p", {"a", "b", "c"}).build();
    const bool uneven = GENERATE(false, true);
    VirtualFleet fleet{fleetSize, document, runTimes(20, 60)};
    std::size_t turn = 0;
    const std::function<void()> load = [&] {
        ++turn;
        // Uneven: each team sends its requests to nodes that no other team uses.
        fleet.send(uneven ? 0 : turn % fleetSize, "q", "a");
        fleet.send(uneven ? 3 : turn % fleetSize, "q", "b");
        fleet.send(uneven ? 5 : turn % fleetSize, "q", "c");
        fleet.send(uneven ? 6 : turn % fleetSize, "q", "c");
    };
    fleet.runFor(seconds{5}, load);
    UsageCounter usage;
    fleet.runFor(seconds{10}, [&] {
        load();
        usage.count(fleet, {"a", "b", "c"});
    });
    CHECK(usage.fraction("a") == Approx(1.0 / 8).epsilon(0.03));
    CHECK(usage.fraction("b") == Approx(2.0 / 8).epsilon(0.03));
    CHECK(usage.fraction("c") == Approx(5.0 / 8).epsilon(0.03));
}

TEST_CASE("Dispatchers let a team use another team's idle share and return it on demand", "[dispatch]")
{
    const config::Document document = DocumentBuilder{}.pool("p", 10, 8).team("a", 1, 1000).team("b", 1, 1000).queue("q", "p", {"a", "b"}).build();
    VirtualFleet fleet{fleetSize, document, runTimes(50, 50)};
    std::size_t turn = 0;
    const std::function<void()> onlyA = [&] {
        fleet.send(++turn % fleetSize, "q", "a");
        fleet.send(++turn % fleetSize, "q", "a");
    };
    fleet.runFor(seconds{3}, onlyA);
    CHECK(fleet.running("a") >= 78);
    const std::function<void()> both = [&] {
        onlyA();
        fleet.send(turn % fleetSize, "q", "b");
        fleet.send((turn + 1) % fleetSize, "q", "b");
    };
    // The share has to be returned within the longest run of 50 ms plus 1 s.
    fleet.runFor(milliseconds{1050}, both);
    CHECK(fleet.running("b") >= 38);
}

TEST_CASE("A burst on one queue raises the p99 response time of another queue by at most a tenth", "[dispatch]")
{
    // 80 slots and three queues with a mean load of 15 slots each; in the burst, one needs five times as much. Together
    // that is more than the pool has.
    const config::Document document = DocumentBuilder{}
                                          .pool("p", 10, 8)
                                          .team("a", 1, 1000)
                                          .team("b", 1, 1000)
                                          .team("c", 1, 1000)
                                          .queue("steady", "p", {"a"})
                                          .queue("other", "p", {"c"})
                                          .queue("bursty", "p", {"b"}, 2000)
                                          .build();
    VirtualFleet fleet{fleetSize, document, runTimes(20, 60)};
    std::mt19937_64 random{11};
    const auto arrive = [&](const char *queue, const char *team, double perMs) {
        std::poisson_distribution<int> count{perMs};
        for (int left = count(random); left > 0; --left) {
            fleet.send(random() % fleetSize, queue, team);
        }
    };
    const auto load = [&](double burst) {
        return [&arrive, burst] {
            arrive("steady", "a", 15.0 / 40);
            arrive("other", "c", 15.0 / 40);
            arrive("bursty", "b", burst * 15.0 / 40);
        };
    };
    fleet.runFor(seconds{3}, load(1));
    const core::TimePoint before = fleet.now();
    fleet.runFor(seconds{10}, load(1));
    const core::Duration p99Before = percentile(totals(fleet, "steady", before), 0.99);
    const core::TimePoint burst = fleet.now();
    fleet.runFor(seconds{10}, load(5));
    const core::Duration p99Burst = percentile(totals(fleet, "steady", burst), 0.99);
    CAPTURE(p99Before.count(), p99Burst.count());
    CHECK(p99Burst.count() <= p99Before.count() * 11 / 10);
}

TEST_CASE("Goodput at five times the capacity is at least 95% of that at full load", "[dispatch]")
{
    const config::Document document = DocumentBuilder{}.pool("p", 5, 8).team("t", 1, 1000).queue("q", "p", {"t"}, 1000).build();
    const auto goodput = [&document](int factor) {
        VirtualFleet fleet{fleetSize, document, runTimes(40, 40)};
        std::size_t turn = 0;
        // 40 slots and runs of 40 ms allow 1000 requests per second, so one per millisecond fills the pool.
        const std::function<void()> load = [&] {
            for (int copy = 0; copy < factor; ++copy) {
                fleet.send(++turn % fleetSize, "q", "t");
            }
        };
        fleet.runFor(seconds{3}, load);
        const std::size_t start = delivered(fleet);
        fleet.runFor(seconds{5}, load);
        return static_cast<double>(delivered(fleet) - start);
    };
    const double once = goodput(1);
    const double fivefold = goodput(5);
    CAPTURE(once, fivefold);
    CHECK(fivefold >= 0.95 * once);
    CHECK(fivefold >= 0.9 * 5000);
}

TEST_CASE("Dispatchers deliver every request while the store is unavailable", "[dispatch]")
{
    VirtualFleet fleet{fleetSize, DocumentBuilder{}.pool("p", 10, 8).team("t", 1, 80).queue("q", "p", {"t"}).build(), runTimes(20, 60)};
    std::size_t turn = 0;
    const std::function<void()> load = [&] {
        fleet.send(++turn % fleetSize, "q", "t");
    };
    fleet.runFor(seconds{3}, load);
    fleet.setStoreUnavailable(true);
    const std::size_t count = fleet.completed().size();
    fleet.runFor(seconds{120}, load);
    const bool allDelivered =
        std::all_of(fleet.completed().begin() + static_cast<std::ptrdiff_t>(count), fleet.completed().end(), [](const FinishedRequest &completed) {
            return completed.delivered;
        });
    CHECK(allDelivered);
}

TEST_CASE("Retries add at most a tenth when every upstream fails", "[dispatch]")
{
    VirtualFleet fleet{
        1, DocumentBuilder{}.pool("p", 10, 8).team("t", 1, 80).queue("q", "p", {"t"}).build(), [](const dispatch::StartAttempt &, std::mt19937_64 &) {
            return VirtualFleet::SimulatedExchange{milliseconds{5}, routing::ExchangeOutcome::NotConnected};
        }};
    std::uint64_t sent = 0;
    fleet.runFor(seconds{60}, [&] {
        ++sent;
        fleet.send(0, "q", "t");
    });
    CHECK(static_cast<double>(fleet.attempts()) <= 1.1 * static_cast<double>(sent) + 10);
}

TEST_CASE("Reported outcomes match the actual runs over 100,000 requests with random failures", "[dispatch]")
{
    const config::Document document = DocumentBuilder{}.pool("p", 20, 16).team("t", 1, 2000).queue("q", "p", {"t"}, 2000).build();
    VirtualFleet fleet{
        fleetSize, document, [](const dispatch::StartAttempt &, std::mt19937_64 &random) {
            // A run that may continue keeps its permits until the deadline, so more failures would fill the pool.
            const bool succeeds = random() % 16 != 0;
            const std::size_t outcome = random() % routing::exchangeOutcomeCount;
            const milliseconds run{1 + random() % (random() % 500 == 0 ? 4000 : 60)};
            return VirtualFleet::SimulatedExchange{run, succeeds ? routing::ExchangeOutcome::Complete : static_cast<routing::ExchangeOutcome>(outcome)};
        }};
    std::mt19937_64 random{5};
    fleet.runFor(seconds{25}, [&] {
        for (int count = 0; count < 4; ++count) {
            fleet.send(random() % fleetSize, "q", "t", random() % 2 == 0);
        }
    });
    fleet.runFor(seconds{10}, [] {
    });
    REQUIRE(fleet.completed().size() == 100'000);
    std::size_t delivered = 0;
    std::size_t wrongNotRun = 0;
    std::size_t repeatedRuns = 0;
    std::size_t wrongDeliveries = 0;
    for (const FinishedRequest &completed : fleet.completed()) {
        delivered += completed.delivered ? 1 : 0;
        wrongNotRun += !completed.delivered && completed.refusal.outcome == core::Outcome::NotRun && completed.runs > 0 ? 1 : 0;
        repeatedRuns += !completed.idempotent && completed.runs > 1 ? 1 : 0;
        wrongDeliveries += completed.delivered && completed.lastOutcome != routing::ExchangeOutcome::Complete ? 1 : 0;
    }
    CHECK(wrongNotRun == 0);
    CHECK(repeatedRuns == 0);
    CHECK(wrongDeliveries == 0);
    CHECK(delivered > 50'000);
}

// Guards against permits that stay at the nodes of a zone that all callers have left, so that the team is short elsewhere.
TEST_CASE("Dispatchers serve a team's callers that all move to the nodes of another zone", "[dispatch]")
{
    const config::Document document = DocumentBuilder{}.pool("p", 20, 8).team("t", 1, 40).queue("q", "p", {"t"}).build();
    VirtualFleet fleet{fleetSize, document, runTimes(40, 40)};
    std::size_t turn = 0;
    const auto sendTo = [&fleet, &turn](std::size_t firstNode) {
        // 0.7 requests a millisecond need 28 of the 40 permits.
        return [&fleet, &turn, firstNode] {
            if (++turn % 10 < 7) {
                fleet.send(firstNode + turn % 3, "q", "t");
            }
        };
    };
    std::size_t firstNode = 0;
    for (int move = 0; move < 4; ++move) {
        // Permits may take 2 s to move. The 1,400 requests of that time are then served beside new ones by the 12 spare permits, in 4.7 s.
        const std::size_t moved = fleet.completed().size();
        fleet.runFor(seconds{7}, sendTo(firstNode));
        for (std::size_t index = moved; index < fleet.completed().size(); ++index) {
            CHECK(fleet.completed()[index].delivered);
            CHECK(fleet.completed()[index].total <= milliseconds{2100});
        }
        const std::size_t before = fleet.completed().size();
        fleet.runFor(seconds{4}, sendTo(firstNode));
        std::size_t delivered = 0;
        std::vector<core::Duration> times;
        for (std::size_t index = before; index < fleet.completed().size(); ++index) {
            delivered += fleet.completed()[index].delivered ? 1 : 0;
            times.push_back(fleet.completed()[index].total);
        }
        CAPTURE(move);
        CHECK(delivered == times.size());
        CHECK(delivered >= 2700);
        CHECK(percentile(times, 0.99) <= milliseconds{200});
        firstNode = firstNode == 0 ? 4 : 0;
    }
}

// Guards against work for each queue of a large configuration that keeps a node of 0.12 core from applying it within 5 s.
TEST_CASE("A dispatcher applies a configuration with 900 more queues in 0.5 s of processor time", "[dispatch]")
{
    constexpr double maxCpuS = 0.5;
    constexpr int queues = 900;
    DocumentBuilder builder = DocumentBuilder{}.pool("p", 350, 8).team("t", 1, 40).queue("q", "p", {"t"});
    VirtualFleet fleet{1, builder.build(), runTimes(40, 40)};
    for (int index = 0; index < queues; ++index) {
        builder.queue("more" + std::to_string(index), "p", {"t"});
    }
    config::Record record;
    record.version = 2;
    record.document = builder.build();
    const std::string text = config::toText(record);
    const std::clock_t start = std::clock();
    const absl::StatusOr<config::Record> read = config::recordFromText(text);
    REQUIRE(read.ok());
    fleet.applyConfiguration(read->document);
    const double cpuS = static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
    INFO("processor time in s: " << cpuS << ", bytes: " << text.size());
    CHECK(cpuS <= maxCpuS);
    fleet.send(0, "more" + std::to_string(queues - 1), "t");
    fleet.runFor(seconds{1}, [] {
    });
    REQUIRE(fleet.completed().size() == 1);
    CHECK(fleet.completed().front().delivered);
}

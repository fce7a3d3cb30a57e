#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>

#include "oleanderwick/admission/admission.hpp"

namespace admission = oleanderwick::admission;
namespace core = oleanderwick::core;

namespace
{

const core::TimePoint start{std::chrono::hours{1}};

core::TeamId team(std::size_t index)
{
    return core::TeamId{"t" + std::to_string(index)};
}

admission::QueuedRequest waiting(admission::RequestNumber number, std::size_t teamIndex, const std::string &queue = "q")
{
    return admission::QueuedRequest{number, team(teamIndex), core::QueueId{queue}, false, start, start + std::chrono::seconds{1}};
}

/** Reference implementation of weighted max-min fairness that assigns one slot at a time. */
std::vector<std::uint32_t> referenceParts(const std::vector<std::uint32_t> &weights, const std::vector<std::uint32_t> &demands, std::uint32_t slots)
{
    std::vector<std::uint32_t> parts(weights.size(), 0);
    for (std::uint32_t slot = 0; slot < slots; ++slot) {
        std::size_t best = weights.size();
        for (std::size_t index = 0; index < weights.size(); ++index) {
            const bool needsMore = parts[index] < demands[index];
            // Compares fractions by cross-multiplying whole numbers; the odd numerators are those of the Webster method.
            const std::uint64_t own = 2 * std::uint64_t{parts[index]} + 1;
            if (needsMore && (best == weights.size() || own * weights[best] < (2 * std::uint64_t{parts[best]} + 1) * weights[index])) {
                best = index;
            }
        }
        if (best == weights.size()) {
            break;
        }
        ++parts[best];
    }
    return parts;
}

} // namespace

TEST_CASE("FairQueue assigns slots like a reference implementation of weighted max-min fairness", "[admission]")
{
    const bool agrees = rc::check("each team has the same number of running requests", [] {
        const std::size_t teams = *rc::gen::inRange<std::size_t>(1, 9);
        const std::vector<std::uint32_t> weights = *rc::gen::container<std::vector<std::uint32_t>>(teams, rc::gen::inRange<std::uint32_t>(1, 8));
        const std::vector<std::uint32_t> demands = *rc::gen::container<std::vector<std::uint32_t>>(teams, rc::gen::inRange<std::uint32_t>(0, 30));
        const std::uint32_t slots = *rc::gen::inRange<std::uint32_t>(0, 100);
        admission::FairQueue queue;
        admission::RequestNumber number = 0;
        for (std::size_t index = 0; index < teams; ++index) {
            queue.setShare(team(index), weights[index]);
            for (std::uint32_t count = 0; count < demands[index]; ++count) {
                queue.push(waiting(++number, index));
            }
        }
        for (std::uint32_t slot = 0; slot < slots; ++slot) {
            (void)queue.pop([](const core::TeamId &) {
                return true;
            });
        }
        const std::vector<std::uint32_t> expected = referenceParts(weights, demands, slots);
        for (std::size_t index = 0; index < teams; ++index) {
            RC_ASSERT(queue.running(team(index)) == expected[index]);
        }
    });
    CHECK(agrees);
}

TEST_CASE("FairQueue scales a share by the part of the team's demand that is on this node", "[admission]")
{
    admission::FairQueue queue;
    queue.setShare(team(0), 1);
    queue.setShare(team(1), 1);
    // Half of the first team's demand is on other nodes, so its weight on this node is half that of the second team.
    queue.setRemoteDemand(team(0), 30);
    for (admission::RequestNumber number = 0; number < 30; ++number) {
        queue.push(waiting(2 * number, 0));
        queue.push(waiting(2 * number + 1, 1));
    }
    for (int slot = 0; slot < 15; ++slot) {
        (void)queue.pop([](const core::TeamId &) {
            return true;
        });
    }
    CHECK(queue.running(team(0)) == 5);
    CHECK(queue.running(team(1)) == 10);
}

TEST_CASE("FairQueue serves a team without a share last", "[admission]")
{
    admission::FairQueue queue;
    queue.setShare(team(1), 1);
    queue.push(waiting(1, 0));
    queue.push(waiting(2, 1));
    const admission::FairQueue::Eligible all = [](const core::TeamId &) {
        return true;
    };
    CHECK(queue.pop(all)->team == team(1));
    CHECK(queue.pop(all)->team == team(0));
    CHECK_FALSE(queue.pop(all).has_value());
}

TEST_CASE("FairQueue prefers the team's queue with the fewest running requests", "[admission]")
{
    admission::FairQueue queue;
    queue.setShare(team(0), 1);
    for (admission::RequestNumber number = 1; number <= 4; ++number) {
        queue.push(waiting(number, 0, "long"));
    }
    queue.push(waiting(5, 0, "short"));
    const admission::FairQueue::Eligible all = [](const core::TeamId &) {
        return true;
    };
    (void)queue.pop(all);
    CHECK(queue.pop(all)->queue == core::QueueId{"short"});
}

TEST_CASE("FairQueue serves an urgent request before the team's normal ones", "[admission]")
{
    admission::FairQueue queue;
    queue.setShare(team(0), 1);
    queue.push(waiting(1, 0));
    admission::QueuedRequest urgent = waiting(2, 0);
    urgent.urgent = true;
    queue.push(urgent);
    CHECK(queue
              .pop([](const core::TeamId &) {
                  return true;
              })
              ->number
          == 2);
}

TEST_CASE("FairQueue expires a request at its latest start", "[admission]")
{
    admission::FairQueue queue;
    queue.push(waiting(1, 0));
    CHECK(queue.expire(start + std::chrono::milliseconds{999}).empty());
    CHECK(queue.expire(start + std::chrono::seconds{1}).size() == 1);
    CHECK(queue.size() == 0);
}

TEST_CASE("FairQueue evicts the last request of the longest backlog only for a team with at least two requests fewer", "[admission]")
{
    admission::FairQueue queue;
    queue.push(waiting(1, 0));
    queue.push(waiting(2, 0));
    queue.push(waiting(3, 0));
    queue.push(waiting(4, 1));
    CHECK_FALSE(queue.evict(core::QueueId{"q"}, team(0)).has_value());
    CHECK(queue.evict(core::QueueId{"q"}, team(1))->number == 3);
    CHECK_FALSE(queue.evict(core::QueueId{"q"}, team(1)).has_value());
    CHECK(queue.size() == 3);
}

TEST_CASE("FairQueue erases a waiting request once", "[admission]")
{
    admission::FairQueue queue;
    queue.push(waiting(1, 0));
    CHECK(queue.erase(1)->number == 1);
    CHECK_FALSE(queue.erase(1).has_value());
    CHECK(queue.size() == 0);
}

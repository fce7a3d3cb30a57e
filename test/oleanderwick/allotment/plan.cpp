#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <numeric>

#include "oleanderwick/allotment/allotment.hpp"

namespace allotment = oleanderwick::allotment;
namespace core = oleanderwick::core;

namespace
{

const allotment::Group pool{allotment::Group::Kind::Pool, "p"};

allotment::TeamDemand demandOf(std::uint32_t running, std::uint32_t waiting)
{
    return allotment::TeamDemand{core::PoolId{"p"}, core::TeamId{"t"}, running, waiting, 0, 0};
}

core::NodeId node(std::size_t index)
{
    return core::NodeId{"n" + std::to_string(index)};
}

/** Reference implementation: assigns the capacity in small steps, each to the claimant with the least for its weight. */
std::vector<double> referenceParts(const std::vector<allotment::Claimant> &claimants, double capacity)
{
    constexpr double stepSize = 0.01;
    std::vector<double> parts(claimants.size(), 0.0);
    for (double left = capacity; left > 0.0; left -= stepSize) {
        std::size_t best = claimants.size();
        for (std::size_t index = 0; index < claimants.size(); ++index) {
            const bool needsMore = claimants[index].weight > 0.0 && parts[index] < claimants[index].demand;
            if (needsMore && (best == claimants.size() || parts[index] / claimants[index].weight < parts[best] / claimants[best].weight)) {
                best = index;
            }
        }
        if (best == claimants.size()) {
            break;
        }
        parts[best] += stepSize;
    }
    return parts;
}

} // namespace

TEST_CASE("fairParts agrees with a reference implementation of weighted max-min fairness", "[allotment]")
{
    const bool agrees = rc::check("each part is within a few steps of the reference", [] {
        const std::size_t count = *rc::gen::inRange<std::size_t>(1, 8);
        std::vector<allotment::Claimant> claimants;
        for (std::size_t index = 0; index < count; ++index) {
            claimants.push_back(allotment::Claimant{static_cast<double>(*rc::gen::inRange(1, 6)), static_cast<double>(*rc::gen::inRange(0, 20))});
        }
        const double capacity = *rc::gen::inRange(0, 60);
        const std::vector<double> parts = allotment::fairParts(claimants, capacity);
        const std::vector<double> reference = referenceParts(claimants, capacity);
        for (std::size_t index = 0; index < count; ++index) {
            RC_ASSERT(std::abs(parts[index] - reference[index]) < 0.2);
        }
    });
    CHECK(agrees);
}

TEST_CASE("fairParts serves a claimant of zero weight from the remaining capacity", "[allotment]")
{
    const std::vector<double> parts = allotment::fairParts({{0.0, 10.0}, {1.0, 4.0}}, 10.0);
    CHECK(parts[0] == Approx(6.0));
    CHECK(parts[1] == Approx(4.0));
}

TEST_CASE("Plan targets add up to the available permits", "[allotment]")
{
    const bool sound = rc::check("the targets of all nodes add up to the available permits", [] {
        allotment::PlanInput input;
        input.fleetSize = 7;
        input.shares[core::TeamId{"t"}] = 1;
        input.limits[core::TeamId{"t"}] = 1000;
        const std::uint32_t available = *rc::gen::inRange<std::uint32_t>(0, 100);
        input.available[pool] = available;
        allotment::NodeDemands demands;
        for (std::size_t index = 0; index < 7; ++index) {
            demands[node(index)] = {demandOf(*rc::gen::inRange<std::uint32_t>(0, 40), *rc::gen::inRange<std::uint32_t>(0, 40))};
        }
        const allotment::Plan plan{input, demands};
        std::uint32_t sum = 0;
        for (std::size_t index = 0; index < 7; ++index) {
            sum += plan.target(pool, node(index));
        }
        RC_ASSERT(sum == available);
    });
    CHECK(sound);
}

TEST_CASE("Plan raises the target of a node with a long backlog and few running requests", "[allotment]")
{
    allotment::PlanInput input;
    input.fleetSize = 7;
    input.available[pool] = 320;
    allotment::NodeDemands demands;
    demands[node(0)] = {demandOf(2, 900)};
    for (std::size_t index = 1; index < 7; ++index) {
        demands[node(index)] = {demandOf(50, 100)};
    }
    // An even part is 320 / 7, rounded down to 45.
    CHECK(allotment::Plan{input, demands}.target(pool, node(0)) >= 10);
}

#include "plan.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oleanderwick::allotment
{

namespace internal
{

/** Floating-point sums of target permits may fall short of a whole number by this much. */
constexpr double sumTolerance = 1e-6;
/** Seconds added to the waiting time of a node that already uses a scarce permit. */
constexpr double keepBonusS = 0.5;

/** Serves either the claimants of positive weight by weight, or those without weight equally; returns the capacity left over. */
double fill(const std::vector<Claimant> &claimants, bool weighted, double capacity, std::vector<double> &parts)
{
    const auto weightOf = [weighted](const Claimant &claimant) {
        return weighted ? claimant.weight : (claimant.weight > 0.0 ? 0.0 : 1.0);
    };
    std::vector<std::size_t> order(claimants.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::erase_if(order, [&](std::size_t index) {
        return weightOf(claimants[index]) <= 0.0;
    });
    std::sort(order.begin(), order.end(), [&](std::size_t one, std::size_t two) {
        return claimants[one].demand * weightOf(claimants[two]) < claimants[two].demand * weightOf(claimants[one]);
    });
    double weights = 0.0;
    for (const std::size_t index : order) {
        weights += weightOf(claimants[index]);
    }
    for (const std::size_t index : order) {
        const double weight = weightOf(claimants[index]);
        parts[index] = std::min(claimants[index].demand, capacity * weight / weights);
        capacity -= parts[index];
        weights -= weight;
    }
    return capacity;
}

/** @brief Demand for one pool: totals by team, and by team on each node. */
struct PoolDemand {
    std::map<core::TeamId, double> teams;
    std::map<core::NodeId, std::map<core::TeamId, double>> nodes;
};

} // namespace internal

std::uint32_t TeamDemand::requested(std::uint32_t evenPermits) const noexcept
{
    // A node asks for permits for at most twice its running requests, as asking for a whole backlog would make permits
    // oscillate between nodes. It may always ask for `evenPermits / 2` or `minStep` more than are running; otherwise a
    // node with few permits would keep few, however many requests wait there. `recentPeak` is the least it asks for.
    constexpr std::uint32_t minStep = 4;
    const std::uint32_t step = std::max({running, evenPermits / 2, minStep});
    return std::max(recentPeak, running + std::min(waiting, step));
}

std::uint32_t evenPart(const PlanInput &input, const Group &group)
{
    const auto available = input.available.find(group);
    return available == input.available.end() ? 0 : available->second / static_cast<std::uint32_t>(std::max<std::size_t>(1, input.fleetSize));
}

std::vector<double> fairParts(const std::vector<Claimant> &claimants, double capacity)
{
    std::vector<double> parts(claimants.size(), 0.0);
    const double left = internal::fill(claimants, true, capacity, parts);
    internal::fill(claimants, false, left, parts);
    return parts;
}

Plan::Plan(const PlanInput &input, const NodeDemands &demands)
{
    divideTeams(input, demands);
    dividePools(input, demands);
    for (const std::pair<const Group, std::uint32_t> &group : input.available) {
        spreadUnclaimed(input, group.first, demands);
    }
    recordWaits(demands);
    roundTargets(input);
}

void Plan::recordWaits(const NodeDemands &demands)
{
    for (const std::pair<const core::NodeId, std::vector<TeamDemand>> &node : demands) {
        for (const TeamDemand &demand : node.second) {
            // A node keeps its permits for a short time, as otherwise a permit would move with each request.
            const double waitS = demand.oldestWaitMs / 1000.0 + (demand.running > 0 ? internal::keepBonusS : 0.0);
            double &team = m_waitSeconds[Group{Group::Kind::Team, demand.team.text()}][node.first];
            double &pool = m_waitSeconds[Group{Group::Kind::Pool, demand.pool.text()}][node.first];
            team = std::max(team, waitS);
            pool = std::max(pool, waitS);
        }
    }
}

void Plan::roundTargets(const PlanInput &input)
{
    // Largest remainder method with ties in the order of node names: nodes with the same view compute the same targets.
    for (const std::pair<const Group, Targets> &group : m_targets) {
        double sum = 0.0;
        std::uint32_t assigned = 0;
        std::vector<std::pair<double, core::NodeId>> remainders;
        std::map<core::NodeId, std::uint32_t> &wholeTargets = m_wholeTargets[group.first];
        // With fewer permits than nodes with demand, the nodes whose requests have waited longest come first.
        Targets &waitSeconds = m_waitSeconds[group.first];
        const bool scarce = input.available.contains(group.first) && input.available.at(group.first) < waitSeconds.size();
        for (const std::pair<const core::NodeId, double> &node : group.second) {
            const double whole = std::floor(node.second);
            sum += node.second;
            assigned += static_cast<std::uint32_t>(whole);
            wholeTargets[node.first] = static_cast<std::uint32_t>(whole);
            remainders.emplace_back(scarce ? -waitSeconds[node.first] : whole - node.second, node.first);
        }
        std::sort(remainders.begin(), remainders.end());
        const std::uint32_t total = static_cast<std::uint32_t>(std::floor(sum + internal::sumTolerance));
        for (std::size_t index = 0; index < remainders.size() && assigned < total; ++index) {
            ++wholeTargets[remainders[index].second];
            ++assigned;
        }
    }
}

void Plan::divideTeams(const PlanInput &input, const NodeDemands &demands)
{
    std::map<core::TeamId, double> totals;
    std::map<core::TeamId, Targets> byNode;
    for (const std::pair<const core::NodeId, std::vector<TeamDemand>> &node : demands) {
        for (const TeamDemand &demand : node.second) {
            const double requested = demand.requested(evenPart(input, Group{Group::Kind::Team, demand.team.text()}));
            totals[demand.team] += requested;
            byNode[demand.team][node.first] += requested;
        }
    }
    for (std::pair<const core::TeamId, Targets> &team : byNode) {
        const Group group{Group::Kind::Team, team.first.text()};
        const auto available = input.available.find(group);
        if (available == input.available.end()) {
            continue;
        }
        const double total = totals[team.first];
        const double fraction = total > available->second ? available->second / total : 1.0;
        for (std::pair<const core::NodeId, double> &node : team.second) {
            node.second *= fraction;
        }
        m_targets.emplace(group, std::move(team.second));
    }
}

void Plan::dividePools(const PlanInput &input, const NodeDemands &demands)
{
    std::map<core::PoolId, internal::PoolDemand> pools;
    for (const std::pair<const core::NodeId, std::vector<TeamDemand>> &node : demands) {
        for (const TeamDemand &demand : node.second) {
            const double requested = demand.requested(evenPart(input, Group{Group::Kind::Pool, demand.pool.text()}));
            pools[demand.pool].teams[demand.team] += requested;
            pools[demand.pool].nodes[node.first][demand.team] += requested;
        }
    }
    for (const std::pair<const core::PoolId, internal::PoolDemand> &pool : pools) {
        const Group group{Group::Kind::Pool, pool.first.text()};
        const auto available = input.available.find(group);
        if (available == input.available.end()) {
            continue;
        }
        std::vector<Claimant> claimants;
        for (const std::pair<const core::TeamId, double> &team : pool.second.teams) {
            const auto share = input.shares.find(team.first);
            const auto limit = input.limits.find(team.first);
            const double maxDemand = limit == input.limits.end() ? team.second : std::min<double>(team.second, limit->second);
            claimants.push_back(Claimant{share == input.shares.end() ? 1.0 : share->second, maxDemand});
        }
        const std::vector<double> parts = fairParts(claimants, available->second);
        std::map<core::TeamId, double> grantedFraction;
        std::size_t index = 0;
        for (const std::pair<const core::TeamId, double> &team : pool.second.teams) {
            grantedFraction[team.first] = team.second > 0.0 ? parts[index] / team.second : 0.0;
            ++index;
        }
        Targets &targets = m_targets[group];
        for (const std::pair<const core::NodeId, std::map<core::TeamId, double>> &node : pool.second.nodes) {
            for (const std::pair<const core::TeamId, double> &team : node.second) {
                targets[node.first] += team.second * grantedFraction[team.first];
            }
        }
    }
}

void Plan::spreadUnclaimed(const PlanInput &input, const Group &group, const NodeDemands &demands)
{
    Targets &targets = m_targets[group];
    double used = 0.0;
    for (const std::pair<const core::NodeId, double> &node : targets) {
        used += node.second;
    }
    const double unclaimed = std::max(0.0, input.available.at(group) - used);
    const double part = unclaimed / static_cast<double>(std::max(input.fleetSize, demands.size()));
    for (const std::pair<const core::NodeId, std::vector<TeamDemand>> &node : demands) {
        targets[node.first] += part;
    }
}

std::uint32_t Plan::target(const Group &group, const core::NodeId &node) const
{
    const auto targets = m_wholeTargets.find(group);
    if (targets == m_wholeTargets.end()) {
        return 0;
    }
    const auto found = targets->second.find(node);
    return found == targets->second.end() ? 0 : found->second;
}

} // namespace oleanderwick::allotment

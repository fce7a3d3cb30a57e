#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::allotment
{

/** @brief Interchangeable limits: a team's upper limit alone, or all instances of a pool. */
struct Group {
    /** @brief Kind of group. */
    enum class Kind : std::uint8_t {
        Team,
        Pool,
    };

    Kind kind{Kind::Team};
    std::string name;

    [[nodiscard]] auto operator<=>(const Group &) const = default;
    [[nodiscard]] bool operator==(const Group &) const = default;
};

/** @brief Running and waiting requests of one team for one pool on one node. */
struct TeamDemand {
    core::PoolId pool;
    core::TeamId team;
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t recentPeak{0}; /**< Recent peak of running requests; decays over time. */
    std::uint32_t oldestWaitMs{0}; /**< Longest waiting time of the requests at the front of the team's queues, in milliseconds. */

    /**
     * @brief Returns how many permits the team can use soon; a backlog counts only in part.
     * @param evenPermits Permits of one node if all nodes had the same number.
     * @return Permits to request.
     */
    [[nodiscard]] std::uint32_t requested(std::uint32_t evenPermits) const noexcept;

    [[nodiscard]] bool operator==(const TeamDemand &) const = default;
};

/** @brief Demands of each live node. */
using NodeDemands = std::map<core::NodeId, std::vector<TeamDemand>>;

/** @brief One of several claimants to a shared capacity. */
struct Claimant {
    double weight{0.0}; /**< A claimant of zero weight gets only capacity that the others leave unused. */
    double demand{0.0}; /**< Maximum capacity that it can use. */

    [[nodiscard]] bool operator==(const Claimant &) const = default;
};

/**
 * @brief Divides a capacity by weighted max-min fairness.
 * @param claimants Claimants with their weights and demands.
 * @param capacity Capacity to divide.
 * @return Part of each claimant in the same order, at most its demand.
 */
[[nodiscard]] std::vector<double> fairParts(const std::vector<Claimant> &claimants, double capacity);

/** @brief Permits to divide, and the weights and limits of the teams. */
struct PlanInput {
    std::map<core::TeamId, std::uint32_t> shares; /**< Weight of each team; a team without an entry weighs one. */
    std::map<core::TeamId, std::uint32_t> limits; /**< Upper limit of each team; a team without an entry is not limited. */
    std::map<Group, std::uint32_t> available; /**< Permits that live nodes hold or can claim. */
    std::size_t fleetSize{1}; /**< Number of nodes that the fleet is configured for. */
};

/**
 * @brief Returns the permits of one node if a group were divided evenly.
 * @param input Permits to divide and size of the fleet.
 * @param group Group to look up.
 * @return Available permits over the size of the fleet, rounded down; zero for an unknown group.
 */
[[nodiscard]] std::uint32_t evenPart(const PlanInput &input, const Group &group);

/** @brief Target number of permits of each group for each node. */
class Plan
{
public:
    Plan() = default;

    /**
     * @brief Divides the permits by demand.
     *
     * A pool's slots are divided among the teams by weighted max-min fairness over the fleet, and a team's slots among
     * the nodes in proportion to its demand on each. Slots without demand are spread evenly. About linear in demands plus groups times nodes.
     *
     * @param input Permits to divide.
     * @param demands Demands of each live node.
     */
    Plan(const PlanInput &input, const NodeDemands &demands);

    /**
     * @brief Returns how many permits a node should hold.
     * @param group Group to look up.
     * @param node Node to look up.
     * @return Target, zero for an unknown group or node; the targets of all nodes add up to at most the available permits.
     */
    [[nodiscard]] std::uint32_t target(const Group &group, const core::NodeId &node) const;

private:
    using Targets = std::map<core::NodeId, double>;

    void divideTeams(const PlanInput &input, const NodeDemands &demands);
    void dividePools(const PlanInput &input, const NodeDemands &demands);
    void recordWaits(const NodeDemands &demands);
    void roundTargets(const PlanInput &input);
    void spreadUnclaimed(const PlanInput &input, const Group &group, const NodeDemands &demands);

    std::map<Group, Targets> m_targets;
    std::map<Group, Targets> m_waitSeconds; /**< Longest `oldestWaitMs` of each node's demands, in seconds, plus the bonus of a node that uses permits. */
    std::map<Group, std::map<core::NodeId, std::uint32_t>> m_wholeTargets;
};

} // namespace oleanderwick::allotment

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

/** @brief Units that serve the same need: a team's limit alone, or all instances of a pool. */
struct Group {
    /** @brief Kind of need. */
    enum class Kind : std::uint8_t {
        Team,
        Pool,
    };

    Kind kind{Kind::Team};
    std::string name;

    [[nodiscard]] auto operator<=>(const Group &) const = default;
    [[nodiscard]] bool operator==(const Group &) const = default;
};

/** @brief What one team has and wants in one pool on one node. */
struct TeamDemand {
    core::PoolId pool;
    core::TeamId team;
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t recent{0}; /**< Most that was asked of late. */
    std::uint32_t waitedMs{0}; /**< Time that the oldest waiting one has waited, in milliseconds. */

    /**
     * @brief Tells how many rights the team can put to use soon; a backlog does not call for a right for each request.
     * @param even A node's even part of the rights.
     * @return Rights asked for.
     */
    [[nodiscard]] std::uint32_t asked(std::uint32_t even) const noexcept;

    [[nodiscard]] bool operator==(const TeamDemand &) const = default;
};

/** @brief Demands of each live node. */
using NodeDemands = std::map<core::NodeId, std::vector<TeamDemand>>;

/** @brief One of several that share something. */
struct Claimant {
    double weight{0.0}; /**< Zero is served only from what others leave. */
    double demand{0.0}; /**< Most that it can use. */

    [[nodiscard]] bool operator==(const Claimant &) const = default;
};

/**
 * @brief Shares a capacity by weighted max-min.
 * @param claimants Those that share it.
 * @param capacity What there is.
 * @return Part of each, in the same order; none above its demand.
 */
[[nodiscard]] std::vector<double> fairShares(const std::vector<Claimant> &claimants, double capacity);

/** @brief What is to be divided. */
struct PlanInput {
    std::map<core::TeamId, std::uint32_t> shares; /**< Weight of each team. */
    std::map<core::TeamId, std::uint32_t> limits; /**< Upper limit of each team. */
    std::map<Group, std::uint32_t> available; /**< Rights that live nodes hold or could claim. */
    std::size_t fleetSize{1}; /**< Nodes that the fleet should have. */
};

/**
 * @brief Tells a node's even part of a group.
 * @param input What is to be divided.
 * @param group Group asked for.
 * @return Its part, rounded down; zero for unknown groups.
 */
[[nodiscard]] std::uint32_t evenPart(const PlanInput &input, const Group &group);

/** @brief Rights that each node should have of each group. */
class Plan
{
public:
    Plan() = default;

    /**
     * @brief Divides by demand.
     *
     * A pool's slots go to teams by weighted max-min over the fleet and from there to nodes by the team's demand on
     * each; what no demand claims is spread evenly. Linear in demands.
     *
     * @param input What is to be divided.
     * @param demands Demands of each live node.
     */
    Plan(const PlanInput &input, const NodeDemands &demands);

    /**
     * @brief Tells what a node should have.
     * @param group Group asked for.
     * @param node Node asked for.
     * @return Its part, zero for unknown ones; the parts of all nodes add up to what is available or less.
     */
    [[nodiscard]] std::uint32_t target(const Group &group, const core::NodeId &node) const;

private:
    using Targets = std::map<core::NodeId, double>;

    void divideTeams(const PlanInput &input, const NodeDemands &demands);
    void dividePools(const PlanInput &input, const NodeDemands &demands);
    void noteWaits(const NodeDemands &demands);
    void roundAll(const PlanInput &input);
    void spreadRest(const PlanInput &input, const Group &group, const NodeDemands &demands);

    std::map<Group, Targets> m_targets;
    std::map<Group, Targets> m_waits; /**< Seconds for which each node's oldest request has waited. */
    std::map<Group, std::map<core::NodeId, std::uint32_t>> m_rounded;
};

} // namespace oleanderwick::allotment

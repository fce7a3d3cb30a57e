#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "../core/core.hpp"

namespace oleanderwick::settings
{

/** @brief Settings of a node that schedules jobs for a platform. */
struct JobSettings {
    std::string node; /**< Name of the node. */
    std::string zone; /**< Availability zone of the node. */
    std::string callers; /**< IP number and port for submitters. */
    std::string readiness; /**< IP number and port for the balancer's question whether the node is ready. */
    std::string internal; /**< IP number and port for other nodes and for metrics. */
    std::vector<std::string> peers; /**< Internal addresses of other nodes; may be stale. */
    std::string store; /**< IP number and port of the platform's key-value service. */
    std::string instances; /**< IP number and port of the platform's instances; empty for none. */
    std::string advice; /**< IP number and port of the advice service; empty for none. */
    double processorShare{1.0}; /**< Cores that the node may use; larger nodes become owner first. */
    core::Duration longestLease{std::chrono::seconds{6}}; /**< Longest lease that a worker grants. */
    core::Duration orderPause{std::chrono::seconds{3}}; /**< Pause between the orders of two owners for one instance. */
    core::Duration keepEnded{std::chrono::seconds{120}}; /**< How long the state of an ended job can be read. */
    core::Duration stopTimeout{std::chrono::seconds{6}}; /**< Time that a stopping node has until it is killed. */
    double clearWithin{1.0}; /**< Pools are sized so that waiting work is under way within this many lengths of a task. */
    double arrivingWeight{1.0}; /**< Share of the demand of arriving jobs that pools are sized for ahead of its tasks. */
    double clearLateWithin{5.0}; /**< The same for work that misses its objective anyway. */
    core::Duration needLasts{std::chrono::milliseconds{1000}}; /**< How long a pool's need counts after it has fallen. */
    core::Duration parkAfter{std::chrono::milliseconds{1800}}; /**< How long an instance is of no use before it goes to standby. */
    double reserveInstances{1}; /**< Instances kept in each pool beyond its need. */

    [[nodiscard]] bool operator==(const JobSettings &) const = default;
};

/**
 * @brief Reads settings from YAML text.
 * @param text YAML.
 * @return The settings, or `InvalidArgument` with one line for each error.
 */
[[nodiscard]] absl::StatusOr<JobSettings> parseJobSettings(const std::string &text);

/**
 * @brief Tells whether YAML text holds settings of a node that schedules jobs.
 * @param text YAML.
 * @return True if it does.
 */
[[nodiscard]] bool isJobSettings(const std::string &text);

} // namespace oleanderwick::settings

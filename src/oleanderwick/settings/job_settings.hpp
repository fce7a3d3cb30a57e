#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "../core/core.hpp"

namespace oleanderwick::settings
{

/** @brief Settings of a node that schedules jobs on a platform. */
struct JobSettings {
    std::string node; /**< Name of the node. */
    std::string zone; /**< Availability zone of the node. */
    std::string callers; /**< IP address and port for submitters. */
    std::string readiness; /**< IP address and port for the load balancer's readiness check. */
    std::string internal; /**< IP address and port for other nodes and for metrics. */
    std::vector<std::string> peers; /**< Addresses of other nodes, of which only the host is used; may be outdated. */
    std::string store; /**< IP address and port of the platform's key-value service. */
    std::string instances; /**< IP address and port of the platform's instance service; empty for none. */
    std::string advice; /**< IP address and port of the advice service; empty for none. */
    core::ProcessLimits limits; /**< Memory and descriptors that the node may use; 0 for the default, see `core::processLimits`. */
    std::size_t reservedDescriptors{32}; /**< Descriptors that are not used for sockets. */
    double processorShare{1.0}; /**< CPU cores that the node may use; a node with less than 0.5 waits before it competes for ownership. */
    core::Duration longestLease{std::chrono::seconds{6}}; /**< Maximum duration of a lease that a worker grants. */
    core::Duration orderPause{std::chrono::seconds{3}}; /**< Delay between commands of different owners for one instance. */
    core::Duration keepEnded{std::chrono::seconds{120}}; /**< Time for which the state of an ended job stays readable. */
    core::Duration stopTimeout{std::chrono::seconds{6}}; /**< Time after which a stopping node is killed. */
    double clearWithin{1.0}; /**< Time within which waiting work should start, in task durations; pools are sized for it. */
    double arrivingWeight{1.0}; /**< Fraction of the demand estimated from arriving jobs that pools are sized for before the tasks are ready. */
    double clearLateWithin{5.0}; /**< As `clearWithin`, for work that will miss its objective in any case. */
    core::Duration needLasts{std::chrono::milliseconds{600}}; /**< Time for which a pool's need still counts after it has dropped. */
    core::Duration parkAfter{std::chrono::milliseconds{600}}; /**< Time for which a pool must have a surplus before one of its instances goes to standby. */
    core::Duration moveTime{}; /**< Time that the platform takes to move an instance; pools are sized for rising demand that far ahead, not at all if 0. */
    double reserveInstances{1}; /**< Number of instances kept in each pool beyond its need. */
    bool notifyOwner{false}; /**< Notify the owner of stored jobs and cancels, so that it knows of them while the store's watches are silent. */
    bool teamShares{false}; /**< Give room in full pools to teams by their weights, first for jobs within the rate of their team. */
    core::Duration teamRateWindow{std::chrono::seconds{5}}; /**< Time for whose jobs at its rate a team may have saved up. */
    bool attributeFailures{false}; /**< Tell tasks that fail on sound workers apart from workers that fail every task. */
    bool yieldLateWork{false}; /**< Stop late work while work that can meet its objective waits for its room. */
    double remoteFactor{1.0}; /**< Factor on the duration of a task away from the rack of its data; 1 if unknown. */
    bool refuseJobs{false}; /**< Refuse jobs that the fleet can't carry while it is overloaded; must be the same on all nodes. */
    double lateBoundFactor{3.0}; /**< Multiple of a job's objective after which its answer has no use. */

    [[nodiscard]] bool operator==(const JobSettings &) const = default;
};

/**
 * @brief Parses and validates settings.
 * @param text YAML text with a `scheduler` map.
 * @return The settings, or `InvalidArgument` with one line per error.
 */
[[nodiscard]] absl::StatusOr<JobSettings> parseJobSettings(const std::string &text);

/**
 * @brief Checks whether a settings file is for a node that schedules jobs.
 * @param text YAML text.
 * @return True if the text is valid YAML with an entry `scheduler`.
 */
[[nodiscard]] bool isJobSettings(const std::string &text);

} // namespace oleanderwick::settings

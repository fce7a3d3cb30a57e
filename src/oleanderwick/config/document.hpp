#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::config
{

/** @brief Group of instances that serve the same queues. */
struct Pool {
    std::uint32_t availabilityBudget{1}; /**< Maximum number of instances out of service at once. */

    [[nodiscard]] bool operator==(const Pool &) const = default;
};

/** @brief Upstream that runs the requests of a pool. */
struct Instance {
    core::PoolId pool; /**< Pool of the instance; an instance belongs to exactly one. */
    std::string address; /**< IP address and port, for example `127.0.0.1:9000`. */
    std::string zone; /**< Availability zone. */
    std::string rack; /**< Rack within the availability zone. */
    std::uint32_t slots{8}; /**< Maximum number of concurrent requests. */
    std::uint32_t connections{64}; /**< Maximum number of concurrent connections. */
    bool leaving{false}; /**< True if the instance gets no new work. */

    [[nodiscard]] bool operator==(const Instance &) const = default;
};

/** @brief Stored form of a team's API key; contains a digest, never the secret itself. */
struct TeamKey {
    std::string hash; /**< SHA-256 digest of the secret as 64 lower-case hex digits. */

    [[nodiscard]] bool operator==(const TeamKey &) const = default;
};

/** @brief Group of submitters with keys, a share and an upper limit. */
struct Team {
    std::uint32_t share{0}; /**< Weight in a full pool; a team with share 0 gets only capacity that others leave unused. */
    std::uint32_t upperLimit{0}; /**< Maximum number of requests running at once on the whole fleet. */
    std::map<core::KeyId, TeamKey> keys; /**< Valid keys by their public id. */

    [[nodiscard]] bool operator==(const Team &) const = default;
};

/** @brief Entry point through which teams submit requests to a pool. */
struct Queue {
    core::PoolId pool; /**< Pool that runs the requests. */
    std::vector<core::TeamId> teams; /**< Teams that may use the queue; ignored if `open` is set. */
    bool open{false}; /**< True if requests need no key. */
    std::uint32_t maxLength{1000}; /**< Maximum number of requests waiting on each node. */
    std::uint32_t timeoutMs{30'000}; /**< Maximum time from arrival to response, in milliseconds. */

    [[nodiscard]] bool operator==(const Queue &) const = default;
};

/** @brief Configuration of the whole fleet. */
struct Document {
    std::map<core::PoolId, Pool> pools;
    std::map<core::InstanceId, Instance> instances;
    std::map<core::TeamId, Team> teams;
    std::map<core::QueueId, Queue> queues;
    std::set<std::string> closedZones; /**< Availability zones whose instances get no new work, whether they have any or not. */

    [[nodiscard]] bool operator==(const Document &) const = default;
};

/** @brief Team to which all requests on open queues are attributed. */
[[nodiscard]] const core::TeamId &openTeam();

/** @brief Maximum of `Queue::timeoutMs`, in milliseconds. */
inline constexpr std::uint32_t maxQueueTimeoutMs = 120'000;

} // namespace oleanderwick::config

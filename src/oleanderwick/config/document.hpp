#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::config
{

/** @brief Group of instances that serve the same queues. */
struct Pool {
    std::uint32_t availabilityBudget{1}; /**< Most instances out of service at once. */

    [[nodiscard]] bool operator==(const Pool &) const = default;
};

/** @brief Machine that serves as an upstream. */
struct Instance {
    core::PoolId pool; /**< The one pool the instance is in. */
    std::string address; /**< IP number and port, `127.0.0.1:9000`. */
    std::string zone; /**< Availability zone. */
    std::string rack; /**< Rack within the availability zone. */
    std::uint32_t slots{8}; /**< Most requests at once. */
    std::uint32_t connections{64}; /**< Most connections at once. */
    bool leaving{false}; /**< True when it gets no new work. */

    [[nodiscard]] bool operator==(const Instance &) const = default;
};

/** @brief Key of a team as it is stored: never the secret itself. */
struct TeamKey {
    std::string hash; /**< Hex digest of the secret. */

    [[nodiscard]] bool operator==(const TeamKey &) const = default;
};

/** @brief Group of submitters with keys, a share and an upper limit. */
struct Team {
    std::uint32_t share{0}; /**< Weight when a pool is full; zero is served only from room that others leave. */
    std::uint32_t upperLimit{0}; /**< Most requests running at once over the whole fleet. */
    std::map<core::KeyId, TeamKey> keys; /**< Keys in force. */

    [[nodiscard]] bool operator==(const Team &) const = default;
};

/** @brief Where teams hand work into a pool. */
struct Queue {
    core::PoolId pool; /**< Pool that runs the work. */
    std::vector<core::TeamId> teams; /**< Teams that may use it; unused when open. */
    bool open{false}; /**< True when no key is asked for. */
    std::uint32_t maxLength{1000}; /**< Most requests waiting at each node. */
    std::uint32_t timeoutMs{30'000}; /**< Longest time from arrival to answer, in milliseconds. */

    [[nodiscard]] bool operator==(const Queue &) const = default;
};

/** @brief The fleet's whole configuration. */
struct Document {
    std::map<core::PoolId, Pool> pools;
    std::map<core::InstanceId, Instance> instances;
    std::map<core::TeamId, Team> teams;
    std::map<core::QueueId, Queue> queues;

    [[nodiscard]] bool operator==(const Document &) const = default;
};

/** @brief Team that work on open queues is counted for. */
[[nodiscard]] const core::TeamId &openTeam();

/** @brief Longest timeout that a queue may have, in milliseconds. */
inline constexpr std::uint32_t maxQueueTimeoutMs = 120'000;

} // namespace oleanderwick::config

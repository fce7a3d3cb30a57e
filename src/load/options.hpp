#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace oleanderwick::load
{

/** @brief One stream of requests to one queue. */
struct Stream {
    std::string name; /**< Name in the report. */
    std::string target; /**< Path with the queue. */
    std::string key; /**< Key to show, or empty. */
    double perSecond{0.0}; /**< Mean rate. */
    double burst{1.0}; /**< Factor on the rate while its turn lasts. */

    [[nodiscard]] bool operator==(const Stream &) const = default;
};

/** @brief What a run does. */
struct Options {
    std::vector<std::string> addresses; /**< Nodes, taken in turn; only loopback is allowed. */
    std::vector<Stream> streams;
    std::chrono::milliseconds length{5000};
    std::chrono::milliseconds turn{0}; /**< Time for which each stream bursts in its turn; zero for no bursts. */
    std::uint32_t connections{64};
    std::uint64_t seed{1};
    bool closedLoop{false}; /**< Each connection sends again at once; rates are not used. */

    [[nodiscard]] bool operator==(const Options &) const = default;
};

} // namespace oleanderwick::load

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
    std::string target; /**< Path that addresses the queue. */
    std::string key; /**< Key sent as bearer token; empty for none. */
    double perSecond{0.0}; /**< Mean rate in requests per second. */
    double burst{1.0}; /**< Factor on the rate during the stream's turn; without turns it has no effect. */

    [[nodiscard]] bool operator==(const Stream &) const = default;
};

/** @brief Settings of a run. */
struct Options {
    std::vector<std::string> addresses; /**< Addresses of nodes, assigned to the connections in turn; only 127.0.0.0/8 is allowed. */
    std::vector<Stream> streams;
    std::chrono::milliseconds length{5000}; /**< Time during which requests are sent. */
    std::chrono::milliseconds turn{0}; /**< Time for which each stream bursts in its turn; otherwise it sends at 5 % of its rate. Zero for steady rates. */
    std::uint32_t connections{64}; /**< Number of persistent connections. */
    std::uint64_t seed{1};
    bool closedLoop{false}; /**< Each connection sends its next request as soon as the last has ended; rates are ignored. */

    [[nodiscard]] bool operator==(const Options &) const = default;
};

} // namespace oleanderwick::load

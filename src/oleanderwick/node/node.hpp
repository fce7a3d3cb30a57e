#pragma once

/** @file
 * @brief Node that forwards requests, with its threads and servers, from start to graceful stop.
 */

#include <memory>

#include <absl/status/status.h>

#include "../settings/settings.hpp"
#include "fwd.hpp"

namespace oleanderwick::node
{

/** @brief Node that forwards callers' requests to upstreams; the daemon merely loads the settings and runs it. */
class Node
{
public:
    /**
     * @brief Creates a node without starting it.
     * @param settings Validated settings.
     */
    explicit Node(settings::Settings settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /**
     * @brief Serves until the process receives a stop signal, then stops gracefully.
     * @return Ok after the stop, or the error of the address that could not be listened on.
     */
    [[nodiscard]] absl::Status run();

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace oleanderwick::node

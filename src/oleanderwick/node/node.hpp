#pragma once

/** @file
 * @brief One entry node: its duties and servers, from start to graceful stop.
 */

#include <memory>

#include <absl/status/status.h>

#include "../settings/settings.hpp"
#include "fwd.hpp"

namespace oleanderwick::node
{

/** @brief Runs one node; the daemon is a thin shell around it. */
class Node
{
public:
    /**
     * @brief Prepares a node.
     * @param settings Checked settings.
     */
    explicit Node(settings::Settings settings);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /**
     * @brief Serves until the process is asked to stop, then ends gracefully.
     * @return Why it could not start, or ok.
     */
    [[nodiscard]] absl::Status run();

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace oleanderwick::node

#pragma once

#include "../core/core.hpp"
#include "server.hpp"

namespace oleanderwick::http
{

/**
 * @brief Divides what a process may use among its listeners.
 *
 * Requests may hold a quarter of the memory, and idle connections an eighth; three quarters of the sockets are for listeners. The rest
 * is left to the process: its own connections, responses, and what it knows.
 * @param process Memory of the process, and descriptors that it may use for sockets.
 * @param share Part of the listeners' room that belongs to this one and that others can't take; above 0 and at most 1.
 * @param limits Limits of the listener, of which those on all connections together are replaced.
 * @return Limits of the listener with its share.
 */
[[nodiscard]] ServerLimits divideLimits(const core::ProcessLimits &process, double share, ServerLimits limits = {});

/**
 * @brief Returns how many connections a listener may have beside those of the process itself.
 * @param process Descriptors that the process may use for sockets.
 * @param ownConnections Connections that the process has made itself; a sixteenth of the sockets is kept free for more of them.
 * @param share Share of the listener, as for `divideLimits`.
 * @return Number of connections; not below the least that `divideLimits` gives to a listener.
 */
[[nodiscard]] std::size_t connectionsBeside(const core::ProcessLimits &process, std::size_t ownConnections, double share);

/**
 * @brief Returns the memory of responses to the process's own requests.
 * @param process Memory of the process.
 * @return An eighth of it, but enough for two of the largest responses.
 */
[[nodiscard]] std::size_t responseBytes(const core::ProcessLimits &process);

} // namespace oleanderwick::http

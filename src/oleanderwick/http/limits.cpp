#include "limits.hpp"

#include <algorithm>

#include "upstream_links.hpp"

namespace oleanderwick::http
{

namespace internal
{

/** Memory of a connection with an ordinary request: its session, its buffer, headers and a small body. */
constexpr std::size_t connectionBytes = 8U << 10U;
constexpr std::size_t minConnections = 8;

std::size_t partOf(std::size_t whole, double share)
{
    return static_cast<std::size_t>(static_cast<double>(whole) * share);
}

} // namespace internal

ServerLimits divideLimits(const core::ProcessLimits &process, double share, ServerLimits limits)
{
    const std::size_t connections = std::min(process.descriptors / 4 * 3, process.memoryBytes / 8 / internal::connectionBytes);
    limits.maxConnections = std::max(internal::partOf(connections, share), internal::minConnections);
    // A single request of the largest size is always served.
    const std::size_t largestRequest = limits.maxBodyBytes * (limits.handlerBytesPerBodyByte + 2);
    limits.maxHeldBytes = std::max(internal::partOf(process.memoryBytes / 4, share), largestRequest);
    return limits;
}

std::size_t connectionsBeside(const core::ProcessLimits &process, std::size_t ownConnections, double share)
{
    const std::size_t kept = std::min(process.descriptors, ownConnections + process.descriptors / 16);
    return std::max(internal::partOf(process.descriptors - kept, share), internal::minConnections);
}

std::size_t responseBytes(const core::ProcessLimits &process)
{
    return std::max(process.memoryBytes / 8, 2 * Exchange{}.maxResponseBytes);
}

} // namespace oleanderwick::http

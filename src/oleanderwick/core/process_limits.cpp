#include "process_limits.hpp"

#include <algorithm>
#include <limits>

#include <sys/resource.h>
#include <unistd.h>

namespace oleanderwick::core
{

namespace internal
{

/** Soft limit of a resource, or the highest number if there is none. */
std::size_t softLimit(decltype(RLIMIT_AS) resource)
{
    rlimit limit{};
    if (::getrlimit(resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return static_cast<std::size_t>(limit.rlim_cur);
}

std::size_t machineMemoryBytes()
{
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    return pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : std::numeric_limits<std::size_t>::max();
}

} // namespace internal

ProcessLimits processLimits(const ProcessLimits &configured)
{
    ProcessLimits limits;
    const std::size_t fallback = std::min(defaultMemoryBytes, internal::machineMemoryBytes() / 2);
    limits.memoryBytes =
        std::min({configured.memoryBytes > 0 ? configured.memoryBytes : fallback, internal::softLimit(RLIMIT_AS), internal::softLimit(RLIMIT_DATA)});
    limits.descriptors = internal::softLimit(RLIMIT_NOFILE);
    if (configured.descriptors > 0) {
        limits.descriptors = std::min(limits.descriptors, configured.descriptors);
    }
    return limits;
}

} // namespace oleanderwick::core

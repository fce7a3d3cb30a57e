#pragma once

#include <cstddef>

namespace oleanderwick::core
{

/** @brief Memory and file descriptors that a process may use. */
struct ProcessLimits {
    std::size_t memoryBytes{};
    std::size_t descriptors{};

    [[nodiscard]] bool operator==(const ProcessLimits &) const = default;
};

/** @brief Memory that a process may use if its settings do not say, on a machine with at least twice as much. */
inline constexpr std::size_t defaultMemoryBytes = std::size_t{256} << 20U;

/**
 * @brief Finds out what this process may use.
 * @param configured Limits of the settings; 0 for the default: `defaultMemoryBytes`, but at most half of the machine's memory, and all descriptors.
 * @return The configured limits, or those that the system sets for the process (`RLIMIT_AS`, `RLIMIT_DATA`, `RLIMIT_NOFILE`) where they are lower.
 */
[[nodiscard]] ProcessLimits processLimits(const ProcessLimits &configured);

} // namespace oleanderwick::core

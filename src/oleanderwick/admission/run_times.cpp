#include "run_times.hpp"

#include <algorithm>

namespace oleanderwick::admission
{

namespace internal
{

/** Inverse of the weight of a new run in the moving mean. */
constexpr int inverseWeight = 16;

} // namespace internal

void RunTimes::observe(const core::QueueId &queue, core::Duration run)
{
    const auto [entry, inserted] = m_means.try_emplace(queue, run);
    if (!inserted) {
        entry->second += (run - entry->second) / internal::inverseWeight;
    }
}

core::Duration RunTimes::mean(const core::QueueId &queue) const
{
    const auto entry = m_means.find(queue);
    return entry == m_means.end() ? core::Duration::zero() : entry->second;
}

core::Duration RunTimes::expectedWait(const core::QueueId &queue, std::size_t ahead, std::uint32_t running) const
{
    const std::int64_t parallelRuns = std::max<std::uint32_t>(running, 1);
    return mean(queue) * static_cast<std::int64_t>(ahead) / parallelRuns;
}

} // namespace oleanderwick::admission

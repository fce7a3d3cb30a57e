#include "arrival_rate.hpp"

#include <algorithm>

namespace oleanderwick::jobs
{

namespace internal
{

/** Shows a rise early, and its end. */
constexpr core::Duration shortWindow = std::chrono::milliseconds{600};
/** Smooths jobs that come in clusters. */
constexpr core::Duration longWindow = std::chrono::milliseconds{1800};
/** One large job is no trend. */
constexpr std::size_t jobsForTrend = 3;
/** A rise counts for at most this many times what the long window shows, so that one cluster does not size a pool. */
constexpr std::int64_t steepestRise = 2;

} // namespace internal

void ArrivalRate::add(std::int64_t work, core::TimePoint now)
{
    while (!m_arrivals.empty() && now - m_arrivals.front().at > internal::longWindow) {
        m_arrivals.pop_front();
    }
    m_arrivals.push_back(Arrival{now, work});
}

std::int64_t ArrivalRate::cpu(core::TimePoint now) const
{
    std::int64_t shortWork = 0;
    std::int64_t longWork = 0;
    std::size_t shortJobs = 0;
    std::size_t longJobs = 0;
    for (const Arrival &arrival : m_arrivals) {
        const core::Duration age = now - arrival.at;
        longWork += age <= internal::longWindow ? arrival.work : 0;
        longJobs += age <= internal::longWindow ? 1 : 0;
        shortWork += age <= internal::shortWindow ? arrival.work : 0;
        shortJobs += age <= internal::shortWindow ? 1 : 0;
    }
    if (longJobs < internal::jobsForTrend || shortJobs == 0) {
        return 0;
    }
    const std::int64_t smooth = longWork / core::milliseconds(internal::longWindow);
    const std::int64_t recent = shortJobs < internal::jobsForTrend ? 0 : shortWork / core::milliseconds(internal::shortWindow);
    return std::max(smooth, std::min(recent, internal::steepestRise * smooth));
}

} // namespace oleanderwick::jobs

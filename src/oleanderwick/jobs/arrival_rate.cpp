#include "arrival_rate.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace oleanderwick::jobs
{

namespace internal
{

/** Windows of the estimate: a short one detects a rise early, a long one smooths bursts of jobs. */
constexpr std::array<core::Duration, 3> rateWindows{std::chrono::milliseconds{500}, std::chrono::milliseconds{1000}, std::chrono::milliseconds{2000}};
/** Length of each of the two windows whose numbers of jobs are compared for a trend. */
constexpr core::Duration trendWindow = std::chrono::milliseconds{1000};
/** Part of the standard deviation of a number of arrivals that is deducted from it in a trend. */
constexpr double trendDeduction = 0.5;
/** Part of a rise that is expected to go on until the time of the forecast: demand that rises also levels off. */
constexpr double lastingRise = 0.5;
/** Fewest jobs in a window that count as a trend; one large job does not. */
constexpr double minJobsForTrend = 3.0;

} // namespace internal

void ArrivalRate::add(std::int64_t work, core::TimePoint now)
{
    while (!m_arrivals.empty() && now - m_arrivals.front().at > internal::rateWindows.back()) {
        m_arrivals.pop_front();
    }
    m_arrivals.push_back(Arrival{now, work});
}

std::int64_t ArrivalRate::requiredCpu(core::TimePoint now) const
{
    double highest = 0.0;
    for (const core::Duration window : internal::rateWindows) {
        double work = 0.0;
        double jobs = 0.0;
        for (const Arrival &arrival : m_arrivals) {
            const bool inWindow = now - arrival.at <= window;
            work += inWindow ? static_cast<double>(arrival.work) : 0.0;
            jobs += inWindow ? 1.0 : 0.0;
        }
        if (jobs < internal::minJobsForTrend) {
            continue;
        }
        // The number of arrivals varies by about its square root, so that much is deducted.
        const double shareAfterDeduction = 1.0 - 1.0 / std::sqrt(jobs);
        highest = std::max(highest, shareAfterDeduction * work / static_cast<double>(core::milliseconds(window)));
    }
    return static_cast<std::int64_t>(highest);
}

std::int64_t ArrivalRate::forecastCpu(core::TimePoint now, core::Duration lead) const
{
    double recentJobs = 0.0;
    double formerJobs = 0.0;
    double work = 0.0;
    for (const Arrival &arrival : m_arrivals) {
        const core::Duration age = now - arrival.at;
        if (age <= 2 * internal::trendWindow) {
            (age <= internal::trendWindow ? recentJobs : formerJobs) += 1.0;
            work += static_cast<double>(arrival.work);
        }
    }
    const double jobs = recentJobs + formerJobs;
    const double rise = recentJobs - formerJobs - internal::trendDeduction * std::sqrt(jobs);
    if (jobs < internal::minJobsForTrend || rise <= 0.0) {
        return 0;
    }
    // The work of single jobs varies much more than their number, so the mean of all of them is used.
    const double workPerJob = work / jobs;
    const double windowMs = static_cast<double>(core::milliseconds(internal::trendWindow));
    // The recent window stands for its middle, half a window ago.
    const double windowsAhead = 0.5 + internal::lastingRise * static_cast<double>(core::milliseconds(lead)) / windowMs;
    const double expectedJobs = recentJobs - internal::trendDeduction * std::sqrt(recentJobs) + rise * windowsAhead;
    return static_cast<std::int64_t>(expectedJobs * workPerJob / windowMs);
}

} // namespace oleanderwick::jobs

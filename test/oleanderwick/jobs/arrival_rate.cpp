#include <catch2/catch.hpp>

#include "oleanderwick/jobs/arrival_rate.hpp"

using namespace oleanderwick;

namespace
{

constexpr core::Duration lead = std::chrono::milliseconds{1600};
constexpr std::int64_t workPerJob = 10'000'000;

/** Records jobs for two seconds, at a rate that changes evenly from one number a second to another; returns the time of the last one. */
core::TimePoint playArrivals(jobs::ArrivalRate &rate, double fromPerS, double toPerS)
{
    core::TimePoint now{std::chrono::seconds{100}};
    double due = 0.0;
    for (int step = 0; step < 2000; ++step) {
        now += std::chrono::milliseconds{1};
        due += (fromPerS + (toPerS - fromPerS) * step / 2000.0) / 1000.0;
        for (; due >= 1.0; due -= 1.0) {
            rate.add(workPerJob, now);
        }
    }
    return now;
}

/** Capacity that keeps up with a number of jobs a second, in thousandths of a core. */
std::int64_t cpuFor(double jobsPerS)
{
    return static_cast<std::int64_t>(jobsPerS * static_cast<double>(workPerJob) / 1000.0);
}

} // namespace

TEST_CASE("rising arrivals are forecast above their present rate, and not above a straight continuation", "[arrival_rate]")
{
    jobs::ArrivalRate rate;
    const core::TimePoint now = playArrivals(rate, 0.0, 40.0);
    CHECK(rate.forecastCpu(now, lead) > cpuFor(40.0));
    CHECK(rate.forecastCpu(now, lead) <= cpuFor(40.0 + 20.0 * 1.6));
    CHECK(rate.forecastCpu(now, lead) > rate.forecastCpu(now, {}));
}

TEST_CASE("no rise is forecast from steady or falling arrivals, or from single jobs", "[arrival_rate]")
{
    jobs::ArrivalRate steady;
    CHECK(steady.forecastCpu(playArrivals(steady, 30.0, 30.0), lead) == 0);
    jobs::ArrivalRate falling;
    CHECK(falling.forecastCpu(playArrivals(falling, 40.0, 5.0), lead) == 0);
    jobs::ArrivalRate single;
    const core::TimePoint now{std::chrono::seconds{100}};
    single.add(workPerJob, now);
    single.add(workPerJob, now);
    CHECK(single.forecastCpu(now, lead) == 0);
}

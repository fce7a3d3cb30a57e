#pragma once

#include <cstdint>
#include <deque>

#include "../core/core.hpp"

namespace oleanderwick::jobs
{

/** @brief Estimates from recent job arrivals how much CPU capacity keeps up with them. */
class ArrivalRate
{
public:
    /**
     * @brief Records the arrival of a job.
     * @param work Estimated work of the job, in thousandths of a core times milliseconds.
     * @param now Current time of the monotonic clock.
     */
    void add(std::int64_t work, core::TimePoint now);

    /**
     * @brief Estimates the capacity that arriving jobs need.
     * @param now Current time of the monotonic clock.
     * @return Thousandths of a core; 0 if too few jobs arrived for a trend.
     */
    [[nodiscard]] std::int64_t requiredCpu(core::TimePoint now) const;

    /**
     * @brief Estimates the capacity that arriving jobs will need if their rate keeps rising.
     * @param now Current time of the monotonic clock.
     * @param lead Time from now to which the estimate refers, such as that until an instance ordered now takes work.
     * @return Thousandths of a core; 0 unless the rise exceeds the usual variation of arrivals.
     */
    [[nodiscard]] std::int64_t forecastCpu(core::TimePoint now, core::Duration lead) const;

private:
    struct Arrival {
        core::TimePoint at;
        std::int64_t work{0};
    };

    std::deque<Arrival> m_arrivals; /**< Oldest first. */
};

} // namespace oleanderwick::jobs

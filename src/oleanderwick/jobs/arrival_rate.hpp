#pragma once

#include <cstdint>
#include <deque>

#include "../core/core.hpp"

namespace oleanderwick::jobs
{

/** @brief Estimates from the jobs of the last moments how many cores would keep up with those that arrive. */
class ArrivalRate
{
public:
    /**
     * @brief Takes in a job.
     * @param work Its work: thousandths of a core times milliseconds.
     * @param now Present time.
     */
    void add(std::int64_t work, core::TimePoint now);

    /**
     * @brief Estimates the demand.
     * @param now Present time.
     * @return Thousandths of a core; 0 while there is no trend.
     */
    [[nodiscard]] std::int64_t cpu(core::TimePoint now) const;

private:
    struct Arrival {
        core::TimePoint at;
        std::int64_t work{0};
    };

    std::deque<Arrival> m_arrivals; /**< Oldest first. */
};

} // namespace oleanderwick::jobs

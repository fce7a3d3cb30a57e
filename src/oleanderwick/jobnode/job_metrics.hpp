#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "../core/core.hpp"

namespace oleanderwick::jobnode
{

/** @brief Counters of events, gauges, and histograms of the time from submission to the end of a job by team and queue; not thread-safe. */
class JobMetrics
{
public:
    JobMetrics();
    ~JobMetrics();
    JobMetrics(const JobMetrics &) = delete;
    JobMetrics &operator=(const JobMetrics &) = delete;

    /**
     * @brief Counts an event.
     * @param event Kind of event; the value of the label `event`.
     */
    void count(const std::string &event);

    /**
     * @brief Records the duration of a job that has ended.
     * @param team Team of the job; empty on queues that are open to all teams.
     * @param queue Queue of the job.
     * @param duration Time from the submission of the job to its end.
     */
    void recordJob(const std::string &team, const std::string &queue, core::Duration duration);

    /**
     * @brief Sets a gauge.
     * @param name Name of the metric without the prefix `oleanderwick_`.
     * @param value New value.
     */
    void setGauge(const std::string &name, std::int64_t value);

    /** @return All metrics in the Prometheus text format, times in seconds. */
    [[nodiscard]] std::string toText() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "../core/core.hpp"

namespace oleanderwick::jobnode
{

/** @brief Counters of decisions, and histograms of the time from submission to the end of a job by team and queue; for one thread. */
class JobMetrics
{
public:
    JobMetrics();
    ~JobMetrics();
    JobMetrics(const JobMetrics &) = delete;
    JobMetrics &operator=(const JobMetrics &) = delete;

    /**
     * @brief Counts a decision.
     * @param event Name of the decision.
     */
    void count(const std::string &event);

    /**
     * @brief Records a job that has ended.
     * @param team Team of the job; empty on queues open to all.
     * @param queue Queue of the job.
     * @param age Time from its submission to its end.
     */
    void recordJob(const std::string &team, const std::string &queue, core::Duration age);

    /**
     * @brief Sets a value that goes up and down.
     * @param name Name without the prefix `oleanderwick_`.
     * @param value Present value.
     */
    void set(const std::string &name, std::int64_t value);

    /** @return All metrics in the text format of Prometheus, times in seconds. */
    [[nodiscard]] std::string toText() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "../core/core.hpp"
#include "../jobs/commands.hpp"
#include "../jobs/wait_reason.hpp"

namespace oleanderwick::jobnode
{

/** @brief Counters of events, gauges, and histograms of times in the life of jobs; not thread-safe. */
class JobMetrics
{
public:
    JobMetrics();
    ~JobMetrics();
    JobMetrics(const JobMetrics &) = delete;
    JobMetrics &operator=(const JobMetrics &) = delete;

    /**
     * @brief Counts events.
     * @param event Kind of event; the value of the label `event`.
     * @param amount Number of events.
     */
    void count(const std::string &event, std::uint64_t amount = 1);

    /**
     * @brief Counts steps of jobs that were examined because they waited with nothing running.
     * @param counts Number by reason.
     */
    void countWaits(const jobs::WaitCounts &counts) noexcept;

    /**
     * @brief Records how long it took until the owner knew a job.
     * @param source How the owner came to know it: `watch`, or `read` after a notice.
     * @param delay Time since the job was stored.
     */
    void recordIntake(const std::string &source, core::Duration delay);

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

    /**
     * @brief Replaces the figures about teams and queues, which only the owner has.
     * @param figures New figures; empty ones when the node ceases to be the owner.
     */
    void setTeamFigures(jobs::TeamFigures figures);

    /** @return All metrics in the Prometheus text format, times in seconds. */
    [[nodiscard]] std::string toText() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

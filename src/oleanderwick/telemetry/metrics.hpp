#pragma once

#include <memory>
#include <string>

#include "../dispatch/dispatch.hpp"
#include "fwd.hpp"

namespace oleanderwick::telemetry
{

/** @brief Histograms of wait, run and total time by team and queue, counters of requests by reason and of retries, and gauges; thread-safe. */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** @return All metrics in the Prometheus text format, times in seconds. */
    [[nodiscard]] std::string toText() const;

    /**
     * @brief Records a request that has ended.
     * @param completion Result and times of the request; without a team only its reason and retries are counted.
     */
    void record(const dispatch::Completion &completion);

    /**
     * @brief Sets a gauge.
     * @param name Name of the metric without the prefix `oleanderwick_`.
     * @param value New value.
     */
    void setGauge(const std::string &name, double value);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace oleanderwick::telemetry

#pragma once

#include <memory>
#include <string>

#include "../dispatch/dispatch.hpp"
#include "fwd.hpp"

namespace oleanderwick::telemetry
{

/** @brief Histograms of wait, run and total time for each team and queue, and counts by reason; safe from any thread. */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** @return All metrics in the text format of Prometheus, times in seconds. */
    [[nodiscard]] std::string toText() const;

    /**
     * @brief Counts an ended request.
     * @param completion Request that ended.
     */
    void record(const dispatch::Completion &completion);

    /**
     * @brief Sets a value that goes up and down.
     * @param name Name without the prefix `oleanderwick_`.
     * @param value Present value.
     */
    void set(const std::string &name, double value);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace oleanderwick::telemetry

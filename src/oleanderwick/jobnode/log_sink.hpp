#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "../core/core.hpp"
#include "../telemetry/event_log.hpp"
#include "job_metrics.hpp"

namespace oleanderwick::jobnode
{

/** @brief Writes the log without ever blocking the caller: lines over a rate, or behind a reader that stands still, are counted and left out. */
class LogSink
{
public:
    LogSink();
    ~LogSink();
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;

    /**
     * @brief Adds a line.
     * @param kind What happened; lines of one kind share a rate.
     * @param event The line.
     */
    void add(const std::string &kind, const telemetry::Event &event);

    /** @brief Hands the collected lines on; called a few times a second. */
    void flush();

    /** @return Metrics; each line is counted by its kind, written or not. */
    [[nodiscard]] JobMetrics &metrics() noexcept;

    /** @return Lines left out so far. */
    [[nodiscard]] std::uint64_t suppressed() const noexcept;

private:
    struct Rate {
        core::TimePoint windowStart;
        std::uint32_t lines{0};
        std::uint32_t suppressed{0};
    };

    void write();

    JobMetrics m_metrics;
    std::string m_collected;
    std::map<std::string, Rate> m_rates;
    std::uint64_t m_suppressed{0};
    core::BoundedRing<std::string> m_ring;
    std::thread m_writer;
};

} // namespace oleanderwick::jobnode

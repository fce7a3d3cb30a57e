#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "../core/core.hpp"
#include "../telemetry/event_log.hpp"
#include "job_metrics.hpp"

namespace oleanderwick::jobnode
{

/** @brief Where batches of log lines go. */
class LogOutput
{
public:
    virtual ~LogOutput() = default;

    /**
     * @brief Takes a batch without blocking.
     * @param batch Whole lines.
     * @return False if there is no room for it.
     */
    [[nodiscard]] virtual bool tryWrite(std::string batch) = 0;
};

/** @brief Standard output, written by a thread of its own. */
class StandardOutput final : public LogOutput
{
public:
    StandardOutput();
    ~StandardOutput() override;
    StandardOutput(const StandardOutput &) = delete;
    StandardOutput &operator=(const StandardOutput &) = delete;

    [[nodiscard]] bool tryWrite(std::string batch) override;

private:
    void write();

    core::BoundedRing<std::string> m_ring;
    std::thread m_writer;
};

/** @brief Writes the log without ever blocking the caller: lines over a rate, or behind a reader that stands still, are counted and left out. */
class LogSink
{
public:
    /**
     * @brief Opens the log.
     * @param clock Tells the time of lines.
     * @param output Takes the lines.
     */
    LogSink(const core::Executor &clock, std::unique_ptr<LogOutput> output);
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

    [[nodiscard]] std::string timeText() const;

    const core::Executor &m_clock;
    std::unique_ptr<LogOutput> m_output;
    JobMetrics m_metrics;
    std::string m_collected;
    std::map<std::string, Rate> m_rates;
    std::uint64_t m_suppressed{0};
};

} // namespace oleanderwick::jobnode

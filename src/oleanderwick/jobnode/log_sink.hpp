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

/** @brief Destination of batches of log lines. */
class LogOutput
{
public:
    virtual ~LogOutput() = default;

    /**
     * @brief Accepts a batch without blocking.
     * @param batch Complete lines.
     * @return False if there is no room; the batch is then dropped.
     */
    [[nodiscard]] virtual bool tryWrite(std::string batch) = 0;
};

/** @brief Writes batches to standard output on its own thread. */
class StandardOutput final : public LogOutput
{
public:
    StandardOutput();
    ~StandardOutput() override;
    StandardOutput(const StandardOutput &) = delete;
    StandardOutput &operator=(const StandardOutput &) = delete;

    [[nodiscard]] bool tryWrite(std::string batch) override;

private:
    void writeBatches();

    core::BoundedRing<std::string> m_batches;
    std::thread m_writer;
};

/** @brief Log that never blocks the caller: lines above the rate limit, or behind a reader that has stopped reading, are dropped and counted. */
class LogSink
{
public:
    /**
     * @brief Creates an empty log.
     * @param clock Provides the time of each line.
     * @param output Receives the lines.
     */
    LogSink(const core::Executor &clock, std::unique_ptr<LogOutput> output);
    ~LogSink();
    LogSink(const LogSink &) = delete;
    LogSink &operator=(const LogSink &) = delete;

    /**
     * @brief Counts an event in the metrics, and adds its line unless the rate limit or the size limit of a batch is exceeded.
     * @param kind Kind of event; lines of one kind share a rate limit and a counter.
     * @param event Event to write.
     */
    void add(const std::string &kind, const telemetry::Event &event);

    /** @brief Passes the collected lines to the output; to be called a few times a second. */
    void flush();

    /** @return Metrics; each line is counted under its kind, written or not. */
    [[nodiscard]] JobMetrics &metrics() noexcept;

    /** @return Number of lines dropped so far; a batch that the output has no room for counts as one. */
    [[nodiscard]] std::uint64_t suppressedLines() const noexcept;

private:
    struct Rate {
        core::TimePoint windowStart;
        std::uint32_t lines{0};
        std::uint32_t suppressed{0};
    };

    void appendTime();

    const core::Executor &m_clock;
    std::unique_ptr<LogOutput> m_output;
    JobMetrics m_metrics;
    std::string m_batch;
    std::int64_t m_secondOfText{-1}; /**< Unix time in seconds that `m_secondText` stands for. */
    std::string m_secondText;
    std::map<std::string, Rate> m_rates;
    std::uint64_t m_suppressed{0};
};

} // namespace oleanderwick::jobnode

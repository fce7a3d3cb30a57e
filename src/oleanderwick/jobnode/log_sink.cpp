#include "log_sink.hpp"

#include <cstdio>
#include <ctime>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace oleanderwick::jobnode
{

namespace internal
{

/** Batches that are kept for a slow reader of standard output. */
constexpr std::size_t maxQueuedBatches = 32;
/** Applies to each kind of event. */
constexpr std::uint32_t maxLinesPerSecond = 1500;
constexpr std::size_t maxBatchBytes = 256U << 10U;

} // namespace internal

StandardOutput::StandardOutput()
    : m_batches{internal::maxQueuedBatches}
    , m_writer{[this] {
        writeBatches();
    }}
{
}

StandardOutput::~StandardOutput()
{
    // An empty batch stops the writer. Without room for it, the reader counts as stuck, and the writer is not waited for, so that the process can exit.
    if (m_batches.tryPush({})) {
        m_writer.join();
    } else {
        m_writer.detach();
    }
}

bool StandardOutput::tryWrite(std::string batch)
{
    return m_batches.tryPush(std::move(batch));
}

void StandardOutput::writeBatches()
{
    for (std::string batch = m_batches.pop(); !batch.empty(); batch = m_batches.pop()) {
        (void)std::fwrite(batch.data(), 1, batch.size(), stdout);
        (void)std::fflush(stdout);
    }
}

LogSink::LogSink(const core::Executor &clock, std::unique_ptr<LogOutput> output)
    : m_clock{clock}
    , m_output{std::move(output)}
{
}

LogSink::~LogSink()
{
    flush();
}

void LogSink::appendTime()
{
    constexpr std::int64_t msPerSecond = 1000;
    const std::int64_t ms = m_clock.wallMs();
    const std::time_t seconds = ms / msPerSecond;
    if (seconds != m_secondOfText) {
        std::tm parts{};
        gmtime_r(&seconds, &parts);
        m_secondText = absl::StrFormat(
            "time=%04d-%02d-%02dT%02d:%02d:%02d.", parts.tm_year + 1900, parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec);
        m_secondOfText = seconds;
    }
    absl::StrAppend(&m_batch, m_secondText, absl::Dec(ms % msPerSecond, absl::kZeroPad3), " ");
}

void LogSink::add(const std::string &kind, const telemetry::Event &event)
{
    m_metrics.count(kind);
    Rate &rate = m_rates[kind];
    const core::TimePoint now = m_clock.now();
    if (now - rate.windowStart >= std::chrono::seconds{1}) {
        if (rate.suppressed > 0) {
            appendTime();
            absl::StrAppend(&m_batch, "event=lines_suppressed kind=", kind, " count=", rate.suppressed, "\n");
        }
        rate = Rate{now, 0, 0};
    }
    if (++rate.lines > internal::maxLinesPerSecond || m_batch.size() > internal::maxBatchBytes) {
        ++rate.suppressed;
        ++m_suppressed;
        return;
    }
    appendTime();
    absl::StrAppend(&m_batch, event.line(), "\n");
}

void LogSink::flush()
{
    if (m_batch.empty()) {
        return;
    }
    if (!m_output->tryWrite(std::move(m_batch))) {
        ++m_suppressed;
    }
    m_batch.clear();
}

JobMetrics &LogSink::metrics() noexcept
{
    return m_metrics;
}

std::uint64_t LogSink::suppressedLines() const noexcept
{
    return m_suppressed;
}

} // namespace oleanderwick::jobnode

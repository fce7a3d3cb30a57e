#include "log_sink.hpp"

#include <chrono>
#include <cstdio>
#include <ctime>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace oleanderwick::jobnode
{

namespace internal
{

/** Batches that wait for a slow reader of standard output. */
constexpr std::size_t waitingBatches = 32;
/** Lines of one kind in a second. */
constexpr std::uint32_t linesPerSecond = 1500;
constexpr std::size_t largestBatch = 256U << 10U;

std::string timeText()
{
    const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
    const std::int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const std::time_t seconds = ms / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    return absl::StrFormat("time=%04d-%02d-%02dT%02d:%02d:%02d.%03d ",
                           parts.tm_year + 1900,
                           parts.tm_mon + 1,
                           parts.tm_mday,
                           parts.tm_hour,
                           parts.tm_min,
                           parts.tm_sec,
                           static_cast<int>(ms % 1000));
}

} // namespace internal

LogSink::LogSink()
    : m_ring{internal::waitingBatches}
    , m_writer{[this] {
        write();
    }}
{
}

LogSink::~LogSink()
{
    flush();
    // An empty batch ends the writer; a reader that stands still must not keep the process alive.
    if (m_ring.tryPush({})) {
        m_writer.join();
    } else {
        m_writer.detach();
    }
}

void LogSink::add(const std::string &kind, const telemetry::Event &event)
{
    m_metrics.count(kind);
    Rate &rate = m_rates[kind];
    const core::TimePoint now = core::BootClock::now();
    if (now - rate.windowStart >= std::chrono::seconds{1}) {
        if (rate.suppressed > 0) {
            absl::StrAppend(&m_collected, internal::timeText(), "event=lines_suppressed kind=", kind, " count=", rate.suppressed, "\n");
        }
        rate = Rate{now, 0, 0};
    }
    if (++rate.lines > internal::linesPerSecond || m_collected.size() > internal::largestBatch) {
        ++rate.suppressed;
        ++m_suppressed;
        return;
    }
    absl::StrAppend(&m_collected, internal::timeText(), event.line(), "\n");
}

void LogSink::flush()
{
    if (m_collected.empty()) {
        return;
    }
    if (!m_ring.tryPush(std::move(m_collected))) {
        ++m_suppressed;
    }
    m_collected.clear();
}

JobMetrics &LogSink::metrics() noexcept
{
    return m_metrics;
}

std::uint64_t LogSink::suppressed() const noexcept
{
    return m_suppressed;
}

void LogSink::write()
{
    for (std::string batch = m_ring.pop(); !batch.empty(); batch = m_ring.pop()) {
        (void)std::fwrite(batch.data(), 1, batch.size(), stdout);
        (void)std::fflush(stdout);
    }
}

} // namespace oleanderwick::jobnode

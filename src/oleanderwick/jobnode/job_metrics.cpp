#include "job_metrics.hpp"

#include <map>

#include <absl/strings/str_cat.h>

#include "../telemetry/times.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr unsigned binCount = 24;
constexpr double minSeconds = 0.05;
constexpr double maxSeconds = 200.0;

struct Series {
    telemetry::DurationHistogram durations{telemetry::makeDurationHistogram(binCount, minSeconds, maxSeconds)};
    double sum{0.0};
};

} // namespace internal

struct JobMetrics::State {
    std::map<std::string, std::uint64_t> events;
    std::map<std::string, std::int64_t> gauges;
    std::map<std::pair<std::string, std::string>, internal::Series> series;
};

JobMetrics::JobMetrics()
    : m_state{std::make_unique<State>()}
{
}

JobMetrics::~JobMetrics() = default;

void JobMetrics::count(const std::string &event)
{
    ++m_state->events[event];
}

void JobMetrics::recordJob(const std::string &team, const std::string &queue, core::Duration duration)
{
    internal::Series &series = m_state->series[{team, queue}];
    const double seconds = std::chrono::duration<double>{duration}.count();
    series.durations(seconds);
    series.sum += seconds;
}

void JobMetrics::setGauge(const std::string &name, std::int64_t value)
{
    m_state->gauges[name] = value;
}

std::string JobMetrics::toText() const
{
    std::string text;
    for (const std::pair<const std::string, std::int64_t> &gauge : m_state->gauges) {
        absl::StrAppend(&text, "oleanderwick_", gauge.first, " ", gauge.second, "\n");
    }
    for (const std::pair<const std::string, std::uint64_t> &event : m_state->events) {
        absl::StrAppend(&text, "oleanderwick_events_total{event=\"", event.first, "\"} ", event.second, "\n");
    }
    for (const std::pair<const std::pair<std::string, std::string>, internal::Series> &entry : m_state->series) {
        const std::string labels = absl::StrCat("team=\"", entry.first.first, "\",queue=\"", entry.first.second, "\"");
        telemetry::appendHistogram(text, "oleanderwick_job_seconds", labels, entry.second.durations, entry.second.sum);
    }
    return text;
}

} // namespace oleanderwick::jobnode

#include "job_metrics.hpp"

#include <map>

#include <absl/strings/str_cat.h>

#include "../telemetry/times.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr unsigned bins = 24;
constexpr double shortestSeconds = 0.05;
constexpr double longestSeconds = 200.0;

struct Series {
    telemetry::Times ages{telemetry::makeTimes(bins, shortestSeconds, longestSeconds)};
    double sum{0.0};
};

} // namespace internal

struct JobMetrics::State {
    std::map<std::string, std::uint64_t> events;
    std::map<std::string, std::int64_t> values;
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

void JobMetrics::recordJob(const std::string &team, const std::string &queue, core::Duration age)
{
    internal::Series &series = m_state->series[{team, queue}];
    const double seconds = std::chrono::duration<double>{age}.count();
    series.ages(seconds);
    series.sum += seconds;
}

void JobMetrics::set(const std::string &name, std::int64_t value)
{
    m_state->values[name] = value;
}

std::string JobMetrics::toText() const
{
    std::string text;
    for (const std::pair<const std::string, std::int64_t> &value : m_state->values) {
        absl::StrAppend(&text, "oleanderwick_", value.first, " ", value.second, "\n");
    }
    for (const std::pair<const std::string, std::uint64_t> &event : m_state->events) {
        absl::StrAppend(&text, "oleanderwick_events_total{event=\"", event.first, "\"} ", event.second, "\n");
    }
    for (const std::pair<const std::pair<std::string, std::string>, internal::Series> &entry : m_state->series) {
        const std::string labels = absl::StrCat("team=\"", entry.first.first, "\",queue=\"", entry.first.second, "\"");
        telemetry::appendTimes(text, "oleanderwick_job_seconds", labels, entry.second.ages, entry.second.sum);
    }
    return text;
}

} // namespace oleanderwick::jobnode

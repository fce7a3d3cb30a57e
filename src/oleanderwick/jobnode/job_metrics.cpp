#include "job_metrics.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include <absl/strings/str_cat.h>

#include "../telemetry/times.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr unsigned binCount = 24;
constexpr double minSeconds = 0.05;
constexpr double maxSeconds = 200.0;
constexpr double minIntakeSeconds = 0.005;
constexpr double maxIntakeSeconds = 10.0;

struct Series {
    telemetry::DurationHistogram durations{telemetry::makeDurationHistogram(binCount, minSeconds, maxSeconds)};
    double sum{0.0};

    void record(core::Duration duration)
    {
        const double seconds = std::chrono::duration<double>{duration}.count();
        durations(seconds);
        sum += seconds;
    }
};

} // namespace internal

struct JobMetrics::State {
    std::map<std::string, std::uint64_t> events;
    std::map<std::string, std::int64_t> gauges;
    std::map<std::pair<std::string, std::string>, internal::Series> series;
    std::map<std::string, internal::Series> intake; /**< By source. */
    jobs::TeamFigures teams;
    jobs::WaitCounts waits{};
};

JobMetrics::JobMetrics()
    : m_state{std::make_unique<State>()}
{
}

JobMetrics::~JobMetrics() = default;

void JobMetrics::count(const std::string &event, std::uint64_t amount)
{
    m_state->events[event] += amount;
}

void JobMetrics::countWaits(const jobs::WaitCounts &counts) noexcept
{
    std::transform(counts.begin(), counts.end(), m_state->waits.begin(), m_state->waits.begin(), std::plus<>{});
}

void JobMetrics::recordIntake(const std::string &source, core::Duration delay)
{
    auto series = m_state->intake.find(source);
    if (series == m_state->intake.end()) {
        const internal::Series empty{telemetry::makeDurationHistogram(internal::binCount, internal::minIntakeSeconds, internal::maxIntakeSeconds)};
        series = m_state->intake.emplace(source, empty).first;
    }
    series->second.record(delay);
}

void JobMetrics::recordJob(const std::string &team, const std::string &queue, core::Duration duration)
{
    m_state->series[{team, queue}].record(duration);
}

void JobMetrics::setGauge(const std::string &name, std::int64_t value)
{
    m_state->gauges[name] = value;
}

void JobMetrics::setTeamFigures(jobs::TeamFigures figures)
{
    m_state->teams = std::move(figures);
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
    for (std::size_t reason = 0; reason < m_state->waits.size(); ++reason) {
        if (m_state->waits[reason] > 0) {
            const std::string name{jobs::toText(static_cast<jobs::WaitReason>(reason))};
            absl::StrAppend(&text, "oleanderwick_examined_waits_total{reason=\"", name, "\"} ", m_state->waits[reason], "\n");
        }
    }
    for (const std::pair<const std::pair<std::string, std::string>, jobs::TeamUse> &entry : m_state->teams.uses) {
        const std::string labels = absl::StrCat("{pool=\"", entry.first.first, "\",team=\"", entry.first.second, "\"} ");
        absl::StrAppend(&text, "oleanderwick_team_share", labels, entry.second.share, "\n");
        absl::StrAppend(&text, "oleanderwick_team_entitled_share", labels, entry.second.entitledShare, "\n");
        absl::StrAppend(&text, "oleanderwick_team_waiting_jobs", labels, entry.second.waitingJobs, "\n");
        absl::StrAppend(&text, "oleanderwick_team_beyond_rate_jobs", labels, entry.second.beyondRateJobs, "\n");
    }
    for (const std::pair<const std::string, std::int64_t> &queue : m_state->teams.lateJobs) {
        absl::StrAppend(&text, "oleanderwick_late_jobs{queue=\"", queue.first, "\"} ", queue.second, "\n");
    }
    for (const std::pair<const std::pair<std::string, std::string>, internal::Series> &entry : m_state->series) {
        const std::string labels = absl::StrCat("team=\"", entry.first.first, "\",queue=\"", entry.first.second, "\"");
        telemetry::appendHistogram(text, "oleanderwick_job_seconds", labels, entry.second.durations, entry.second.sum);
    }
    for (const std::pair<const std::string, internal::Series> &entry : m_state->intake) {
        const std::string labels = absl::StrCat("source=\"", entry.first, "\"");
        telemetry::appendHistogram(text, "oleanderwick_job_intake_seconds", labels, entry.second.durations, entry.second.sum);
    }
    return text;
}

} // namespace oleanderwick::jobnode

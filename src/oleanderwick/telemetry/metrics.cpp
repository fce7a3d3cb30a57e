#include "metrics.hpp"

#include <array>
#include <cmath>
#include <map>
#include <mutex>

#include <absl/strings/str_cat.h>

#include "times.hpp"

namespace oleanderwick::telemetry
{

namespace internal
{

constexpr unsigned binCount = 28;
constexpr double minSeconds = 0.0005;
constexpr double maxSeconds = 131.072;

double seconds(core::Duration span)
{
    return std::chrono::duration<double>{span}.count();
}

/** @brief Time histograms of one team on one queue. */
struct Series {
    DurationHistogram wait{makeDurationHistogram(binCount, minSeconds, maxSeconds)};
    DurationHistogram run{makeDurationHistogram(binCount, minSeconds, maxSeconds)};
    DurationHistogram total{makeDurationHistogram(binCount, minSeconds, maxSeconds)};
    std::array<double, 3> sums{}; /**< Sums of the wait, run and total times, in seconds. */
};

} // namespace internal

struct Metrics::State {
    using Key = std::pair<core::TeamId, core::QueueId>;

    mutable std::mutex mutex;
    std::map<Key, internal::Series> series;
    std::map<std::string, std::uint64_t> reasons;
    std::map<std::string, double> gauges;
    std::uint64_t retries{0};
};

Metrics::Metrics()
    : m_state{std::make_unique<State>()}
{
}

Metrics::~Metrics() = default;

void Metrics::record(const dispatch::Completion &completion)
{
    const std::lock_guard<std::mutex> lock{m_state->mutex};
    ++m_state->reasons[completion.reason];
    m_state->retries += completion.attempts > 1 ? completion.attempts - 1 : 0;
    if (completion.team.empty()) {
        return;
    }
    internal::Series &series = m_state->series[State::Key{completion.team, completion.queue}];
    const double wait = internal::seconds(completion.wait);
    const double run = internal::seconds(completion.run);
    series.wait(wait);
    series.run(run);
    series.total(wait + run);
    series.sums[0] += wait;
    series.sums[1] += run;
    series.sums[2] += wait + run;
}

void Metrics::setGauge(const std::string &name, double value)
{
    const std::lock_guard<std::mutex> lock{m_state->mutex};
    m_state->gauges[name] = value;
}

std::string Metrics::toText() const
{
    const std::lock_guard<std::mutex> lock{m_state->mutex};
    std::string text;
    for (const std::pair<const std::string, double> &gauge : m_state->gauges) {
        absl::StrAppend(&text, "oleanderwick_", gauge.first, " ", gauge.second, "\n");
    }
    absl::StrAppend(&text, "oleanderwick_retries_total ", m_state->retries, "\n");
    for (const std::pair<const std::string, std::uint64_t> &reason : m_state->reasons) {
        absl::StrAppend(&text, "oleanderwick_requests_total{reason=\"", reason.first, "\"} ", reason.second, "\n");
    }
    for (const std::pair<const State::Key, internal::Series> &entry : m_state->series) {
        const std::string labels = absl::StrCat("team=\"", entry.first.first.text(), "\",queue=\"", entry.first.second.text(), "\"");
        appendHistogram(text, "oleanderwick_wait_seconds", labels, entry.second.wait, entry.second.sums[0]);
        appendHistogram(text, "oleanderwick_run_seconds", labels, entry.second.run, entry.second.sums[1]);
        appendHistogram(text, "oleanderwick_total_seconds", labels, entry.second.total, entry.second.sums[2]);
    }
    return text;
}

} // namespace oleanderwick::telemetry

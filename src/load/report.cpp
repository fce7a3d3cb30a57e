#include "report.hpp"

#include <algorithm>
#include <cstdint>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <boost/histogram.hpp>

namespace oleanderwick::load
{

namespace internal
{

namespace histogram = boost::histogram;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Latencies = decltype(histogram::make_histogram(Axis{}));

constexpr unsigned binCount = 400;
constexpr double minLatencyMs = 0.01;
constexpr double maxLatencyMs = 120'000.0;

} // namespace internal

struct StreamReport::State {
    std::map<std::string, std::uint64_t> counts;
    internal::Latencies latencies{internal::histogram::make_histogram(internal::Axis{internal::binCount, internal::minLatencyMs, internal::maxLatencyMs})};
};

StreamReport::StreamReport()
    : m_state{std::make_unique<State>()}
{
}

StreamReport::~StreamReport() = default;
StreamReport::StreamReport(StreamReport &&) noexcept = default;
StreamReport &StreamReport::operator=(StreamReport &&) noexcept = default;

const std::map<std::string, std::uint64_t> &StreamReport::counts() const noexcept
{
    return m_state->counts;
}

void StreamReport::add(const std::string &kind, core::Duration latency)
{
    ++m_state->counts[kind];
    if (kind == "whole") {
        m_state->latencies(std::chrono::duration<double, std::milli>{latency}.count());
    }
}

core::Duration StreamReport::quantile(double fraction) const
{
    const double total = internal::histogram::algorithm::sum(m_state->latencies);
    double cumulative = m_state->latencies.at(-1);
    for (const auto &bin : internal::histogram::indexed(m_state->latencies)) {
        cumulative += *bin;
        if (total > 0.0 && cumulative >= fraction * total) {
            return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double, std::milli>{bin.bin().upper()});
        }
    }
    return core::Duration::zero();
}

std::string StreamReport::toSvg(const std::string &title) const
{
    constexpr double widthPx = 800.0;
    constexpr double heightPx = 200.0;
    double maxCount = 1.0;
    for (const auto &bin : internal::histogram::indexed(m_state->latencies)) {
        maxCount = std::max<double>(maxCount, *bin);
    }
    std::string svg = absl::StrFormat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\">\n", widthPx, heightPx + 40.0);
    absl::StrAppend(&svg, "<text x=\"4\" y=\"14\" font-size=\"12\">", title, " (log of milliseconds)</text>\n");
    const double binWidthPx = widthPx / internal::binCount;
    for (const auto &bin : internal::histogram::indexed(m_state->latencies)) {
        const double barPx = *bin / maxCount * heightPx;
        if (barPx > 0.0) {
            absl::StrAppendFormat(
                &svg, "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"/>\n", bin.index() * binWidthPx, 20.0 + heightPx - barPx, binWidthPx, barPx);
        }
    }
    for (const double markMs : {0.1, 1.0, 10.0, 100.0, 1000.0, 10'000.0, 100'000.0}) {
        const double positionPx = m_state->latencies.axis().index(markMs) * binWidthPx;
        absl::StrAppendFormat(&svg, "<text x=\"%.1f\" y=\"%.1f\" font-size=\"10\">%g ms</text>\n", positionPx, heightPx + 34.0, markMs);
    }
    return svg + "</svg>\n";
}

std::string toText(const Report &report, double seconds)
{
    std::string text = absl::StrFormat("%-16s %10s %10s %10s %10s  %s\n", "stream", "whole/s", "p50 ms", "p99 ms", "p99.9 ms", "answers");
    for (const std::pair<const std::string, StreamReport> &entry : report) {
        const StreamReport &stream = entry.second;
        const auto ms = [&stream](double fraction) {
            return std::chrono::duration<double, std::milli>{stream.quantile(fraction)}.count();
        };
        const auto whole = stream.counts().find("whole");
        const double rate = whole == stream.counts().end() ? 0.0 : static_cast<double>(whole->second) / seconds;
        absl::StrAppendFormat(&text, "%-16s %10.1f %10.3f %10.3f %10.3f ", entry.first, rate, ms(0.5), ms(0.99), ms(0.999));
        for (const std::pair<const std::string, std::uint64_t> &count : stream.counts()) {
            absl::StrAppend(&text, " ", count.first, "=", count.second);
        }
        absl::StrAppend(&text, "\n");
    }
    return text;
}

} // namespace oleanderwick::load

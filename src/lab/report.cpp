#include "report.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

namespace oleanderwick::lab
{

namespace internal
{

constexpr double widthPx = 900.0;
constexpr double heightPx = 320.0;
constexpr double marginPx = 40.0;
constexpr double faultRowHeightPx = 14.0;

} // namespace internal

std::string toLine(std::uint64_t seed, const emulator::SimulationReport &report)
{
    return absl::StrFormat(
        "seed=%d jobs=%d accepted=%d in_time=%d late=%d starts=%d looks=%d moves=%d store_calls=%d instance_s=%.0f continuous=%.3f maintenances=%d waves=%d "
        "completed_waves=%d owner_ends=%d probed=%d broken=%d",
        seed,
        report.jobs,
        report.accepted,
        report.inTime,
        report.late,
        report.starts,
        report.polls,
        report.moves,
        report.storeCalls,
        report.instanceSeconds,
        report.continuousShare,
        report.maintenances,
        report.waves,
        report.completedWaves,
        report.ownerEnds,
        report.probed ? 1 : 0,
        report.violations.size());
}

std::string toSvg(const emulator::Deployment &deployment, const emulator::SimulationReport &report)
{
    const double from = report.backlog.empty() ? 0.0 : report.backlog.front().first;
    const double to = report.backlog.empty() ? 1.0 : report.backlog.back().first;
    int maxUnfinished = 1;
    for (const std::pair<double, int> &point : report.backlog) {
        maxUnfinished = std::max(maxUnfinished, point.second);
    }
    const auto x = [from, to](double seconds) {
        return internal::marginPx + (seconds - from) / std::max(to - from, 1.0) * (internal::widthPx - 2.0 * internal::marginPx);
    };
    const auto y = [maxUnfinished](int count) {
        return internal::heightPx - internal::marginPx - static_cast<double>(count) / maxUnfinished * (internal::heightPx - 2.0 * internal::marginPx);
    };
    std::string svg = absl::StrFormat(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" font-family=\"sans-serif\" font-size=\"10\">\n"
        "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
        internal::widthPx,
        internal::heightPx);
    double row = internal::marginPx;
    for (const emulator::Fault &fault : deployment.faults) {
        absl::StrAppendFormat(&svg,
                              "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"#f3c9a5\"/><text x=\"%.1f\" y=\"%.1f\">%s</text>\n",
                              x(fault.startS),
                              row,
                              std::max(2.0, x(fault.startS + fault.durationS) - x(fault.startS)),
                              internal::faultRowHeightPx - 2.0,
                              x(fault.startS) + 2.0,
                              row + internal::faultRowHeightPx - 4.0,
                              std::string{emulator::toText(fault.kind)});
        row += internal::faultRowHeightPx;
    }
    absl::StrAppend(&svg, "<polyline fill=\"none\" stroke=\"#2f6f9f\" stroke-width=\"1.5\" points=\"");
    for (const std::pair<double, int> &point : report.backlog) {
        absl::StrAppendFormat(&svg, "%.1f,%.1f ", x(point.first), y(point.second));
    }
    absl::StrAppendFormat(&svg,
                          "\"/>\n<text x=\"%.0f\" y=\"%.0f\">unfinished jobs, at most %d</text>\n<text x=\"%.0f\" y=\"%.0f\">%.0f s</text>\n</svg>\n",
                          internal::marginPx,
                          internal::marginPx - 8.0,
                          maxUnfinished,
                          internal::widthPx - internal::marginPx,
                          internal::heightPx - internal::marginPx + 14.0,
                          to);
    return svg;
}

} // namespace oleanderwick::lab

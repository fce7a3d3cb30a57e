#pragma once

#include <map>
#include <memory>
#include <string>

#include "oleanderwick/core/core.hpp"

namespace oleanderwick::load
{

/** @brief Responses of one stream: counts by kind and a histogram of latencies. */
class StreamReport
{
public:
    StreamReport();
    ~StreamReport();
    StreamReport(StreamReport &&) noexcept;
    StreamReport &operator=(StreamReport &&) noexcept;

    /** @return Responses by kind: `whole` (200), `cut`, `no connection`, or the status, with the outcome that its body names. */
    [[nodiscard]] const std::map<std::string, std::uint64_t> &counts() const noexcept;

    /**
     * @brief Reads a quantile of the latencies of whole responses.
     * @param fraction Fraction of the responses, 0 to 1.
     * @return Upper edge of the bin that holds it; zero without whole responses, or if it is 120 s or more.
     */
    [[nodiscard]] core::Duration quantile(double fraction) const;

    /**
     * @brief Draws the histogram of the latencies.
     * @param title Text above the plot.
     * @return SVG document.
     */
    [[nodiscard]] std::string toSvg(const std::string &title) const;

    /**
     * @brief Counts a response.
     * @param kind Kind of response; only `whole` enters the histogram.
     * @param latency Time since the request was due.
     */
    void add(const std::string &kind, core::Duration latency);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** @brief Reports by stream. */
using Report = std::map<std::string, StreamReport>;

/**
 * @brief Formats a report as a table.
 * @param report Report to write.
 * @param seconds Length of the run in seconds, for the rates.
 * @return Header line and one line for each stream.
 */
[[nodiscard]] std::string toText(const Report &report, double seconds);

} // namespace oleanderwick::load

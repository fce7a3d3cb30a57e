#pragma once

#include <map>
#include <memory>
#include <string>

#include "oleanderwick/core/core.hpp"

namespace oleanderwick::load
{

/** @brief Answers of one stream: counts by kind and a histogram of latencies. */
class StreamReport
{
public:
    StreamReport();
    ~StreamReport();
    StreamReport(StreamReport &&) noexcept;
    StreamReport &operator=(StreamReport &&) noexcept;

    /** @return Answers by kind: `whole`, `cut`, or the status with its outcome. */
    [[nodiscard]] const std::map<std::string, std::uint64_t> &counts() const noexcept;

    /**
     * @brief Reads a quantile of the latencies of whole answers.
     * @param part Part of the answers, 0 to 1.
     * @return Upper edge of its bin; zero without answers.
     */
    [[nodiscard]] core::Duration quantile(double part) const;

    /**
     * @brief Draws the histogram of the latencies.
     * @param title Text above it.
     * @return SVG.
     */
    [[nodiscard]] std::string toSvg(const std::string &title) const;

    /**
     * @brief Counts an answer.
     * @param kind Its kind.
     * @param latency Time from the intended start.
     */
    void add(const std::string &kind, core::Duration latency);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/** @brief Reports by stream. */
using Report = std::map<std::string, StreamReport>;

/**
 * @brief Writes a report as a table.
 * @param report Report to write.
 * @param seconds Length of the run.
 * @return Text.
 */
[[nodiscard]] std::string toText(const Report &report, double seconds);

} // namespace oleanderwick::load

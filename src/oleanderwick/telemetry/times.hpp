#pragma once

#include <string>

#include <boost/histogram.hpp>

namespace oleanderwick::telemetry
{

/** @brief Histogram axis of durations in seconds, with bins of equal width on a logarithmic scale. */
using TimeAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
/** @brief Histogram of durations in seconds. */
using Times = decltype(boost::histogram::make_histogram(TimeAxis{}));

/**
 * @brief Creates an empty histogram.
 * @param binCount Number of bins.
 * @param minSeconds Lower bound of the first bin, in seconds.
 * @param maxSeconds Upper bound of the last bin, in seconds.
 * @return The histogram.
 */
[[nodiscard]] Times makeTimes(unsigned binCount, double minSeconds, double maxSeconds);

/**
 * @brief Appends a histogram in the Prometheus text format.
 * @param text Text to append to.
 * @param name Name of the metric, without suffixes such as `_bucket`.
 * @param labels Label pairs separated by commas, without braces.
 * @param histogram Histogram to write.
 * @param sum Sum of all recorded durations, in seconds.
 */
void appendTimes(std::string &text, const std::string &name, const std::string &labels, const Times &histogram, double sum);

} // namespace oleanderwick::telemetry

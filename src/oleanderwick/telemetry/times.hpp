#pragma once

#include <string>

#include <boost/histogram.hpp>

namespace oleanderwick::telemetry
{

/** @brief Histogram axis of durations in seconds, with bins of equal width on a logarithmic scale. */
using DurationAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
/** @brief Histogram of durations in seconds. */
using DurationHistogram = decltype(boost::histogram::make_histogram(DurationAxis{}));

/**
 * @brief Creates an empty histogram.
 * @param binCount Number of bins.
 * @param minSeconds Lower bound of the first bin, in seconds.
 * @param maxSeconds Upper bound of the last bin, in seconds.
 * @return The histogram.
 */
[[nodiscard]] DurationHistogram makeDurationHistogram(unsigned binCount, double minSeconds, double maxSeconds);

/**
 * @brief Appends a histogram in the Prometheus text format.
 * @param text Text to append to.
 * @param name Name of the metric, without suffixes such as `_bucket`.
 * @param labels Label pairs separated by commas, without braces.
 * @param histogram Histogram to write.
 * @param sum Sum of all recorded durations, in seconds.
 */
void appendHistogram(std::string &text, const std::string &name, const std::string &labels, const DurationHistogram &histogram, double sum);

} // namespace oleanderwick::telemetry

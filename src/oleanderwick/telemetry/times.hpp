#pragma once

#include <string>

#include <boost/histogram.hpp>

namespace oleanderwick::telemetry
{

/** @brief Axis of times in seconds, divided evenly by their logarithm. */
using TimeAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
/** @brief Histogram of times in seconds. */
using Times = decltype(boost::histogram::make_histogram(TimeAxis{}));

/**
 * @brief Makes an empty histogram.
 * @param bins Number of bins.
 * @param shortest Lower end of the first bin, in seconds.
 * @param longest Upper end of the last bin, in seconds.
 * @return The histogram.
 */
[[nodiscard]] Times makeTimes(unsigned bins, double shortest, double longest);

/**
 * @brief Writes a histogram in the text format of Prometheus.
 * @param text Text to append to.
 * @param name Name of the metric.
 * @param labels Labels, without braces.
 * @param times The histogram.
 * @param sum Sum of all times, in seconds.
 */
void appendTimes(std::string &text, const std::string &name, const std::string &labels, const Times &times, double sum);

} // namespace oleanderwick::telemetry

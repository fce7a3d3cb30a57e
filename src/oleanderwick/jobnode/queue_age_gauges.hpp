#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "job_metrics.hpp"

namespace oleanderwick::jobnode
{

/**
 * @brief Sets the gauges of the age of the oldest job by queue.
 * @param metrics Metrics of the node.
 * @param agesMs Age in milliseconds by queue.
 */
void setQueueAges(JobMetrics &metrics, const std::map<std::string, std::int64_t> &agesMs);

} // namespace oleanderwick::jobnode

#include "queue_age_gauges.hpp"

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobnode
{

namespace internal
{

std::string gaugeName(const std::string &queue)
{
    return absl::StrCat("oldest_job_age_milliseconds{queue=\"", queue, "\"}");
}

} // namespace internal

void setQueueAges(JobMetrics &metrics, const std::map<std::string, std::int64_t> &agesMs)
{
    for (const std::pair<const std::string, std::int64_t> &age : agesMs) {
        metrics.setGauge(internal::gaugeName(age.first), age.second);
    }
}

} // namespace oleanderwick::jobnode

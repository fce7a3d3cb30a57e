#include "times.hpp"

#include <absl/strings/str_cat.h>

namespace oleanderwick::telemetry
{

Times makeTimes(unsigned bins, double shortest, double longest)
{
    return boost::histogram::make_histogram(TimeAxis{bins, shortest, longest, "seconds"});
}

void appendTimes(std::string &text, const std::string &name, const std::string &labels, const Times &times, double sum)
{
    double count = times.at(-1);
    for (const auto &bin : boost::histogram::indexed(times)) {
        count += *bin;
        absl::StrAppend(&text, name, "_bucket{", labels, ",le=\"", bin.bin().upper(), "\"} ", count, "\n");
    }
    count += times.at(times.axis().size());
    absl::StrAppend(&text, name, "_bucket{", labels, ",le=\"+Inf\"} ", count, "\n");
    absl::StrAppend(&text, name, "_sum{", labels, "} ", sum, "\n", name, "_count{", labels, "} ", count, "\n");
}

} // namespace oleanderwick::telemetry

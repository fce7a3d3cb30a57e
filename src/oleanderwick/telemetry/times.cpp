#include "times.hpp"

#include <absl/strings/str_cat.h>

namespace oleanderwick::telemetry
{

DurationHistogram makeDurationHistogram(unsigned binCount, double minSeconds, double maxSeconds)
{
    return boost::histogram::make_histogram(DurationAxis{binCount, minSeconds, maxSeconds, "seconds"});
}

void appendHistogram(std::string &text, const std::string &name, const std::string &labels, const DurationHistogram &histogram, double sum)
{
    double count = histogram.at(-1);
    for (const auto &bin : boost::histogram::indexed(histogram)) {
        count += *bin;
        absl::StrAppend(&text, name, "_bucket{", labels, ",le=\"", bin.bin().upper(), "\"} ", count, "\n");
    }
    count += histogram.at(histogram.axis().size());
    absl::StrAppend(&text, name, "_bucket{", labels, ",le=\"+Inf\"} ", count, "\n");
    absl::StrAppend(&text, name, "_sum{", labels, "} ", sum, "\n", name, "_count{", labels, "} ", count, "\n");
}

} // namespace oleanderwick::telemetry

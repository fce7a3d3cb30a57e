#include "rate_meter.hpp"

#include <algorithm>
#include <chrono>

namespace oleanderwick::fairness
{

RateMeter::RateMeter(core::Duration window)
    : m_window{window}
{
}

bool RateMeter::take(const std::string &team, double rate, core::TimePoint at)
{
    if (!(rate > 0.0)) {
        return true;
    }
    const double depth = std::max(1.0, rate * std::chrono::duration<double>{m_window}.count());
    const auto found = m_buckets.try_emplace(team, Bucket{depth, at});
    Bucket &bucket = found.first->second;
    const double elapsedS = std::max(0.0, std::chrono::duration<double>{at - bucket.filledAt}.count());
    bucket.tokens = std::min(depth, bucket.tokens + rate * elapsedS);
    bucket.filledAt = std::max(bucket.filledAt, at);
    // Tokens are sums of fractions: without the tolerance, jobs at exactly the rate would be beyond it by rounding.
    constexpr double tolerance = 1e-6;
    if (bucket.tokens < 1.0 - tolerance) {
        return false;
    }
    bucket.tokens = std::max(0.0, bucket.tokens - 1.0);
    return true;
}

double RateMeter::tokens(const std::string &team) const
{
    const auto bucket = m_buckets.find(team);
    return bucket == m_buckets.end() ? 0.0 : bucket->second.tokens;
}

} // namespace oleanderwick::fairness

#include "return_schedule.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderwick::admission
{

namespace internal
{

/** The record of a refusal lasts for 60 s; a caller that returns later would lose the time of its first refusal. */
constexpr core::Duration maxReturnDelay = std::chrono::seconds{40};
/** Rate in jobs a second below which the interval of returns is no longer stretched. */
constexpr double minReturnRate = 0.05;

} // namespace internal

ReturnSchedule::ReturnSchedule(std::size_t nodes)
    : m_nodes{std::max<std::size_t>(nodes, 1)}
{
}

std::int64_t ReturnSchedule::retryAfterS(const Caller &caller, const ShareFigures &share, core::TimePoint now)
{
    const core::TimePoint roomAt = now + std::chrono::milliseconds{share.roomMs};
    core::TimePoint returnAt = roomAt;
    if (!caller.returning) {
        const double intervalMs = 1000.0 * static_cast<double>(m_nodes) / std::max(share.serviceRate, internal::minReturnRate);
        core::TimePoint &last = m_lastReturns[{caller.queue, caller.team}];
        returnAt = std::max(roomAt, last + std::chrono::milliseconds{static_cast<std::int64_t>(intervalMs)});
        returnAt = std::min(returnAt, std::max(last, now + internal::maxReturnDelay));
        last = returnAt;
    }
    const core::Duration delay = std::min(returnAt - now, internal::maxReturnDelay);
    return std::max<std::int64_t>(1, (core::milliseconds(delay) + 999) / 1000);
}

void ReturnSchedule::clear()
{
    m_lastReturns.clear();
}

} // namespace oleanderwick::admission

#pragma once

#include <chrono>

#include "fwd.hpp"

namespace oleanderwick::core
{

/** @brief Span of time. */
using Duration = std::chrono::nanoseconds;

/** @brief Tag of a clock that only moves forward and runs through a suspend of the machine. */
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    /** @return The present time. */
    [[nodiscard]] static time_point now() noexcept;
};

/** @brief Point in time of one machine; never compared with another machine's. */
using TimePoint = BootClock::time_point;

/** @brief Source of the present time, replaced in tests. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** @return The present time. */
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;
};

/** @brief Clock of the machine. */
class SystemClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override;
};

/**
 * @brief Converts to whole milliseconds.
 * @param span Span to convert.
 * @return Milliseconds, rounded towards zero.
 */
[[nodiscard]] constexpr std::int64_t milliseconds(Duration span) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace oleanderwick::core

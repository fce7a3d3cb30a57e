#pragma once

#include <chrono>

#include "fwd.hpp"

namespace oleanderwick::core
{

/** @brief Time span in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/** @brief Monotonic clock that includes the time for which the system is suspended. */
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    /** @return Current time. */
    [[nodiscard]] static time_point now() noexcept;
};

/** @brief Time of the BootClock; times of different hosts cannot be compared. */
using TimePoint = BootClock::time_point;

/** @brief Source of the current time; tests replace it. */
class Clock
{
public:
    virtual ~Clock() = default;

    /** @return Current time. */
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;
};

/** @brief Clock that reads the BootClock. */
class MonotonicClock final : public Clock
{
public:
    [[nodiscard]] TimePoint now() const noexcept override;
};

/**
 * @brief Converts a time span to milliseconds.
 * @param span Time span to convert.
 * @return Whole milliseconds, rounded towards zero.
 */
[[nodiscard]] constexpr std::int64_t milliseconds(Duration span) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace oleanderwick::core

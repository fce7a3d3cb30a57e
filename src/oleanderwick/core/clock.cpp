#include "clock.hpp"

#include <ctime>

namespace oleanderwick::core
{

TimePoint BootClock::now() noexcept
{
    ::timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint{std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec}};
}

TimePoint MonotonicClock::now() const noexcept
{
    return BootClock::now();
}

} // namespace oleanderwick::core

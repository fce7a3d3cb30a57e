#pragma once

#include <cstdint>
#include <functional>

#include "clock.hpp"

namespace oleanderwick::core
{

/** @brief Runs callbacks on one thread, at once, delayed or periodically, and provides the time; the emulator implements it in virtual time. */
class Executor
{
public:
    virtual ~Executor() = default;

    /**
     * @brief Schedules a callback to run as soon as possible.
     * @param work Callback to run.
     */
    virtual void post(std::function<void()> work) = 0;

    /**
     * @brief Schedules a callback to run once after a delay.
     * @param delay Time until the callback runs.
     * @param work Callback to run.
     */
    virtual void after(Duration delay, std::function<void()> work) = 0;

    /**
     * @brief Schedules a callback to run periodically.
     * @param period Time between two runs.
     * @param work Callback to run.
     */
    virtual void every(Duration period, std::function<void()> work) = 0;

    /** @return Current time of the monotonic clock, which includes the time for which the system is suspended. */
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;

    /** @return Unix time in milliseconds. */
    [[nodiscard]] virtual std::int64_t wallMs() const noexcept = 0;
};

} // namespace oleanderwick::core

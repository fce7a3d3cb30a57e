#pragma once

#include <cstdint>
#include <functional>

#include "clock.hpp"

namespace oleanderwick::core
{

/** @brief Runs work on one thread, now or later, and tells that thread's time; the emulator replaces it by one in virtual time. */
class Executor
{
public:
    virtual ~Executor() = default;

    /**
     * @brief Has work done soon.
     * @param work Work to do.
     */
    virtual void post(std::function<void()> work) = 0;

    /**
     * @brief Has work done once, later.
     * @param delay Time until then.
     * @param work Work to do.
     */
    virtual void after(Duration delay, std::function<void()> work) = 0;

    /**
     * @brief Has work done again and again.
     * @param period Time between two runs.
     * @param work Work to do.
     */
    virtual void every(Duration period, std::function<void()> work) = 0;

    /** @return The present time, which runs through a suspend of the machine. */
    [[nodiscard]] virtual TimePoint now() const noexcept = 0;

    /** @return Unix time in milliseconds. */
    [[nodiscard]] virtual std::int64_t wallMs() const noexcept = 0;
};

} // namespace oleanderwick::core

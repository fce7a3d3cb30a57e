#pragma once

#include <condition_variable>
#include <mutex>
#include <stop_token>

#include "../core/core.hpp"

namespace oleanderwick::node
{

/**
 * @brief Sleeps until the time has passed or a stop of the thread is requested.
 * @param stop Stop token of the thread.
 * @param duration Maximum time to sleep.
 */
inline void sleepUnlessStopped(const std::stop_token &stop, core::Duration duration)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock<std::mutex> lock{mutex};
    wake.wait_for(lock, stop, duration, [] {
        return false;
    });
}

} // namespace oleanderwick::node

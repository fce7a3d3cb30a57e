#pragma once

#include <condition_variable>
#include <mutex>
#include <stop_token>

#include "../core/core.hpp"

namespace oleanderwick::node
{

/**
 * @brief Sleeps, but wakes at once when the thread is asked to stop.
 * @param stop The thread's token.
 * @param span Time to sleep.
 */
inline void sleepUnlessStopped(const std::stop_token &stop, core::Duration span)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock<std::mutex> lock{mutex};
    wake.wait_for(lock, stop, span, [] {
        return false;
    });
}

} // namespace oleanderwick::node

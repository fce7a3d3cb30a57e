#pragma once

#include <functional>
#include <map>
#include <vector>

#include "../../core/core.hpp"

namespace oleanderwick::http::internal
{

/**
 * @brief Deadlines of connections, checked every few milliseconds.
 *
 * One ordered map replaces a timer for each read and write, because arming it needs neither a system call nor a handler.
 */
class Deadlines
{
public:
    /** @brief Called once after a deadline has passed. */
    using Callback = std::function<void()>;

    /** @brief One deadline, disarmed by its destructor. */
    class Timer
    {
    public:
        /**
         * @brief Constructs a timer that is not armed.
         * @param deadlines Set of deadlines that the timer joins when armed; has to outlive the timer.
         * @param callback Called after the deadline has passed; may destroy the timer.
         */
        Timer(Deadlines &deadlines, Callback callback)
            : m_deadlines{deadlines}
            , m_callback{std::move(callback)}
        {
        }

        ~Timer()
        {
            disarm();
        }

        Timer(const Timer &) = delete;
        Timer &operator=(const Timer &) = delete;

        /**
         * @brief Sets the deadline, replacing an earlier one.
         * @param when Time from which on the next sweep calls the callback.
         */
        void arm(core::TimePoint when)
        {
            disarm();
            m_entry = m_deadlines.m_entries.emplace(when, this);
            m_armed = true;
        }

        /** @brief Removes the deadline, if one is set. */
        void disarm()
        {
            if (m_armed) {
                m_deadlines.m_entries.erase(m_entry);
                m_armed = false;
            }
        }

    private:
        friend class Deadlines;

        Deadlines &m_deadlines;
        Callback m_callback;
        std::multimap<core::TimePoint, Timer *>::iterator m_entry;
        bool m_armed{false};
    };

    /**
     * @brief Disarms each timer whose deadline has passed and calls its callback.
     * @param now Current time of the boot clock.
     */
    void sweep(core::TimePoint now)
    {
        while (!m_entries.empty() && m_entries.begin()->first <= now) {
            Timer &timer = *m_entries.begin()->second;
            timer.disarm();
            const Callback callback = timer.m_callback;
            callback();
        }
    }

private:
    std::multimap<core::TimePoint, Timer *> m_entries;
};

} // namespace oleanderwick::http::internal

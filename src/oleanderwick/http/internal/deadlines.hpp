#pragma once

#include <functional>
#include <map>
#include <vector>

#include "../../core/core.hpp"

namespace oleanderwick::http::internal
{

/**
 * @brief Deadlines of connections, looked at every few milliseconds.
 *
 * One ordered map in place of a timer for each read and write: arming costs no system call and no handler.
 */
class Deadlines
{
public:
    /** @brief Called once when a deadline has passed. */
    using Callback = std::function<void()>;

    /** @brief Deadline of one owner; disarmed with it. */
    class Timer
    {
    public:
        /**
         * @brief Makes a timer that is not armed.
         * @param deadlines Where it is kept; has to outlive the timer.
         * @param callback Called when it has passed; may destroy the timer.
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
         * @brief Sets the deadline anew.
         * @param when Time after which the callback is called.
         */
        void arm(core::TimePoint when)
        {
            disarm();
            m_entry = m_deadlines.m_entries.emplace(when, this);
            m_armed = true;
        }

        /** @brief Takes the deadline back. */
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
     * @brief Calls back for every deadline that has passed.
     * @param now Present time.
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

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "../core/core.hpp"
#include "load_figures.hpp"

namespace oleanderwick::admission
{

/**
 * @brief Spreads the returns of refused callers, so that those refused first return first and the number that returns at a time fits the room.
 *
 * Each node has its own schedule and takes its part of the room. Not thread-safe.
 */
class ReturnSchedule
{
public:
    /**
     * @brief Creates an empty schedule.
     * @param nodes Number of nodes that refuse callers; at least 1.
     */
    explicit ReturnSchedule(std::size_t nodes);

    /** @brief Refused caller. */
    struct Caller {
        std::string queue;
        std::string team;
        bool returning{false}; /**< The job was refused before. */
    };

    /**
     * @brief Chooses when a caller returns.
     *
     * A caller that returned already keeps its place: it doesn't wait behind callers that were refused later.
     * @param caller Refused caller.
     * @param share Figures of its team and queue.
     * @param now Current time of the monotonic clock.
     * @return Time until the return, in whole seconds, at least 1.
     */
    [[nodiscard]] std::int64_t retryAfterS(const Caller &caller, const ShareFigures &share, core::TimePoint now);

    /** @brief Forgets all returns, as after the end of an overload. */
    void clear();

private:
    std::size_t m_nodes;
    std::map<std::pair<std::string, std::string>, core::TimePoint> m_lastReturns; /**< Latest return by queue and team. */
};

} // namespace oleanderwick::admission

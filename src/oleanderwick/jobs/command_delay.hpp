#pragma once

#include <map>
#include <optional>
#include <string>

#include "../core/core.hpp"

namespace oleanderwick::jobs
{

/** @brief Delay before a new owner sends commands for instances, since those of its predecessor may still be in flight. */
class CommandDelay
{
public:
    /**
     * @brief Starts a delay for all instances.
     * @param endsAt Time of the monotonic clock at which the delay is over.
     */
    explicit CommandDelay(core::TimePoint endsAt)
        : m_endsAt{endsAt}
    {
    }

    /**
     * @brief Limits the delay to the instances for which the predecessor recorded recent commands.
     * @param instances Time of the monotonic clock at which the delay of each of these instances is over; empty if no instance needs it.
     */
    void limitTo(std::map<std::string, core::TimePoint> instances)
    {
        m_instances = std::move(instances);
    }

    /**
     * @brief Checks whether commands for an instance may be sent.
     * @param instance Name of the instance.
     * @param now Current time of the monotonic clock.
     * @return True if no command of a former owner for the instance can be in flight.
     */
    [[nodiscard]] bool isOver(const std::string &instance, core::TimePoint now) const
    {
        if (now >= m_endsAt) {
            return true;
        }
        if (!m_instances.has_value()) {
            return false;
        }
        const auto recorded = m_instances->find(instance);
        return recorded == m_instances->end() || now >= recorded->second;
    }

private:
    core::TimePoint m_endsAt;
    std::optional<std::map<std::string, core::TimePoint>> m_instances; /**< End of the delay by instance; std::nullopt if it applies to all. */
};

} // namespace oleanderwick::jobs

#pragma once

#include <optional>
#include <set>
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
     * @param instances Names of these instances; empty if no instance needs the delay.
     */
    void limitTo(std::set<std::string> instances)
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
        return now >= m_endsAt || (m_instances.has_value() && !m_instances->contains(instance));
    }

private:
    core::TimePoint m_endsAt;
    std::optional<std::set<std::string>> m_instances; /**< Instances that the delay applies to; std::nullopt for all. */
};

} // namespace oleanderwick::jobs

#pragma once

#include <optional>
#include <set>
#include <string>

#include "../core/core.hpp"

namespace oleanderwick::jobs
{

/** @brief Time for which a new owner gives no orders for instances, since its predecessor's may still be under way. */
class OrderPause
{
public:
    /**
     * @brief Starts a pause for all instances.
     * @param end When it is over.
     */
    explicit OrderPause(core::TimePoint end)
        : m_end{end}
    {
    }

    /**
     * @brief Limits the pause to the instances that the predecessor says it has ordered of late.
     * @param instances Their names.
     */
    void limitTo(std::set<std::string> instances)
    {
        m_instances = std::move(instances);
    }

    /**
     * @brief Tells whether an instance may be ordered.
     * @param instance Name of the instance.
     * @param now Present time.
     * @return True if no other owner's order for it can be under way.
     */
    [[nodiscard]] bool isOver(const std::string &instance, core::TimePoint now) const
    {
        return now >= m_end || (m_instances.has_value() && !m_instances->contains(instance));
    }

private:
    core::TimePoint m_end;
    std::optional<std::set<std::string>> m_instances; /**< Instances that are paused; nothing for all. */
};

} // namespace oleanderwick::jobs

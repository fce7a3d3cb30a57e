#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

#include <oneapi/tbb/concurrent_queue.h>

#include "fwd.hpp"

namespace oleanderwick::core
{

/**
 * @brief Bounded queue that joins two duties, each on a thread of its own.
 * @tparam Type Element carried.
 */
template <typename Type>
class BoundedRing
{
public:
    using value_type = Type;
    using size_type = std::size_t;
    using queue_type = tbb::concurrent_bounded_queue<value_type>;

    /**
     * @brief Makes an empty ring.
     * @param capacity Most elements held at once.
     */
    explicit BoundedRing(size_type capacity)
    {
        m_queue.set_capacity(static_cast<typename queue_type::size_type>(capacity));
    }

    /** @return Elements held at some moment of late. */
    [[nodiscard]] size_type size() const
    {
        // Negative while takers wait.
        return static_cast<size_type>(std::max<typename queue_type::size_type>(0, m_queue.size()));
    }

    /**
     * @brief Adds an element without waiting, if there is room to spare for more important ones.
     * @param value Element to add.
     * @param most Elements that may be held before it.
     * @return False if the ring holds more; the element is then dropped.
     */
    [[nodiscard]] bool tryPushBelow(value_type value, size_type most)
    {
        return size() < most && tryPush(std::move(value));
    }

    /**
     * @brief Adds an element without waiting.
     * @param value Element to add.
     * @return False if the ring is full; the element is then dropped.
     */
    [[nodiscard]] bool tryPush(value_type value)
    {
        return m_queue.try_push(std::move(value));
    }

    /**
     * @brief Adds an element, waiting for room.
     * @param value Element to add.
     */
    void push(value_type value)
    {
        m_queue.push(std::move(value));
    }

    /**
     * @brief Takes the oldest element, waiting for one.
     * @return The element.
     */
    [[nodiscard]] value_type pop()
    {
        value_type value;
        m_queue.pop(value);
        return value;
    }

    /**
     * @brief Takes the oldest element if there is one.
     * @param value Set to the element.
     * @return False if the ring is empty.
     */
    [[nodiscard]] bool tryPop(value_type &value)
    {
        return m_queue.try_pop(value);
    }

private:
    queue_type m_queue;
};

} // namespace oleanderwick::core

#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

#include <oneapi/tbb/concurrent_queue.h>

#include "fwd.hpp"

namespace oleanderwick::core
{

/**
 * @brief Bounded first-in, first-out queue between threads; thread-safe.
 * @tparam Type Type of the elements.
 */
template <typename Type>
class BoundedRing
{
public:
    using value_type = Type;
    using size_type = std::size_t;
    using queue_type = tbb::concurrent_bounded_queue<value_type>;

    /**
     * @brief Creates an empty ring.
     * @param capacity Maximum number of elements.
     */
    explicit BoundedRing(size_type capacity)
    {
        m_queue.set_capacity(static_cast<typename queue_type::size_type>(capacity));
    }

    /** @return Number of elements; other threads may have changed it already. */
    [[nodiscard]] size_type size() const
    {
        // TBB reports a negative size while consumers wait.
        return static_cast<size_type>(std::max<typename queue_type::size_type>(0, m_queue.size()));
    }

    /**
     * @brief Adds an element without blocking if the ring has fewer elements than a limit; the rest of the capacity is for more important elements.
     * @param value Element to add.
     * @param limit Number of elements at or above which the new element is dropped.
     * @return False if the ring has @p limit elements or more, or is full; the element is then dropped.
     */
    [[nodiscard]] bool tryPushBelow(value_type value, size_type limit)
    {
        return size() < limit && tryPush(std::move(value));
    }

    /**
     * @brief Adds an element without blocking.
     * @param value Element to add.
     * @return False if the ring is full; the element is then dropped.
     */
    [[nodiscard]] bool tryPush(value_type value)
    {
        return m_queue.try_push(std::move(value));
    }

    /**
     * @brief Adds an element; blocks while the ring is full.
     * @param value Element to add.
     */
    void push(value_type value)
    {
        m_queue.push(std::move(value));
    }

    /**
     * @brief Removes the oldest element; blocks while the ring is empty.
     * @return The removed element.
     */
    [[nodiscard]] value_type pop()
    {
        value_type value;
        m_queue.pop(value);
        return value;
    }

    /**
     * @brief Removes the oldest element without blocking.
     * @param value Receives the element.
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

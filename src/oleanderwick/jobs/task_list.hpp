#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include <boost/iterator/transform_iterator.hpp>

#include "task.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief The first tasks of a step by their index; the state of those that are closed takes no memory.
 *
 * A closed task is done and has no run. All of them refer to one object, which must not be changed.
 */
class TaskList
{
    struct Dereference {
        Task &operator()(const std::unique_ptr<Task> &item) const
        {
            return item == nullptr ? closedTask() : *item;
        }
    };

    struct ConstDereference {
        const Task &operator()(const std::unique_ptr<Task> &item) const
        {
            return item == nullptr ? closedTask() : *item;
        }
    };

    using Items = std::vector<std::unique_ptr<Task>>;

public:
    using iterator = boost::transform_iterator<Dereference, Items::const_iterator>;
    using const_iterator = boost::transform_iterator<ConstDereference, Items::const_iterator>;

    /** @return Number of tasks, also of closed ones. */
    [[nodiscard]] std::size_t size() const noexcept
    {
        return m_items.size();
    }

    [[nodiscard]] bool empty() const noexcept
    {
        return m_items.empty();
    }

    /**
     * @brief Returns a task.
     * @param index Its index, below the size.
     * @return The task; for a closed one an object that must not be changed.
     */
    [[nodiscard]] Task &operator[](std::size_t index)
    {
        return Dereference{}(m_items[index]);
    }
    [[nodiscard]] const Task &operator[](std::size_t index) const
    {
        return ConstDereference{}(m_items[index]);
    }

    /**
     * @brief Finds a task that is not closed.
     * @param index Its index in the step.
     * @return The task; null if it is closed or not in the list.
     */
    [[nodiscard]] Task *find(std::size_t index) const noexcept
    {
        return index < m_items.size() ? m_items[index].get() : nullptr;
    }

    /**
     * @brief Appends a task that is new.
     * @return The task.
     */
    Task &append()
    {
        return *m_items.emplace_back(std::make_unique<Task>());
    }

    /** @brief Appends a task that is done. */
    void appendClosed()
    {
        m_items.emplace_back();
    }

    /**
     * @brief Closes a task.
     * @param index Index of a task that is done and has no run.
     * @return Number of tasks that were closed by this: 1 or 0.
     */
    std::int64_t close(std::size_t index) noexcept
    {
        const bool wasOpen = m_items[index] != nullptr;
        m_items[index].reset();
        return wasOpen ? 1 : 0;
    }

    /**
     * @brief Removes all tasks.
     * @return Number of them that were not closed.
     */
    std::int64_t clear() noexcept
    {
        const std::int64_t open = std::count_if(m_items.begin(), m_items.end(), [](const std::unique_ptr<Task> &item) {
            return item != nullptr;
        });
        m_items = Items{};
        return open;
    }

    [[nodiscard]] iterator begin()
    {
        return iterator{m_items.begin()};
    }
    [[nodiscard]] iterator end()
    {
        return iterator{m_items.end()};
    }
    [[nodiscard]] const_iterator begin() const
    {
        return const_iterator{m_items.begin()};
    }
    [[nodiscard]] const_iterator end() const
    {
        return const_iterator{m_items.end()};
    }

private:
    static Task &closedTask()
    {
        static Task task = [] {
            Task done;
            done.record = TaskRecord{true, {}, 1, {}};
            done.phase = TaskPhase::Done;
            return done;
        }();
        return task;
    }

    Items m_items;
};

} // namespace oleanderwick::jobs

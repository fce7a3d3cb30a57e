#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace oleanderwick::jobs
{

/** @brief Open tasks of all jobs, and jobs that have fewer open than they could start. */
struct OpenTaskFigures {
    std::int64_t tasks{0};
    std::int64_t deferredJobs{0};

    [[nodiscard]] bool operator==(const OpenTaskFigures &) const = default;
};

/**
 * @brief Number of the tasks of all jobs that are kept in memory, with a limit.
 *
 * The text of a job is short beside its tasks, so that the memory for these is limited by itself. No team gets more than half of it,
 * so that one team's jobs don't keep out those of the others.
 */
class OpenTasks
{
public:
    /**
     * @brief Constructs an object without tasks.
     * @param maxTasks Limit on the tasks; 0 for none.
     */
    explicit OpenTasks(std::int64_t maxTasks) noexcept;

    /**
     * @brief Returns how many more tasks a team may open.
     * @param team Team of the job.
     * @return Number of tasks; 0 if the limit is reached.
     */
    [[nodiscard]] std::int64_t roomFor(const std::string &team) const;

    /**
     * @brief Counts tasks that were opened, with or without room for them.
     * @param team Team of the job.
     * @param tasks Number of tasks.
     */
    void add(const std::string &team, std::int64_t tasks);

    /**
     * @brief Counts tasks that are no longer kept.
     * @param team Team of the job.
     * @param tasks Number of tasks, all of which were added.
     */
    void remove(const std::string &team, std::int64_t tasks);

    /** @return Number of open tasks. */
    [[nodiscard]] std::int64_t count() const noexcept;

private:
    std::int64_t m_maxTasks;
    std::int64_t m_count{0};
    std::map<std::string, std::int64_t> m_byTeam;
};

} // namespace oleanderwick::jobs

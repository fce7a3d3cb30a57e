#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace oleanderwick::jobs
{

/** @brief Open tasks of all jobs, and jobs that wait for room to open theirs. */
struct OpenTaskFigures {
    std::int64_t tasks{0};
    std::int64_t deferredJobs{0};

    [[nodiscard]] bool operator==(const OpenTaskFigures &) const = default;
};

/**
 * @brief Tasks of the open occurrences of all jobs, with a limit, and the jobs that wait until there is room to open theirs.
 *
 * The text of a job is short beside its tasks, so that the memory for these is limited by itself. No team may use more than half of it while
 * it has any open, so that one team's jobs don't keep out those of the others.
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
     * @brief Checks whether a team may open more tasks. What is alone always has room, so that the largest job is not kept out for ever.
     * @param team Team of the job.
     * @param tasks Number of tasks.
     * @return True if there is room.
     */
    [[nodiscard]] bool hasRoom(const std::string &team, std::int64_t tasks) const;

    /**
     * @brief Counts tasks that were opened, with or without room for them.
     * @param team Team of the job.
     * @param tasks Number of tasks.
     */
    void add(const std::string &team, std::int64_t tasks);

    /**
     * @brief Counts the tasks of a job that is removed.
     * @param team Team of the job.
     * @param tasks Number of its open tasks.
     */
    void remove(const std::string &team, std::int64_t tasks);

    /**
     * @brief Lets a job wait for room, behind the others of its team.
     * @param team Team of the job.
     * @param job Id of the job.
     */
    void defer(const std::string &team, const std::string &job);

    /**
     * @brief Takes the waiting jobs that have room, the teams in turn; stops at the first job of each team that has none.
     * @param open Opens a job and returns true, or returns false if there is no room for it.
     */
    void openDeferred(const std::function<bool(const std::string &)> &open);

    /** @return Number of open tasks. */
    [[nodiscard]] std::int64_t count() const noexcept;

    /** @return Number of jobs that wait. */
    [[nodiscard]] std::size_t deferredJobs() const noexcept;

private:
    std::int64_t m_maxTasks;
    std::int64_t m_count{0};
    std::map<std::string, std::int64_t> m_byTeam;
    std::map<std::string, std::deque<std::string>> m_deferred; /**< Ids by team, the oldest first. */
    std::size_t m_deferredJobs{0};
};

} // namespace oleanderwick::jobs

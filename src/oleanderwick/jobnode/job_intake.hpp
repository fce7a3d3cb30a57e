#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../jobs/ports.hpp"

namespace oleanderwick::jobnode
{

/** @brief Submitted jobs in the order of their arrival, of which each cycle of the owner takes a bounded number. */
class JobIntake
{
public:
    /**
     * @brief Adds a job; without effect if the intake has it.
     * @param id Id of the job.
     * @param item Its record.
     */
    void add(const std::string &id, const jobs::StoreItem &item);

    /**
     * @brief Removes the oldest jobs.
     * @param maxJobs Maximum number of jobs.
     * @return Their records.
     */
    [[nodiscard]] std::vector<jobs::StoreItem> take(std::size_t maxJobs);

    /**
     * @brief Checks whether a job waits here.
     * @param id Id of the job.
     * @return True if it was added and not taken yet.
     */
    [[nodiscard]] bool contains(const std::string &id) const;

    /** @return True if no job waits. */
    [[nodiscard]] bool isEmpty() const noexcept;

private:
    std::deque<std::pair<std::string, jobs::StoreItem>> m_items;
    std::set<std::string> m_ids;
};

} // namespace oleanderwick::jobnode

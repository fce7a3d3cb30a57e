#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "commands.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Jobs whose state is to be stored, in the order in which they changed; those that have ended come first. */
class SaveQueue
{
public:
    /**
     * @brief Creates an empty queue.
     * @param state State of the scheduler; must outlive this object.
     */
    explicit SaveQueue(StateTable &state);

    /**
     * @brief Records a change of a job that has to be stored.
     * @param entry Job that has changed.
     */
    void markChanged(JobEntry &entry);

    /**
     * @brief Collects states that are to be stored; the result of each must be passed to `handleSaved`.
     * @param maxEntries Maximum sum of their `SaveRequest::storeEntries()`.
     * @return The states, those of ended jobs first.
     */
    [[nodiscard]] std::vector<SaveRequest> take(std::size_t maxEntries);

    /**
     * @brief Handles the result of a save; a state that was not stored, or has changed since, becomes due for saving again.
     * @param id Name of the job.
     * @param version Version of the state that was to be stored.
     * @param stored True if the state is durable.
     */
    void handleSaved(const std::string &id, std::uint64_t version, bool stored);

    /** @return True if the state of a job needs to be stored and is not being stored. */
    [[nodiscard]] bool hasUnsaved() const noexcept;

    /** @return True if the state of an ended job needs to be stored and is not being stored. */
    [[nodiscard]] bool hasUnsavedEnd() const noexcept;

private:
    void add(JobEntry &entry);
    [[nodiscard]] static SaveRequest makeRequest(const JobEntry &entry);

    StateTable &m_state;
    std::uint64_t m_lastNumber{0}; /**< Highest number in `m_unsaved` so far. */
    std::map<std::uint64_t, std::string> m_unsaved; /**< Jobs with a state that is neither stored nor being stored, in the order in which they changed. */
    std::map<std::uint64_t, std::string> m_unsavedEnds; /**< Subset of `m_unsaved`: jobs that have ended. */
};

} // namespace oleanderwick::jobs

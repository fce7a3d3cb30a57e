#pragma once

#include <set>
#include <string>

#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Run ends that must not be acknowledged to their workers before the states of their jobs are stored. */
class RunEndAcks
{
public:
    /**
     * @brief Creates an empty object.
     * @param state State of the scheduler; must outlive this object.
     */
    explicit RunEndAcks(StateTable &state);

    /**
     * @brief Records a run end that was processed; a later call of `advance` for the worker must follow.
     * @param worker Worker that reported it.
     * @param end Run end; its number must be higher than those recorded for the worker before.
     */
    void add(Worker &worker, PendingEnd end);

    /**
     * @brief Releases the acknowledgements of a worker's run ends whose states are stored.
     * @param worker Worker that reported them.
     */
    void advance(Worker &worker) const;

    /** @brief Releases the acknowledgements of all run ends whose states are stored. */
    void advanceAll();

private:
    StateTable &m_state;
    std::set<std::string> m_workers; /**< Workers with run ends that are not stored. */
};

} // namespace oleanderwick::jobs

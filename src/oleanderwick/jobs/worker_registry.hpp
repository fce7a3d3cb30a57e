#pragma once

#include <cstdint>
#include <string>

#include "scheduler_output.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Entries of workers: the platform's registry, incarnations, and what maintenance and moves between pools say about them. */
class WorkerRegistry
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param output Receives the decisions to be logged; must outlive this object.
     */
    WorkerRegistry(StateTable &state, SchedulerOutput &output);

    /** @brief See `Scheduler::registerWorker`. */
    void add(const WorkerEntry &entry, core::TimePoint now);

    /** @brief See `Scheduler::unregisterWorker`. */
    void remove(const std::string &id);

    /** @brief See `Scheduler::restoreWorker`. */
    void restore(const std::string &id, const std::string &pool);

    /** @brief See `Scheduler::setCordoned`. */
    void setCordoned(const std::string &id, bool cordoned, CordonReason reason);

    /** @brief See `Scheduler::setMaintenancePending`. */
    void setMaintenancePending(const std::string &id);

    /**
     * @brief Records a new incarnation of a worker; its runs are kept until its next report.
     * @param worker Worker that was restarted.
     * @param incarnation Its new incarnation.
     * @param now Current time of the monotonic clock.
     */
    void resetIncarnation(Worker &worker, std::int64_t incarnation, core::TimePoint now);

private:
    StateTable &m_state;
    SchedulerOutput &m_output;
};

} // namespace oleanderwick::jobs

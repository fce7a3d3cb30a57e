#pragma once

#include "scheduler_output.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Decides from how runs end whether a worker gets more of them: it is quarantined after several failures, then probed. */
class WorkerHealth
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param output Receives the decisions to be logged; must outlive this object.
     */
    WorkerHealth(const StateTable &state, SchedulerOutput &output);

    /**
     * @brief Records how a run ended.
     * @param worker Worker of the run.
     * @param kind How it ended; a run that hangs counts as failed.
     * @param now Current time of the monotonic clock.
     */
    void recordEnd(Worker &worker, RunEndKind kind, core::TimePoint now);

    /**
     * @brief Records that a continuous task is fully started, which counts as success since it never ends with one.
     * @param worker Worker of the run.
     * @param task Task that is available.
     */
    static void recordAvailable(Worker &worker, const Task &task);

    /**
     * @brief Checks whether a worker may get another run.
     * @param worker Worker to check.
     * @param now Current time of the monotonic clock.
     * @return False while it is in quarantine, or has failed repeatedly and is being probed with one run already.
     */
    [[nodiscard]] bool mayStart(const Worker &worker, core::TimePoint now) const;

private:
    /** Returns true if a run on the worker was started after the worker's last failure. */
    [[nodiscard]] bool hasProbe(const Worker &worker) const;

    const StateTable &m_state;
    SchedulerOutput &m_output;
};

} // namespace oleanderwick::jobs

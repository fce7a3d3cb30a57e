#pragma once

#include <map>

#include "candidate.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Decides for how long the tasks of a continuous step wait for a second worker, so that the loss of one doesn't end them all.
 *
 * Without the wait, all tasks would start on the first worker that has room. It is bounded by a time, whatever the other workers do, and
 * tasks that have run before wait only while another worker of the pool may take them.
 */
class SpreadWait
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     */
    explicit SpreadWait(const StateTable &state);

    /**
     * @brief Starts a placement: forgets the waits that were not renewed lately.
     * @param now Current time of the monotonic clock.
     */
    void begin(core::TimePoint now);

    /**
     * @brief Checks whether one more task of a step is not to be started on a worker, since most of the step would run there.
     * @param worker The worker.
     * @param candidate The step.
     * @param now Current time of the monotonic clock.
     * @return False for steps whose tasks don't survive the loss of another one, for late jobs, and once the wait for another worker is over.
     */
    [[nodiscard]] bool keepsOff(const Worker &worker, const Candidate &candidate, core::TimePoint now) const;

    /**
     * @brief Takes note that a step found only workers that it is kept off.
     * @param candidate The step.
     * @param now Current time of the monotonic clock.
     * @return True if its wait is over.
     */
    bool wait(const Candidate &candidate, core::TimePoint now);

private:
    struct Wait {
        core::TimePoint since;
        core::TimePoint renewedAt;
    };

    [[nodiscard]] static bool concentrates(const Worker &worker, const Candidate &candidate);
    /** Checks whether a worker of the pool that has no room or is closed now may take a task later without running most of the step. */
    [[nodiscard]] bool hasAlternative(const Candidate &candidate) const;
    [[nodiscard]] bool isOver(const StepName &step, core::TimePoint now) const;

    const StateTable &m_state;
    std::map<StepName, Wait> m_waits;
};

} // namespace oleanderwick::jobs

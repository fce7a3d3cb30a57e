#pragma once

#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief What is estimated of a job's remaining time: its critical path, and its slack to the latency objective. */
class JobEstimates
{
public:
    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param lateBoundFactor Multiple of a job's objective after which its answer has no use.
     */
    JobEstimates(const StateTable &state, double lateBoundFactor);

    /**
     * @brief Estimates the duration of the critical path.
     * @param job Job whose steps are examined.
     * @param progress Occurrence whose finished steps are left out; null to count all steps.
     * @return Duration in milliseconds.
     */
    [[nodiscard]] static double criticalPathMs(const Job &job, const Occurrence *progress);

    /**
     * @brief Checks whether the tasks of a step may start.
     * @param job Job of the step.
     * @param occurrence Occurrence of the job.
     * @param step Index of the step.
     * @return True if all steps on which it depends are done.
     */
    [[nodiscard]] static bool isStepReady(const Job &job, const Occurrence &occurrence, std::size_t step);

    /**
     * @brief Computes the latency objective of a job.
     * @param entry The job.
     * @return Time from its submission to its end in milliseconds.
     */
    [[nodiscard]] double objectiveMs(const JobEntry &entry) const;

    /**
     * @brief Estimates the time left to start the remaining steps without missing the latency objective.
     * @param entry Job.
     * @param occurrence Occurrence of the job.
     * @param wallMs Unix time in milliseconds.
     * @return Time in milliseconds; negative if the objective will be missed.
     */
    [[nodiscard]] double slackMs(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs) const;

    /**
     * @brief Estimates the time left to start the remaining steps before the answer loses its use.
     * @param entry Job.
     * @param slackMs Its slack in milliseconds, see `slackMs`.
     * @return Time in milliseconds; negative if nobody will wait for the answer any more.
     */
    [[nodiscard]] double usefulSlackMs(const JobEntry &entry, double slackMs) const;

    /**
     * @brief Estimates the slack of a job of which tasks are running; unlike for `slackMs`, what these have done no longer counts as remaining.
     * @param entry Job.
     * @param occurrence Occurrence of the job.
     * @param wallMs Unix time in milliseconds.
     * @param now Current time of the monotonic clock.
     * @return Time in milliseconds; negative if the objective will be missed although the running tasks go on.
     */
    [[nodiscard]] double runningSlackMs(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs, core::TimePoint now) const;

    /**
     * @brief Determines from when the time of an occurrence counts.
     * @param job Job of the occurrence.
     * @param occurrence Occurrence of the job.
     * @return Unix time in milliseconds at which it was due, or was submitted if it does not repeat.
     */
    [[nodiscard]] static std::int64_t releaseMs(const Job &job, const Occurrence &occurrence);

private:
    /** Estimated time until the last task of a step ends, if those that do not run start now. */
    [[nodiscard]] static double remainingMs(const Step &step, const StepState &state, core::TimePoint now);
    /** Time until the objective in milliseconds; negative once it has passed. */
    [[nodiscard]] double timeToObjectiveMs(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs) const;

    const StateTable &m_state;
    double m_lateBoundFactor;
};

} // namespace oleanderwick::jobs

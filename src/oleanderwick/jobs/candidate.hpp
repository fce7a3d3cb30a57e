#pragma once

#include <cstdint>
#include <vector>

#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Step with tasks that can start; valid during a placement. */
struct Candidate {
    /** Tasks of the step that the candidate stands for. */
    enum class Selection : std::uint8_t {
        All,
        Sound, /**< All except unsound ones. */
        Unsound, /**< Only tasks with `Task::unsound`, which run one at a time in each job. */
    };

    JobEntry *entry{nullptr};
    std::int64_t occurrence{0}; /**< Number of the occurrence. */
    std::size_t step{0}; /**< Index of the step. */
    StepState *state{nullptr};
    std::int64_t priority{0}; /**< Priority of the queue; lower values are placed first. */
    bool needsTicket{false}; /**< The tasks are placed only with a ticket from the advice service. */
    bool withoutRoom{false}; /**< The tasks certainly find no room; such a candidate is only there to be counted. */
    double slackMs{0.0}; /**< See `JobEstimates::slackMs`. */
    Selection selection{Selection::All};

    /** @return Step of the job. */
    [[nodiscard]] const Step &definition() const
    {
        return entry->job.steps[step];
    }

    /** @return True for work of a job that will miss its objective or is beyond its team's rate; never for continuous tasks. */
    [[nodiscard]] bool isLate() const
    {
        return !definition().continuous && (slackMs < 0 || entry->beyondRate);
    }

    /** @return Tasks of the step. */
    [[nodiscard]] TaskList &tasks() const
    {
        return state->tasks;
    }

    /**
     * @brief Checks whether a run of a task may be started for this candidate.
     * @param task Task of the step.
     * @param now Current time of the monotonic clock.
     * @return True if the candidate stands for the task and the task may start.
     */
    [[nodiscard]] bool mayStart(const Task &task, core::TimePoint now) const noexcept
    {
        return task.mayStart(now) && !awaitsVerdict(task, now) && (selection == Selection::All || task.unsound == (selection == Selection::Unsound));
    }

    /**
     * @brief Checks whether a worker is to be chosen for a task by itself, because of the workers on which it has failed.
     * @param task Task of the step.
     * @return True for a continuous task that fails repeatedly, and for other tasks with workers in `Task::failedOn`.
     */
    [[nodiscard]] bool avoidsWorkers(const Task &task) const
    {
        return definition().continuous ? task.failsRepeatedly() : !task.failedOn.empty();
    }

    /**
     * @brief Checks whether a task that may crash its workers has to wait for evidence.
     * @param task Task of the step.
     * @param now Current time of the monotonic clock.
     * @return True while the fate of its workers is unknown, or what is known could be lost with the owner.
     */
    [[nodiscard]] bool awaitsVerdict(const Task &task, core::TimePoint now) const noexcept
    {
        // The list of instances, which tells the fate of a worker, may be unavailable for longer than a task should wait.
        constexpr core::Duration maxWait = std::chrono::seconds{10};
        const bool isFateUnknown = task.doubts > 0 && now - task.suspectedAt < maxWait;
        return task.needsVerdict() && (isFateUnknown || task.evidenceVersion > entry->savedVersion);
    }

    /**
     * @brief Names a task of the step.
     * @param index Index of the task.
     * @return Its name.
     */
    [[nodiscard]] TaskName taskName(std::size_t index) const
    {
        return TaskName{entry->job.id, occurrence, step, index};
    }

    /** @return Name of the step. */
    [[nodiscard]] StepName stepName() const
    {
        return StepName{entry->job.id, occurrence, step};
    }
};

} // namespace oleanderwick::jobs

#pragma once

#include <cstdint>
#include <vector>

#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Step with tasks that can start; valid during a placement. */
struct Candidate {
    JobEntry *entry{nullptr};
    std::int64_t occurrence{0}; /**< Number of the occurrence. */
    std::size_t step{0}; /**< Index of the step. */
    StepState *state{nullptr};
    std::int64_t priority{0}; /**< Priority of the queue; lower values are placed first. */
    bool needsTicket{false}; /**< The tasks are placed only with a ticket from the advice service. */
    double slackMs{0.0}; /**< See `JobEstimates::slackMs`. */

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
    [[nodiscard]] std::vector<Task> &tasks() const
    {
        return state->tasks;
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

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "scheduler_output.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Keeps account of the tasks that were running on a worker when its process crashed.
 *
 * Runs that were given up while it was unknown whether their worker had ended are kept as doubts until the worker's fate is known.
 */
class CrashAttribution
{
public:
    /** @brief Run that a worker had, or may have had, when it crashed. */
    struct Suspect {
        TaskName task;
        std::int64_t run{0};
        core::TimePoint startedAt; /**< When the run was commanded or adopted. */

        [[nodiscard]] bool operator==(const Suspect &) const = default;
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param output Receives the decisions to be logged; must outlive this object.
     */
    CrashAttribution(StateTable &state, SchedulerOutput &output);

    /**
     * @brief Lists the runs on a worker that its crash ends.
     * @param worker Worker to examine.
     * @param startedBefore Runs that were commanded later are left out.
     * @return Its runs, without those of unknown tasks.
     */
    [[nodiscard]] std::vector<Suspect> suspectsOn(const Worker &worker, core::TimePoint startedBefore = core::TimePoint::max());

    /**
     * @brief Keeps a run that is given up, or whose start got no reply, until it is known whether its worker has ended.
     * @param worker Name of the worker.
     * @param suspect The run.
     * @param now Current time of the monotonic clock.
     */
    void addDoubt(const std::string &worker, const Suspect &suspect, core::TimePoint now);

    /**
     * @brief Drops the doubts about a worker that has replied, or that has ended as planned.
     * @param worker Name of the worker.
     */
    void clearDoubts(const std::string &worker);

    /** @return True if there are doubts about the worker. */
    [[nodiscard]] bool hasDoubts(const std::string &worker) const;

    /**
     * @brief Records that the process of a worker has ended unexpectedly.
     * @param worker Name of the worker.
     * @param suspects Runs that it had; runs in doubt are added to them.
     * @param detectedBy How the end was noticed, for the log.
     * @param now Current time of the monotonic clock.
     */
    void recordCrash(const std::string &worker, std::vector<Suspect> suspects, std::string_view detectedBy, core::TimePoint now);

private:
    StateTable &m_state;
    SchedulerOutput &m_output;
    std::map<std::string, std::vector<Suspect>> m_doubts; /**< By worker. */
};

} // namespace oleanderwick::jobs

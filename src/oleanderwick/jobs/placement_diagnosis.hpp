#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>

#include "candidate_finder.hpp"
#include "rack_wait.hpp"
#include "wait_reason.hpp"
#include "worker_chooser.hpp"

namespace oleanderwick::jobs
{

/** @brief Why a step with ready tasks has no run. */
struct WaitFinding {
    WaitReason reason{WaitReason::Order};
    std::size_t index{0}; /**< Task that was examined. */
    std::array<std::int64_t, waitReasonCount>
        workers{}; /**< Workers of the pool by what keeps the task from them; those that could take it count as `Order`. */

    [[nodiscard]] bool operator==(const WaitFinding &) const = default;
};

/** @brief Says why a task is not started, by the predicates that decide about placements; examines one step on demand and changes nothing. */
class PlacementDiagnosis
{
public:
    /** @brief Objects that decide about a placement; they must outlive the diagnosis. */
    struct Collaborators {
        StateTable &state;
        const CandidateFinder &finder;
        const JobEstimates &estimates;
        const WorkerChooser &chooser;
        const RackWait &racks;
    };

    /**
     * @brief Creates the diagnosis for one owner's term.
     * @param collaborators Objects that decide about a placement.
     */
    explicit PlacementDiagnosis(const Collaborators &collaborators);

    /**
     * @brief Checks whether a step stands: its turn has come, it is not done, and none of its tasks is known to run.
     * @param entry Job of the step.
     * @param occurrence Occurrence of the job.
     * @param step Index of the step.
     * @return True if the step stands.
     */
    [[nodiscard]] static bool stands(const JobEntry &entry, const Occurrence &occurrence, std::size_t step);

    /**
     * @brief Finds out why a step that stands has no run.
     * @param name Name of the step.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     * @return The reason; `std::nullopt` if the step is unknown or doesn't stand.
     */
    [[nodiscard]] std::optional<WaitFinding> examine(const StepName &name, core::TimePoint now, std::int64_t wallMs) const;

    /**
     * @brief Describes why a job has no run, for the log.
     * @param entry The job.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     * @return As `describe` for its first step that stands; `reason=running` if none does.
     */
    [[nodiscard]] std::string describeJob(const JobEntry &entry, core::TimePoint now, std::int64_t wallMs) const;

    /**
     * @brief Describes a finding for the log.
     * @param finding The finding.
     * @param entry Job of the step.
     * @return Key=value pairs: the reason, the workers by reason, and the use of the team if its limit is the reason.
     */
    [[nodiscard]] std::string describe(const WaitFinding &finding, const JobEntry &entry) const;

private:
    [[nodiscard]] std::optional<WaitReason> reasonOfTask(const Candidate &candidate, std::size_t index, core::TimePoint now) const;
    void examineWorkers(const Candidate &candidate, WaitFinding &finding, core::TimePoint now) const;
    [[nodiscard]] WaitReason reasonDespiteRoom(const Candidate &candidate, std::size_t index) const;
    /** Returns the CPU of a team's tasks whose start or stop has no final reply, and of its stray runs, in thousandths of a core. */
    [[nodiscard]] std::int64_t unsettledCpu(const std::string &team) const;

    Collaborators m_with;
};

} // namespace oleanderwick::jobs

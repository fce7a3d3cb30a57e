#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "candidate.hpp"
#include "job_estimates.hpp"
#include "worker_index.hpp"
#include "worker_leases.hpp"

namespace oleanderwick::jobs
{

/** @brief Finds the steps with tasks that can start; their order is not decided here. */
class CandidateFinder
{
public:
    /** @brief Which steps are found. */
    enum class Scope : std::uint8_t {
        Placeable, /**< Steps that certainly find no room are left out, unless they need tickets. */
        All, /**< All steps that are ready; the index of workers is not used. */
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param state State of the scheduler; must outlive this object.
     * @param leases Says which runs of previous owners may exist; must outlive this object.
     * @param estimates Estimates the slack of jobs; must outlive this object.
     * @param index Workers that can take runs; must outlive this object.
     * @param includeWithoutRoom Whether steps that certainly find no room are candidates too, for an order that depends on what waits.
     */
    CandidateFinder(StateTable &state, const WorkerLeases &leases, const JobEstimates &estimates, const WorkerIndex &index, bool includeWithoutRoom);

    /**
     * @brief Finds the candidates of a placement.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     * @param scope Which steps are found.
     * @return The candidates in the order of their jobs' names.
     */
    [[nodiscard]] std::vector<Candidate> find(core::TimePoint now, std::int64_t wallMs, Scope scope = Scope::Placeable) const;

    /**
     * @brief Checks whether a job waits until the runs of previous owners in its pool are known.
     * @param entry The job.
     * @param now Current time of the monotonic clock.
     * @return True if none of its tasks is started for this reason.
     */
    [[nodiscard]] bool awaitsFormerRuns(const JobEntry &entry, core::TimePoint now) const;

private:
    void addCandidates(JobEntry &entry, core::TimePoint now, std::int64_t wallMs, Scope scope, std::vector<Candidate> &found) const;

    StateTable &m_state;
    const WorkerLeases &m_leases;
    const JobEstimates &m_estimates;
    const WorkerIndex &m_index;
    bool m_includeWithoutRoom;
};

} // namespace oleanderwick::jobs

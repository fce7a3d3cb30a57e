#pragma once

#include <cstdint>
#include <string>

#include "candidate_finder.hpp"
#include "candidate_order.hpp"
#include "rack_wait.hpp"
#include "scheduler_output.hpp"
#include "ticket_table.hpp"
#include "worker_chooser.hpp"
#include "worker_leases.hpp"

namespace oleanderwick::jobs
{

/** @brief Starts tasks that are ready: candidates in the order of the strategy, each on the worker that is chosen for it. */
class TaskPlacer
{
public:
    /** @brief Objects that decide about a placement; they must outlive the placer. */
    struct Collaborators {
        StateTable &state;
        const WorkerLeases &leases;
        TicketTable &tickets;
        WorkerIndex &index;
        const CandidateFinder &finder;
        CandidateOrder &order;
        WorkerChooser &chooser;
        RackWait &racks;
        SchedulerOutput &output;
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param collaborators Objects that decide about a placement.
     */
    explicit TaskPlacer(const Collaborators &collaborators);

    /**
     * @brief Places tasks that are ready if something has changed since the last placement, or some time has passed.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

private:
    void place(core::TimePoint now, std::int64_t wallMs);
    void requestTickets(const Candidate &candidate, core::TimePoint now);
    void placeStep(const Candidate &candidate, core::TimePoint now);
    void placeGang(const Candidate &candidate, core::TimePoint now);
    void startTask(const Candidate &candidate, std::size_t index, Worker &worker, std::int64_t run, core::TimePoint now);
    /** Logs the runs that were placed for a step, given as `index:worker:run` separated by commas; nothing if there are none. */
    void logPlacement(const Candidate &candidate, const std::string &placed);

    Collaborators m_with;
    core::TimePoint m_lastPlacement;
};

} // namespace oleanderwick::jobs

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "../admission/load_figures.hpp"
#include "log_sink.hpp"
#include "owner_notice.hpp"
#include "ownership.hpp"
#include "translator.hpp"
#include "watcher.hpp"

namespace oleanderwick::jobnode
{

/** @brief Options for the election and the work of an owner. */
struct OwnerOptions {
    jobs::SchedulerLimits scheduler;
    jobs::BalancingPolicy balancing;
    core::Duration electionDelay{}; /**< Delay of a claim of ownership, so that nodes with more CPU claim it first. */
    /** Delay of commands for an instance that a previous owner commanded recently, or for all if that is unknown: its command may still be in flight. */
    core::Duration commandDelay{std::chrono::seconds{3}};
    core::Duration maxCommandFlight{std::chrono::milliseconds{1500}}; /**< Time within which a command for an instance is answered or given up. */
    bool notifyOwner{false}; /**< Send notices to the owner, and take them as owner. */
    std::string noticeAddress; /**< Address at which this node takes notices. */
    bool refuseJobs{false}; /**< Publish load figures as owner, and refuse jobs by them on each node. */
    double lateBoundFactor{3.0}; /**< Multiple of a job's objective after which its answer has no use. */
    std::size_t nodes{1}; /**< Number of nodes that take submissions. */
    core::Duration endedJobRetention{std::chrono::seconds{180}}; /**< Time for which the state of an ended job can be read. */
};

/** @brief Work of the owner during its term: feeds the scheduler with the data of the store, the workers and the instances, and sends its commands. */
class OwnerTerm
{
public:
    /**
     * @brief Starts the term by restoring the stored state.
     * @param executor Runs all work of the term.
     * @param ports Interfaces to the systems around the node.
     * @param ownership Decides whether commands may be sent.
     * @param token Fencing token of this term.
     * @param options Options for the work of the owner.
     * @param log Receives the log events.
     */
    OwnerTerm(core::Executor &executor, const Ports &ports, Ownership &ownership, std::int64_t token, const OwnerOptions &options, LogSink &log);
    ~OwnerTerm();
    OwnerTerm(const OwnerTerm &) = delete;
    OwnerTerm &operator=(const OwnerTerm &) = delete;

    /**
     * @brief Applies a configuration or a wave.
     * @param update Content of an item that operators wrote.
     */
    void applyUpdate(const OperatorUpdate &update);

    /**
     * @brief Handles notices of jobs and cancellations that are in the store.
     * @param notices Notices of nodes; ignored unless `OwnerOptions::notifyOwner` is set.
     */
    void handleNotices(const std::vector<OwnerNotice> &notices);

    /**
     * @brief Continues after load figures that a former owner published.
     * @param figures Last figures that this node has seen.
     */
    void restoreLoad(const admission::LoadFigures &figures);

    /** @return Open tasks of all jobs, and jobs that wait for room. */
    [[nodiscard]] jobs::OpenTaskFigures openTasks() const noexcept;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "job_gate.hpp"
#include "job_service.hpp"
#include "owner_notifier.hpp"
#include "owner_term.hpp"
#include "zone_closures.hpp"

namespace oleanderwick::jobnode
{

/** @brief Node of the job scheduler: accepts calls of submitters, competes for ownership, and follows the operators' configurations and waves. */
class JobNode
{
public:
    /**
     * @brief Starts the node.
     * @param executor Runs all work of the node.
     * @param ports Interfaces to the systems around the node.
     * @param name Name of the node, unique to one run of its process.
     * @param options Options for the election and the work as owner.
     * @param log Receives the log events.
     */
    JobNode(core::Executor &executor, const Ports &ports, const std::string &name, const OwnerOptions &options, LogSink &log);
    ~JobNode();
    JobNode(const JobNode &) = delete;
    JobNode &operator=(const JobNode &) = delete;

    /** @return Service for the calls of submitters. */
    [[nodiscard]] JobService &jobService() noexcept;

    /**
     * @brief Stores a job, or refuses it if the node refuses jobs and the fleet is overloaded.
     * @param job Job to store.
     * @param policy Policy of its queue.
     * @param deadline Time at which the submitter gives up.
     * @param onReply Called once with the reply.
     */
    void submit(const jobs::Job &job, const jobs::QueuePolicy &policy, core::TimePoint deadline, JobService::OnReply onReply);

    /** @return True if submitters may call this node: it has a configuration and is not stopping. */
    [[nodiscard]] bool isReady() const noexcept;

    /** @return Open tasks of all jobs, and jobs that wait for room, if this node is the owner. */
    [[nodiscard]] jobs::OpenTaskFigures openTasks() const noexcept;

    /** @return True while this node is the owner. */
    [[nodiscard]] bool isOwner() const noexcept;

    /** @return Version of the configuration in force; 0 if there is none. */
    [[nodiscard]] std::int64_t configVersion() const noexcept;

    /**
     * @brief Handles notices of other nodes.
     * @param notices Notices of jobs and cancellations that are in the store.
     * @return True if this node is the owner, and certain of it.
     */
    bool handleNotices(const std::vector<OwnerNotice> &notices);

    /** @brief Prepares to stop: the node is no longer ready, and resigns as owner. */
    void stop();

private:
    void handleOperatorItem(const jobs::StoreItem &item);
    void recordZone(const char *event, const std::string &key, std::int64_t revision);
    void followLoad();
    void becomeOwner(std::int64_t token);
    void notify(const OwnerNotice &notice);

    core::Executor &m_executor;
    Ports m_ports;
    OwnerOptions m_options;
    LogSink &m_log;
    JobService m_jobService;
    std::unique_ptr<JobGate> m_gate; /**< Null if this node refuses no jobs. */
    ZoneClosures m_zoneClosures; /**< As this node knows them, for its log and metrics; an owner's term lists them itself. */
    OperatorUpdate m_config;
    std::map<std::int64_t, OperatorUpdate> m_waves;
    bool m_stopping{false};
    bool m_isStoreReachable{true};
    std::unique_ptr<OwnerTerm> m_term;
    std::unique_ptr<OwnerNotifier> m_notifier; /**< Null if this node sends no notices. */
    std::unique_ptr<Ownership> m_ownership;
    std::unique_ptr<Watcher> m_operatorWatcher;
    std::unique_ptr<Watcher> m_publishedWatcher; /**< Null if this node refuses no jobs. */
};

} // namespace oleanderwick::jobnode

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "../jobs/ports.hpp"
#include "log_sink.hpp"
#include "owner_notice.hpp"
#include "watcher.hpp"

namespace oleanderwick::jobnode
{

/** @brief Reads the jobs and workers that the owner's watches have not delivered although notices, or the list of instances, name them. */
class MissedChanges
{
public:
    /** @brief What the owner's term knows and does; not called after the object is destroyed. */
    struct Callbacks {
        std::function<bool()> isReady; /**< The stored state has been restored, so that unknown jobs are new. */
        std::function<bool(const std::string &)> isJobKnown; /**< The job with this id is known, or has ended. */
        std::function<void(const std::string &)> onCancel; /**< The cancellation of a known job is in the store. */
        std::function<void(const jobs::StoreItem &)> onJob; /**< A submitted job was read. */
        std::function<bool(const std::string &)> isWorkerRegistered; /**< The worker with this name is known from the registry. */
        std::function<void(const jobs::StoreItem &)> onWorker; /**< The entry of a worker was read. */
    };

    /**
     * @brief Creates an object that expects nothing.
     * @param executor Runs the checks.
     * @param log Receives the log events.
     * @param jobs Watcher of the submitted jobs; has to outlive this object.
     * @param workers Watcher of the registry; has to outlive this object.
     * @param workerPrefix Prefix of the keys of workers.
     * @param callbacks Connect it with the owner's term.
     */
    MissedChanges(core::Executor &executor, LogSink &log, Watcher &jobs, Watcher &workers, std::string workerPrefix, Callbacks callbacks);
    ~MissedChanges();
    MissedChanges(const MissedChanges &) = delete;
    MissedChanges &operator=(const MissedChanges &) = delete;

    /**
     * @brief Handles notices of nodes.
     * @param notices Notices, possibly late, doubled or of jobs that ended.
     */
    void handleNotices(const std::vector<OwnerNotice> &notices);

    /**
     * @brief Handles a job that has become known after the stored state was restored.
     * @param id Id of the job.
     */
    void handleJobKnown(const std::string &id);

    /**
     * @brief Handles a list of all instances.
     * @param instances Instances by name.
     */
    void handleInstances(const jobs::InstancePort::Instances &instances);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

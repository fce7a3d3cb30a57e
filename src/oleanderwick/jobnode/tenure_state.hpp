#pragma once

#include "tenure.hpp"

namespace oleanderwick::jobnode
{

/** @brief Inner state of a tenure; outlives it for as long as calls are under way. */
struct Tenure::State : std::enable_shared_from_this<Tenure::State> {
    State(core::Executor &itsExecutor, const Ports &itsPorts, Ownership &itsOwnership, std::int64_t itsToken, const TenureLimits &itsLimits, LogSink &itsLog);

    /** Orders for instances that are given together. */
    struct InstanceOrders {
        std::vector<jobs::MaintainCommand> maintained;
        std::vector<jobs::MoveCommand> moved;
    };

    /** Takes an item that is read while taking over; only called while the state lives. */
    using OnItem = std::function<void(const jobs::StoreItem &)>;

    /** @name Taking over */
    /** @{ */
    void begin();
    void loadAll(const std::string &prefix, const std::string &after, const OnItem &onItem, const std::function<void()> &then);
    void loadRecords();
    void loaded();
    void takeWave(const jobs::StoreItem &item);
    void takeState(const jobs::StoreItem &item);
    void loadUsedWorkers();
    void loadOrderedInstances();
    void takeOrderedInstances(const std::string &text);
    void takeUsedWorkers(const std::string &text);
    void follow();
    void restored();
    void restoreJob(const std::string &id);
    /** @} */

    /** @name What the store says */
    /** @{ */
    void takeIntake(const jobs::StoreItem &item);
    void takeWorker(const jobs::StoreItem &item);
    void takeWorkerRemoval(const std::string &key);
    /** @} */

    /** @name Orders */
    /** @{ */
    void schedulePump();
    void tick();
    void pump();
    void sendOrders();
    void sendStart(const jobs::StartOrder &order);
    void sendStop(const jobs::StopOrder &order);
    void sendHold(const jobs::HoldOrder &order);
    void askAdvice();
    void listInstances();
    [[nodiscard]] static std::set<std::string> workersOn(const jobs::InstancePort::Instances &instances);
    void announceInstanceOrders();
    void sendInstanceOrders(const InstanceOrders &orders, bool announced);
    void sendMaintenance(const jobs::MaintainCommand &order);
    void sendMove(const jobs::MoveCommand &order);
    void fenced(const std::string &worker);
    /** @} */

    /** @name Storing */
    /** @{ */
    void save();
    void takeSaved(const std::vector<jobs::SaveOrder> &saves, const jobs::StoreAnswer &answer);
    void saveWaves();
    void saveUsedWorkers();
    void savePending();
    void removeExpired();
    void write(const std::string &key, const std::string &value, std::function<void(bool)> onDone);
    void learnRevisions(const jobs::StoreAnswer &answer);
    /** @} */

    void logDecisions();
    void logDecision(const jobs::Decision &decision);
    [[nodiscard]] bool active() const;

    core::Executor &executor;
    Ports ports;
    Ownership &ownership;
    std::int64_t token;
    TenureLimits limits;
    LogSink &log;
    jobs::Scheduler scheduler;
    jobs::CommandDelay pause;
    jobs::MaintenanceController upkeep;
    jobs::PoolBalancer balancer;
    core::TimePoint startedAt;

    bool stopped{false};
    bool ready{false}; /**< All that is stored was taken in. */
    bool pumpPosted{false};
    core::TimePoint pumpedAt;

    std::map<std::string, jobs::JobRecord> storedStates; /**< Only while taking over. */
    std::map<std::string, std::pair<jobs::Job, std::int64_t>> storedJobs; /**< Only while taking over. */
    std::set<std::string> storedCancels; /**< Only while taking over. */
    std::map<std::int64_t, jobs::WaveProgress> storedWaves;
    std::map<std::int64_t, jobs::MaintenanceWave> waves;
    std::map<std::string, std::int64_t> revisions; /**< Of the keys that the owner writes. */
    std::map<std::string, std::int64_t> endedJobs; /**< Unix time of the end by job, until their records are removed. */

    std::map<std::string, core::TimePoint> orderedInstances; /**< When each instance was last ordered, for those of late. */
    InstanceOrders instanceOrders; /**< Not announced yet. */
    bool announcing{false};

    bool saving{false};
    core::TimePoint savedAt;
    core::TimePoint saveRetryAt;
    bool usedWorkersSaving{false};
    std::map<std::string, std::string> savedUsedWorkers;
    bool pendingSaving{false};
    core::TimePoint pendingSavedAt;
    std::map<std::string, std::int64_t> savedPending;
    bool removing{false};
    core::TimePoint removedAt;
    bool wavesSaving{false};
    bool listingInstances{false};
    core::TimePoint instancesListedAt;
    std::vector<jobs::AdviceOrder> questions;
    bool asking{false};

    std::unique_ptr<Watcher> intakeWatcher;
    std::unique_ptr<Watcher> workerWatcher;
    /** Used workers, ordered instances, waves and states. */
    int pendingLoads{4};
    bool intakeListed{false};
    bool workersListed{false};
};

} // namespace oleanderwick::jobnode

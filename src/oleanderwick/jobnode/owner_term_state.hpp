#pragma once

#include "../admission/overload_control.hpp"
#include "commanded_instances.hpp"
#include "job_intake.hpp"
#include "missed_changes.hpp"
#include "owner_term.hpp"
#include "zone_closures.hpp"

namespace oleanderwick::jobnode
{

/** @brief State of a term; outlives the OwnerTerm while calls are in flight. */
struct OwnerTerm::State : std::enable_shared_from_this<OwnerTerm::State> {
    State(core::Executor &itsExecutor, const Ports &itsPorts, Ownership &itsOwnership, std::int64_t itsToken, const OwnerOptions &itsOptions, LogSink &itsLog);

    /** Commands for instances that are announced and sent together. */
    struct InstanceCommands {
        std::vector<jobs::MaintainCommand> maintenance;
        std::vector<jobs::MoveCommand> moves;
    };

    /** Progress of waves that is stored together. */
    struct WaveSave {
        std::map<std::int64_t, jobs::WaveProgress> progress;
        std::vector<jobs::StoreChange::Write> records;
        std::set<std::int64_t> deferred; /**< Waves that did not fit into the change; their commands have to wait. */
        std::vector<jobs::StoreChange::Write> statuses; /**< What operators see; written only together with the records. */
    };

    /** Handles an item that is loaded at the start of the term; only called while the state exists. */
    using OnItem = std::function<void(const jobs::StoreItem &)>;

    /** @name Restoring the stored state */
    /** @{ */
    void begin();
    void loadAll(const std::string &prefix, const std::string &after, const OnItem &onItem, const std::function<void()> &onComplete);
    void loadRecords();
    void handleLoaded();
    void handleWaveItem(const jobs::StoreItem &item);
    void handleStateItem(const jobs::StoreItem &item);
    void loadUsedWorkers();
    void loadCommandedInstances();
    void restoreCommandedInstances(const std::string &text);
    void restoreUsedWorkers(const std::string &text);
    void startWatchers();
    void restoreOnceLoaded();
    void restoreJob(const std::string &id);
    /** @} */

    /** @name Changes in the store */
    /** @{ */
    void watchMissedChanges();
    void handleSubmittedJob(const jobs::StoreItem &item);
    [[nodiscard]] std::optional<jobs::Job> parseJob(const jobs::StoreItem &item);
    void addSubmittedJobs();
    void handleCancel(const std::string &id);
    void cancelJob(const std::string &id);
    [[nodiscard]] bool isJobKnown(const std::string &id) const;
    void handleWorkerItem(const jobs::StoreItem &item);
    void handleUnreadableWorker(const std::string &key, const std::string &reason);
    void forgetUnreadableWorker(const std::string &key);
    void handleWorkerRemoval(const std::string &key);
    /** @} */

    /** @name Commands */
    /** @{ */
    void scheduleCycle();
    void runPeriodically();
    void runCycle();
    void evacuateDraining(core::TimePoint now);
    void sendCommands();
    [[nodiscard]] jobs::CommandPermit permit() const;
    void sendStart(const jobs::StartCommand &command);
    void sendStop(const jobs::StopCommand &command);
    void sendPoll(const jobs::PollCommand &command);
    void requestAdvice();
    void listInstances();
    [[nodiscard]] static std::set<std::string> workersOn(const jobs::InstancePort::Instances &instances);
    void announceInstanceCommands();
    void sendInstanceCommands(const InstanceCommands &commands, bool announced);
    void sendMaintenance(const jobs::MaintainCommand &command);
    void sendMove(const jobs::MoveCommand &command);
    void handleFenced(const std::string &worker);
    /** @} */

    /** @name Load figures */
    /** @{ */
    void publishLoad(core::TimePoint now);
    [[nodiscard]] bool isBehind(core::TimePoint now);
    void writeLoad();
    /** @} */

    /** @name Saving */
    /** @{ */
    void saveStates();
    void commitStates(const std::vector<jobs::SaveRequest> &saves);
    void handleStateSaveReply(const std::vector<jobs::SaveRequest> &saves, const jobs::StoreReply &reply);
    void saveWaves();
    [[nodiscard]] WaveSave takeWaveSave();
    void handleWavesSaved(const std::map<std::int64_t, jobs::WaveProgress> &progress, bool stored);
    void saveUsedWorkers();
    void removeExpired();
    void write(const std::string &key, const std::string &value, std::function<void(bool)> onDone);
    /** Writes records under the condition that nobody else has changed them, and dependent values along with them. */
    void writeAll(const std::vector<jobs::StoreChange::Write> &records,
                  const std::vector<jobs::StoreChange::Write> &dependents,
                  std::function<void(bool)> onDone);
    void handleConflict(const jobs::StoreReply &reply);
    /** @} */

    void logDecisions();
    void recordTeams(core::TimePoint now);
    void logDecision(const jobs::Decision &decision);
    [[nodiscard]] bool isActive() const;

    core::Executor &executor;
    Ports ports;
    Ownership &ownership;
    std::int64_t token;
    OwnerOptions options;
    LogSink &log;
    jobs::Scheduler scheduler;
    jobs::CommandDelay commandDelay;
    jobs::MaintenanceController maintenance;
    jobs::PoolBalancer balancer;
    core::TimePoint startedAt;

    bool stopped{false};
    bool configured{false}; /**< A configuration is known. */
    bool ready{false}; /**< The stored state has been restored. */
    bool cycleScheduled{false};
    core::TimePoint lastCycleAt;
    core::Duration lastCycleDuration{};
    core::TimePoint lastEvacuationAt;
    core::TimePoint teamsRecordedAt;

    std::map<std::string, jobs::JobRecord> storedStates; /**< States by job id; empty once the state has been restored. */
    /** Jobs with the store revisions of their records, by id; empty once the state has been restored. */
    std::map<std::string, std::pair<jobs::Job, std::int64_t>> storedJobs;
    std::set<std::string> storedCancels; /**< Ids of cancelled jobs; empty once the state has been restored. */
    std::map<std::int64_t, jobs::WaveProgress> storedWaves;
    std::map<std::int64_t, jobs::MaintenanceWave> waves;
    std::map<std::string, std::int64_t> revisions; /**< Last known revisions of the keys that the owner writes. */
    std::map<std::string, std::int64_t> endedJobs; /**< Unix time in milliseconds at which each job ended, until its records are removed. */

    CommandedInstances commandedInstances;
    InstanceCommands unannouncedCommands;
    bool announceInFlight{false};

    int savesInFlight{0}; /**< Changes with states of jobs; each job is in one of them at most. */
    core::TimePoint lastStateSaveAt;
    core::TimePoint stateSaveRetryAt;
    bool usedWorkersSaveInFlight{false};
    core::TimePoint usedWorkersRetryAt;
    std::uint64_t savedUsedWorkersVersion{0};
    bool removalInFlight{false};
    core::TimePoint lastRemovalAt;
    core::TimePoint waveSaveRetryAt;
    bool waveSaveInFlight{false}; /**< A change with progress of waves, with or without announced commands, is in flight. */
    admission::OverloadControl overloadControl;
    std::string unsavedLoad; /**< Load figures to write; empty if the newest ones are written. */
    bool loadSaveInFlight{false};
    core::TimePoint loadSavedAt;
    core::TimePoint intakeEmptyAt; /**< Last cycle that took all submitted jobs. */
    bool instanceListInFlight{false};
    core::TimePoint lastInstanceListAt;
    std::vector<jobs::AdviceRequest> adviceRequests;
    bool adviceInFlight{false};

    std::map<std::string, std::string> unreadableWorkers; /**< Why the entries of some workers can't be read, by key. */
    JobIntake intake; /**< Submitted jobs that the scheduler does not know yet. */
    std::unique_ptr<Watcher> cancelWatcher;
    std::unique_ptr<Watcher> jobWatcher;
    std::unique_ptr<Watcher> workerWatcher;
    std::unique_ptr<MissedChanges> missedChanges; /**< Null if nodes send no notices. */
    /** Loads that have not finished: used workers, commanded instances, waves and states. */
    int pendingLoads{4};
    bool cancelsListed{false};
    bool jobsListed{false};
    bool workersListed{false};
    ZoneClosures zoneClosures;
};

} // namespace oleanderwick::jobnode

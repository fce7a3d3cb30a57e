#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "deployment.hpp"
#include "instance_link.hpp"
#include "judge.hpp"
#include "oleanderwick/jobnode/job_node.hpp"
#include "store_model.hpp"
#include "timeline.hpp"
#include "worker_model.hpp"

namespace oleanderwick::emulator
{

/** @brief Results of a simulation. */
struct SimulationReport {
    std::uint64_t jobs{0}; /**< Submitted jobs, without continuous ones. */
    std::uint64_t accepted{0}; /**< Accepted jobs, without continuous ones. */
    std::uint64_t inTime{0}; /**< Completed within their objective. */
    std::uint64_t late{0}; /**< Completed after their objective, within three times of it. */
    std::uint64_t starts{0}; /**< Runs started on workers. */
    std::uint64_t zoneClosures{0}; /**< Closures of zones by operators. */
    std::uint64_t polls{0}; /**< Polls of workers. */
    std::uint64_t moves{0}; /**< Instances moved to another pool. */
    std::uint64_t maintenances{0}; /**< Instances whose maintenance began, once for each wave. */
    std::uint64_t waves{0}; /**< Waves requested. */
    std::uint64_t completedWaves{0}; /**< Waves that were reported as completed at the end. */
    std::uint64_t ownerEnds{0}; /**< Owners that a fault hit right after their command. */
    bool probed{false}; /**< Workers were probed after all waves. */
    std::uint64_t storeCalls{0};
    std::uint64_t noticeMessages{0}; /**< Messages with notices to the owner. */
    double instanceSeconds{0.0}; /**< Total time of the instances in pools that are not on standby. */
    double continuousShare{0.0}; /**< Share of the continuous tasks that were running, over all samples. */
    std::vector<double> silentJobDelaysS; /**< Seconds from the acknowledgement to the first start of jobs acknowledged while watches were silent. */
    std::vector<double> silentWorkerDelaysS; /**< Seconds from the appearance to the first start of workers that appeared while watches were silent. */
    /** Seconds from the appearance of workers that appeared while watches were silent to the first call of an owner; to the end, if they are up and uncalled.
     */
    std::vector<double> silentContactDelaysS;
    std::vector<Violation> violations;
    std::vector<std::pair<double, int>> backlog; /**< Seconds since the load began (negative in the warm-up) and accepted, unfinished non-continuous jobs. */
};

/** @brief Instance of the emulated platform. */
struct EmulatedInstance {
    std::string pool;
    jobs::InstanceState state{jobs::InstanceState::Up};
    std::string worker; /**< Worker that runs on it; empty for none. */
    std::string rack;
    std::string zone;
    std::int64_t wave{0}; /**< Number of the wave of its latest maintenance. */
};

/** @brief One seeded run of a deployment in virtual time: its nodes, and the store, workers, instances and clients around them. */
class Simulation
{
public:
    /**
     * @brief Prepares a simulation.
     * @param deployment Fleet, load and faults.
     * @param seed Seed of the random generator.
     */
    Simulation(const Deployment &deployment, std::uint64_t seed);
    ~Simulation();
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    /**
     * @brief Runs the simulation to its end.
     * @return Results and violations.
     */
    [[nodiscard]] SimulationReport simulate();

    /** @brief Receives batches of log lines of the nodes; logs are dropped while it is empty. */
    std::function<void(const std::string &)> onLog;

private:
    friend class StoreLink;
    friend class WorkerLink;
    friend class NoticeLink;
    friend class InstanceLink;

    struct Node;
    struct Client;
    /** Wave as it is stored in one of its versions. */
    struct StoredWave {
        jobs::MaintenanceWave wave;
        std::size_t version{0};
    };
    /** Fault of the next owner that commands maintenance until a time. */
    struct OwnerTrap {
        FaultKind kind{FaultKind::OwnerKilledAfterCommand};
        core::TimePoint armedUntil;
        core::Duration duration{};
    };
    /** Current faults of the store, for all nodes. */
    struct StoreState {
        enum class Mode : std::uint8_t {
            Serves,
            Refuses,
            Unresponsive
        };
        Mode mode{Mode::Serves};
        double latencyFactor{1.0};
        double lostReplyShare{0.0};
    };

    [[nodiscard]] core::TimePoint now() const noexcept;
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] double seconds() const noexcept;

    void addInstances();
    void addWorker(const std::string &instance);
    void publish(const WorkerModel &worker);
    void withdraw(const std::string &worker, core::Duration delay);
    void scheduleWorkerEvent(const std::string &worker); /**< Also answers its waiting polls if run ends are unacknowledged. */
    void answerPolls(const std::string &worker);
    void moveInstance(const std::string &instance, const std::string &pool);
    /** Executes a command in time from the node of `contact`, or a late one if it is null. */
    jobs::InstanceOutcome maintainInstance(const jobs::MaintainCommand &command, std::int64_t token, const NodeContact *contact);
    /** Injects the fault of each armed trap into a node that has just commanded maintenance. */
    void springOwnerTraps(std::size_t node);
    void endOwner(std::size_t node, const OwnerTrap &trap);
    /** Passes what a change says of waves to the checker. */
    void noteWaveStatuses(const jobs::StoreChange &change, const jobs::StoreReply &reply);
    void terminateWorkerOn(EmulatedInstance &instance);
    [[nodiscard]] TaskBehavior behaviorOf(const WorkerModel &worker, const jobs::TaskName &task, std::int64_t run);

    void startNode(std::size_t index);
    void stopNode(std::size_t index, bool planned);
    /** Passes a message with notices to a node; `onReply` isn't called if it is down. */
    void deliverNotices(const std::string &address, const std::string &text, const std::function<void(jobnode::NoticeOutcome)> &onReply);
    [[nodiscard]] std::vector<std::size_t> selectNodes(double share);
    [[nodiscard]] std::vector<std::string> selectWorkers(double share);

    void scheduleEvents();
    void submitJob(const QueuePlan &queue, bool continuous);
    void submit(const std::shared_ptr<Client> &client);
    void handleSubmitReply(const std::shared_ptr<Client> &client, const jobnode::JobReply &answer);
    void pollStatus(const std::shared_ptr<Client> &client);
    void cancel(const std::shared_ptr<Client> &client);
    void pollPending();
    [[nodiscard]] Node *randomReadyNode();
    void injectFault(const Fault &fault);
    void injectNodeFault(const Fault &fault);
    void injectStoreFault(const Fault &fault);
    void silenceWatches(core::TimePoint end);
    void noteSilentEvent(const std::string &name); /**< Job was acknowledged, or worker appeared; its first start is awaited if watches are silent. */
    void noteStart(const std::string &worker, const std::string &job);
    void noteCall(const std::string &worker); /**< A call of an owner has reached the worker. */
    void injectWorkerFault(const Fault &fault);
    void startWave(const Fault &fault);
    void startOverlappingWaves(const Fault &fault);
    void changeWave(const Fault &fault);
    /** Returns the wave that a value represents, and records that a node has received it; std::nullopt for other values. */
    [[nodiscard]] std::optional<jobs::MaintenanceWave> receiveWave(const std::string &value, NodeContact &contact) const;
    void storeWave(const jobs::MaintenanceWave &wave);
    [[nodiscard]] std::vector<std::string> selectInstances(double share);
    void injectInstanceFault(const Fault &fault);
    void armOwnerTrap(const Fault &fault);
    void submitProbes(); /**< Submits a task for each worker, which needs a worker of its own. */
    void checkProbes();
    [[nodiscard]] bool mayBeProbed(const WorkerModel &worker) const;
    void closeZone(const Fault &fault);
    void openZone(const std::string &zone);
    void injectLoadFault(const Fault &fault);
    void restartWorker(const std::string &name);
    void replaceDrainedWorker(const std::string &name);
    void clearWorkerFault(const std::string &name);
    void sample();

    Deployment m_deployment;
    std::mt19937_64 m_random;
    Timeline m_timeline;
    core::TimePoint m_start;
    StoreModel m_store;
    StoreState m_storeState;
    std::set<std::size_t> m_refusedNodes; /**< Nodes whose calls the store refuses. */
    std::map<std::string, jobs::FleetConfig> m_configs; /**< By the value that represents the configuration in the store. */
    std::map<std::string, StoredWave> m_waves; /**< By the value that represents the version of the wave in the store. */
    std::map<std::string, jobs::WorkerEntry> m_entries;
    std::int64_t m_lastEntry{0};
    WorkerModel::Callbacks m_callbacks;
    std::map<std::string, std::unique_ptr<WorkerModel>> m_workers;
    std::set<std::string> m_unreachableWorkers;
    std::map<std::string, std::vector<std::function<void()>>> m_waitingPolls;
    std::map<std::string, std::uint64_t> m_scheduleNumbers; /**< Number of the latest schedule by worker; earlier ones have no effect. */
    std::map<std::string, EmulatedInstance> m_instances;
    std::int64_t m_lastWorker{0};
    double m_lateCommandShare{0.0}; /**< Share of commands that time out at the sender and are executed, and answered, later. */
    bool m_runStarted{false}; /**< The command that is being executed started a run. */
    EmulatedRun m_startedRun;
    std::map<std::string, core::TimePoint> m_silentEvents; /**< Jobs and workers whose first start is awaited, since when. */
    std::map<std::string, core::TimePoint> m_uncalledWorkers; /**< Workers whose first call is awaited, since when. */
    std::set<std::string> m_started; /**< Jobs, and workers on which one started. */
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Node>> m_stoppedNodes; /**< Kept until the end, since pending calls may still refer to them. */
    std::map<std::string, jobs::Job> m_jobs;
    std::map<std::string, double> m_workFactors;
    std::vector<std::shared_ptr<Client>> m_clients;
    double m_cancellationShare{0.0};
    std::int64_t m_lastWave{0};
    InstanceServiceState m_instanceService;
    std::vector<OwnerTrap> m_ownerTraps;
    std::map<std::string, std::string> m_probes; /**< Job that needs all workers of a pool, by pool. */
    std::map<std::string, core::TimePoint> m_unusedSince; /**< Workers without a task of the probe of their pool while one waits, since when. */
    std::map<std::string, int> m_zoneClosures; /**< Number of closures in force by zone. */
    std::int64_t m_lastJob{0};
    std::uint64_t m_continuousExpected{0};
    std::uint64_t m_continuousRunning{0};
    InvariantChecker m_checker;
    SimulationReport m_report;
};

} // namespace oleanderwick::emulator

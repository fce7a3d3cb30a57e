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
#include "judge.hpp"
#include "oleanderwick/jobnode/job_node.hpp"
#include "store_model.hpp"
#include "timeline.hpp"
#include "worker_model.hpp"

namespace oleanderwick::emulator
{

/** @brief What a day was like. */
struct DayReport {
    std::uint64_t jobs{0}; /**< Handed in, without continuous ones. */
    std::uint64_t accepted{0};
    std::uint64_t inTime{0}; /**< Completed within their objective. */
    std::uint64_t late{0}; /**< Completed within three times their objective. */
    std::uint64_t starts{0};
    std::uint64_t looks{0};
    std::uint64_t moves{0};
    std::uint64_t storeCalls{0};
    double instanceSeconds{0.0}; /**< In pools that are not on standby. */
    double continuousShare{0.0}; /**< Share of the time for which continuous tasks were at work. */
    std::vector<Violation> violations;
    std::vector<std::pair<double, int>> backlog; /**< Unfinished jobs by second. */
};

/** @brief Instance of the emulated platform. */
struct EmulatedInstance {
    std::string pool;
    jobs::InstanceState state{jobs::InstanceState::Up};
    std::string worker; /**< Worker that runs on it; empty for none. */
    std::string rack;
    std::int64_t wave{0}; /**< Wave of its present maintenance. */
};

/** @brief Everything around the nodes of one emulated day, and the nodes themselves, in virtual time. */
class World
{
public:
    /**
     * @brief Builds a day.
     * @param deployment Fleet, load and troubles.
     * @param seed Seed of all that is random.
     */
    World(const Deployment &deployment, std::uint64_t seed);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /**
     * @brief Plays the day.
     * @return What it was like.
     */
    [[nodiscard]] DayReport play();

    /** @brief Takes each log line of the nodes; empty for none. */
    std::function<void(const std::string &)> onLog;

private:
    friend class StoreLink;
    friend class WorkerLink;
    friend class InstanceLink;

    struct Node;
    struct Client;
    /** What keeps the store from a node, or from all. */
    struct StoreState {
        enum class Mode : std::uint8_t {
            Serves,
            Refuses,
            Silent
        };
        Mode mode{Mode::Serves};
        double slowness{1.0};
        double lostShare{0.0};
    };

    [[nodiscard]] core::TimePoint now() const noexcept;
    [[nodiscard]] bool chance(double probability);
    [[nodiscard]] double seconds() const noexcept;

    void addInstances();
    void addWorker(const std::string &instance);
    void publish(const WorkerModel &worker);
    void withdraw(const std::string &worker, core::Duration delay);
    void poke(const std::string &worker);
    void answerHolds(const std::string &worker);
    void moveInstance(const std::string &instance, const std::string &pool);
    void maintainInstance(const std::string &instance, std::int64_t wave);
    void endWorkerOn(EmulatedInstance &instance);
    [[nodiscard]] TaskTruth truthOf(const WorkerModel &worker, const jobs::TaskName &task, std::int64_t run);

    void startNode(std::size_t index);
    void stopNode(std::size_t index, bool planned);
    [[nodiscard]] std::vector<std::size_t> struckNodes(double share);
    [[nodiscard]] std::vector<std::string> struckWorkers(double share);

    void schedule();
    void handIn(const QueuePlan &queue, bool continuous);
    void submit(const std::shared_ptr<Client> &client);
    void takeSubmitted(const std::shared_ptr<Client> &client, const jobnode::JobReply &answer);
    void poll(const std::shared_ptr<Client> &client);
    void cancel(const std::shared_ptr<Client> &client);
    [[nodiscard]] Node *someNode();
    void strike(const Trouble &trouble);
    void strikeNodes(const Trouble &trouble);
    void strikeStore(const Trouble &trouble);
    void strikeWorkers(const Trouble &trouble);
    void startWave(const Trouble &trouble);
    void strikeLoad(const Trouble &trouble);
    void reviveWorker(const std::string &name);
    void leave(const std::string &name);
    void heal(const std::string &name);
    void sample();

    Deployment m_deployment;
    std::mt19937_64 m_random;
    Timeline m_timeline;
    core::TimePoint m_start;
    StoreModel m_store;
    StoreState m_storeState;
    std::set<std::size_t> m_turnedAway; /**< Nodes that the store refuses. */
    std::map<std::string, jobs::FleetConfig> m_configs; /**< By the text that stands in the store. */
    std::map<std::string, jobs::MaintenanceWave> m_waves;
    std::map<std::string, jobs::WorkerEntry> m_entries;
    std::int64_t m_lastEntry{0};
    WorkerModel::Host m_host;
    std::map<std::string, std::unique_ptr<WorkerModel>> m_workers;
    std::set<std::string> m_cutWorkers;
    std::map<std::string, std::vector<std::function<void()>>> m_waitingHolds;
    std::map<std::string, std::uint64_t> m_pokes;
    std::map<std::string, EmulatedInstance> m_instances;
    std::int64_t m_lastWorker{0};
    double m_lateOrders{0.0}; /**< Share of orders that have no answer and are carried out later. */
    bool m_startSeen{false}; /**< The order that is being carried out started a run. */
    EmulatedRun m_startedRun;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Node>> m_deadNodes; /**< Kept to the end: calls may still name them. */
    std::map<std::string, jobs::Job> m_jobs;
    std::map<std::string, double> m_workFactors;
    std::vector<std::shared_ptr<Client>> m_clients;
    double m_cancelShare{0.0};
    std::int64_t m_lastWave{0};
    std::int64_t m_lastJob{0};
    std::uint64_t m_continuousSeen{0};
    std::uint64_t m_continuousAtWork{0};
    Judge m_judge;
    DayReport m_report;
};

} // namespace oleanderwick::emulator

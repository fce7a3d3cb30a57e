#pragma once

#include <string>

#include <absl/strings/str_cat.h>

#include "links.hpp"
#include "oleanderwick/jobnode/failover_store.hpp"
#include "world.hpp"

namespace oleanderwick::emulator
{

namespace internal
{

inline constexpr std::int64_t wallStartMs = 1'700'000'000'000;
/** Time between the start of the nodes and the start of the load. */
inline constexpr core::Duration warmUp = std::chrono::seconds{8};
inline constexpr core::Duration heartbeatInterval = std::chrono::milliseconds{1500};
/** Factor on the work of a job in its time objective. */
inline constexpr double stretch = 1.5;
/** Time before the end from which tasks that need all workers are submitted, once all waves are over; at most half of it later. */
inline constexpr core::Duration probeTime = std::chrono::seconds{20};
inline constexpr core::Duration sampleInterval = std::chrono::milliseconds{500};

inline core::Duration fromS(double seconds)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(seconds * 1e6)};
}

inline std::string noticeAddress(std::size_t node)
{
    return absl::StrCat("node-", node);
}

inline jobnode::OwnerOptions ownerOptionsOf(const Deployment &deployment, std::size_t node)
{
    jobnode::OwnerOptions options;
    options.scheduler.teamShares = deployment.teamShares;
    options.balancing.divideScarceInstances = deployment.teamShares;
    options.scheduler.attributeFailures = deployment.attributeFailures;
    options.scheduler.yieldLateWork = deployment.yieldLateWork;
    options.notifyOwner = deployment.notifyOwner;
    options.noticeAddress = noticeAddress(node);
    return options;
}

/** @brief Passes batches of log lines to `Simulation::onLog`. */
class SimulationLogOutput final : public jobnode::LogOutput
{
public:
    explicit SimulationLogOutput(const std::function<void(const std::string &)> &onLog)
        : m_onLog{onLog}
    {
    }

    bool tryWrite(std::string batch) override
    {
        if (m_onLog) {
            m_onLog(batch);
        }
        return true;
    }

private:
    const std::function<void(const std::string &)> &m_onLog;
};

/** @brief Translates store items: each value is a key into the objects that the simulation holds in memory. */
class SimulationTranslator final : public jobnode::Translator
{
public:
    SimulationTranslator(const std::map<std::string, jobs::FleetConfig> &configs,
                         const std::map<std::string, jobs::WorkerEntry> &entries,
                         std::function<std::optional<jobs::MaintenanceWave>(const std::string &)> receiveWave)
        : m_configs{configs}
        , m_entries{entries}
        , m_receiveWave{std::move(receiveWave)}
    {
    }

    std::string operatorPrefix() const override
    {
        return "operators/";
    }

    std::string workerPrefix() const override
    {
        return "workers/";
    }

    std::string zoneClosurePrefix() const override
    {
        return "operators/closed-zones/";
    }

    jobnode::OperatorUpdate parseOperatorItem(const jobs::StoreItem &item) override
    {
        jobnode::OperatorUpdate update;
        const auto config = m_configs.find(item.value);
        if (config != m_configs.end()) {
            update.configVersion = item.revision;
            update.config = config->second;
        }
        update.wave = m_receiveWave(item.value);
        return update;
    }

    absl::StatusOr<jobs::WorkerEntry> parseWorker(const jobs::StoreItem &item) const override
    {
        const auto entry = m_entries.find(item.value);
        return entry == m_entries.end() ? absl::StatusOr<jobs::WorkerEntry>{absl::InvalidArgumentError("no entry")} : entry->second;
    }

    std::pair<std::string, std::string> waveStatus(std::int64_t number, const jobs::WaveProgress &progress) const override
    {
        return {absl::StrCat("wave-status/", number), progress.completed ? "completed" : "running"};
    }

private:
    const std::map<std::string, jobs::FleetConfig> &m_configs;
    const std::map<std::string, jobs::WorkerEntry> &m_entries;
    std::function<std::optional<jobs::MaintenanceWave>(const std::string &)> m_receiveWave;
};

/** @brief Advice service without advice; no queue of the emulator requests any. */
class UnusedAdvice final : public jobs::AdvicePort
{
public:
    void request(const jobs::AdviceRequest &, std::function<void(std::optional<jobs::AdviceReply>)> onReply) override
    {
        onReply(std::nullopt);
    }
};

} // namespace internal

/** @brief One node with its connections to the emulated services. */
struct Simulation::Node {
    Node(Simulation &simulation, std::size_t nodeIndex, const std::string &name)
        : index{nodeIndex}
        , contact{nodeIndex, {}, {}}
        , executor{simulation.m_timeline, internal::wallStartMs}
        , log{executor, std::make_unique<internal::SimulationLogOutput>(simulation.onLog)}
        , direct{simulation, executor, contact, nodeIndex}
        , store{executor, direct, log}
        , workers{simulation, executor, contact}
        , instances{simulation, executor, contact}
        , notices{simulation, executor, contact}
        , translator{simulation.m_configs,
                     simulation.m_entries,
                     [this, &simulation](const std::string &value) {
                         return simulation.receiveWave(value, contact);
                     }}
        , node{executor,
               jobnode::Ports{store, workers, instances, advice, translator, &notices},
               name,
               internal::ownerOptionsOf(simulation.m_deployment, nodeIndex),
               log}
    {
    }

    std::size_t index;
    NodeContact contact;
    ProcessExecutor executor;
    jobnode::LogSink log;
    StoreLink direct;
    jobnode::FailoverStore store;
    WorkerLink workers;
    InstanceLink instances;
    NoticeLink notices;
    internal::UnusedAdvice advice;
    internal::SimulationTranslator translator;
    jobnode::JobNode node;
};

/** @brief One job with the state of the client that submitted it. */
struct Simulation::Client {
    jobs::Job job;
    core::TimePoint firstSentAt;
    core::TimePoint deadline;
    double objectiveMs{0.0};
    int attempts{0};
    bool accepted{false};
    bool mayBeAccepted{false};
    bool cancelled{false};
    bool continuous{false};
    bool finished{false};
};

} // namespace oleanderwick::emulator

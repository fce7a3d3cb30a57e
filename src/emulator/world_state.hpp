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

inline constexpr std::int64_t wallStart = 1'700'000'000'000;
/** Traffic starts this long after the nodes. */
inline constexpr core::Duration warmUp = std::chrono::seconds{8};
inline constexpr core::Duration heartbeat = std::chrono::milliseconds{1500};
inline constexpr double stretch = 1.5;
inline constexpr core::Duration sampleEvery = std::chrono::milliseconds{500};

inline core::Duration fromS(double seconds)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(seconds * 1e6)};
}

/** @brief Hands log lines to the world's listener. */
class WorldOutput final : public jobnode::LogOutput
{
public:
    explicit WorldOutput(const std::function<void(const std::string &)> &onLog)
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

/** @brief Reads what the world keeps in the store: each text stands for an object that the world holds. */
class WorldTranslator final : public jobnode::Translator
{
public:
    WorldTranslator(const std::map<std::string, jobs::FleetConfig> &configs,
                    const std::map<std::string, jobs::MaintenanceWave> &waves,
                    const std::map<std::string, jobs::WorkerEntry> &entries)
        : m_configs{configs}
        , m_waves{waves}
        , m_entries{entries}
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

    jobnode::OperatorUpdate readOperatorItem(const jobs::StoreItem &item) override
    {
        jobnode::OperatorUpdate news;
        const auto config = m_configs.find(item.value);
        if (config != m_configs.end()) {
            news.configVersion = item.revision;
            news.config = config->second;
        }
        const auto wave = m_waves.find(item.value);
        if (wave != m_waves.end()) {
            news.wave = wave->second;
        }
        return news;
    }

    std::optional<jobs::WorkerEntry> readWorker(const jobs::StoreItem &item) const override
    {
        const auto entry = m_entries.find(item.value);
        return entry == m_entries.end() ? std::nullopt : std::optional<jobs::WorkerEntry>{entry->second};
    }

    std::pair<std::string, std::string> waveStatus(std::int64_t number, const jobs::WaveProgress &progress) const override
    {
        return {absl::StrCat("wave-status/", number), progress.completed ? "completed" : "running"};
    }

private:
    const std::map<std::string, jobs::FleetConfig> &m_configs;
    const std::map<std::string, jobs::MaintenanceWave> &m_waves;
    const std::map<std::string, jobs::WorkerEntry> &m_entries;
};

/** @brief Advice service that nobody asks: no queue of the emulator needs advice. */
class NoAdvice final : public jobs::AdvicePort
{
public:
    void request(const jobs::AdviceRequest &, std::function<void(std::optional<jobs::AdviceReply>)> onReply) override
    {
        onReply(std::nullopt);
    }
};

} // namespace internal

/** @brief One node and its ways to the rest of the world. */
struct World::Node {
    Node(World &world, std::size_t itsIndex, const std::string &name)
        : index{itsIndex}
        , executor{world.m_timeline, internal::wallStart}
        , log{executor, std::make_unique<internal::WorldOutput>(world.onLog)}
        , direct{world, executor, itsIndex}
        , store{executor, direct, log}
        , workers{world, executor}
        , instances{world, executor}
        , translator{world.m_configs, world.m_waves, world.m_entries}
        , node{executor, jobnode::Ports{store, workers, instances, advice, translator}, name, {}, log}
    {
    }

    std::size_t index;
    ProcessExecutor executor;
    jobnode::LogSink log;
    StoreLink direct;
    jobnode::FailoverStore store;
    WorkerLink workers;
    InstanceLink instances;
    internal::NoAdvice advice;
    internal::WorldTranslator translator;
    jobnode::JobNode node;
};

/** @brief One job as its submitter sees it. */
struct World::Client {
    jobs::Job job;
    core::TimePoint firstSent;
    core::TimePoint deadline;
    double objectiveMs{0.0};
    int tries{0};
    bool accepted{false};
    bool mayBeStored{false};
    bool cancelled{false};
    bool continuous{false};
    bool over{false};
};

} // namespace oleanderwick::emulator

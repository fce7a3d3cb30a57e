#include <algorithm>
#include <array>

#include <absl/strings/str_cat.h>

#include "world.hpp"
#include "world_state.hpp"

namespace oleanderwick::emulator
{

namespace internal
{

constexpr double slowStore = 50.0;
constexpr double lostAnswers = 0.3;
constexpr double slowWorker = 0.25;
constexpr double failingShare = 0.4;
constexpr double lateOrders = 0.3;
constexpr double burstFactor = 4.0;
constexpr double cancelledShare = 0.5;
constexpr core::Duration drainTime = std::chrono::milliseconds{2500};

} // namespace internal

std::vector<std::size_t> World::struckNodes(double share)
{
    std::vector<std::size_t> nodes;
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        if (m_nodes[index] != nullptr) {
            nodes.push_back(index);
        }
    }
    std::shuffle(nodes.begin(), nodes.end(), m_random);
    std::stable_partition(nodes.begin(), nodes.end(), [this](std::size_t index) {
        return m_nodes[index]->node.isOwner();
    });
    const std::size_t most = std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(nodes.size())));
    nodes.resize(std::min(nodes.size(), most));
    return nodes;
}

std::vector<std::string> World::struckWorkers(double share)
{
    std::vector<std::string> workers;
    for (const std::pair<const std::string, std::unique_ptr<WorkerModel>> &worker : m_workers) {
        if (worker.second->isUp()) {
            workers.push_back(worker.first);
        }
    }
    std::shuffle(workers.begin(), workers.end(), m_random);
    const std::size_t most = std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(workers.size())));
    workers.resize(std::min(workers.size(), most));
    return workers;
}

void World::strike(const Trouble &trouble)
{
    /** How each kind strikes; in the order of the kinds. */
    static constexpr std::array<void (World::*)(const Trouble &), 20> handlers{
        &World::strikeNodes,   &World::strikeNodes,   &World::strikeNodes,   &World::strikeNodes,   &World::strikeStore,
        &World::strikeStore,   &World::strikeStore,   &World::strikeStore,   &World::strikeStore,   &World::strikeStore,
        &World::strikeWorkers, &World::strikeWorkers, &World::strikeWorkers, &World::strikeWorkers, &World::strikeWorkers,
        &World::strikeWorkers, &World::strikeWorkers, &World::startWave,     &World::strikeLoad,    &World::strikeLoad,
    };
    (this->*handlers.at(static_cast<std::size_t>(trouble.kind)))(trouble);
}

void World::strikeNodes(const Trouble &trouble)
{
    const bool all = trouble.kind == TroubleKind::AllNodesKilled || trouble.kind == TroubleKind::RollingRestart;
    const std::vector<std::size_t> nodes = struckNodes(all ? 1.0 : trouble.share);
    core::Duration delay{};
    for (const std::size_t index : nodes) {
        if (trouble.kind == TroubleKind::NodeFreeze) {
            m_nodes[index]->executor.freezeUntil(now() + internal::fromS(trouble.lastsS));
        } else if (trouble.kind == TroubleKind::RollingRestart) {
            m_timeline.after(delay, [this, index] {
                stopNode(index, true);
            });
            delay += internal::fromS(trouble.lastsS / 2.0);
        } else {
            stopNode(index, false);
        }
    }
}

void World::strikeStore(const Trouble &trouble)
{
    const core::Duration lasts = internal::fromS(trouble.lastsS);
    m_judge.storeTroubled(now() + lasts);
    if (trouble.kind == TroubleKind::StoreForgets) {
        m_store.compact();
        return;
    }
    if (trouble.kind == TroubleKind::StoreTurnsAway) {
        const std::vector<std::size_t> nodes = struckNodes(trouble.share);
        m_turnedAway.insert(nodes.begin(), nodes.end());
        m_timeline.after(lasts, [this] {
            m_turnedAway.clear();
        });
        return;
    }
    StoreState state;
    if (trouble.kind == TroubleKind::StoreSilent || trouble.kind == TroubleKind::StoreBusy) {
        state.mode = trouble.kind == TroubleKind::StoreSilent ? StoreState::Mode::Silent : StoreState::Mode::Refuses;
        // Leases pause during half of the outages.
        if (chance(0.5)) {
            m_store.extendLeases(lasts);
        }
    }
    state.slowness = trouble.kind == TroubleKind::StoreSlow ? internal::slowStore : 1.0;
    state.lostShare = trouble.kind == TroubleKind::StoreLosesAnswers ? internal::lostAnswers : 0.0;
    m_storeState = state;
    m_timeline.after(lasts, [this] {
        m_storeState = StoreState{};
    });
}

void World::strikeWorkers(const Trouble &trouble)
{
    const core::Duration lasts = internal::fromS(trouble.lastsS);
    if (trouble.kind == TroubleKind::OrdersLate) {
        m_lateOrders = internal::lateOrders * trouble.share;
        m_timeline.after(lasts, [this] {
            m_lateOrders = 0.0;
        });
        return;
    }
    for (const std::string &name : struckWorkers(trouble.share)) {
        WorkerModel &worker = *m_workers.at(name);
        worker.advance(now());
        switch (trouble.kind) {
        case TroubleKind::WorkerCrash:
            m_judge.lostWithWorker(worker);
            worker.crash(now());
            m_timeline.after(lasts, [this, name] {
                reviveWorker(name);
            });
            break;
        case TroubleKind::WorkerCut:
            m_cutWorkers.insert(name);
            m_timeline.after(lasts, [this, name] {
                m_cutWorkers.erase(name);
            });
            break;
        case TroubleKind::WorkerLeaves:
            worker.entry.draining = true;
            publish(worker);
            m_judge.draining(name, now());
            m_timeline.after(internal::drainTime + lasts, [this, name] {
                leave(name);
            });
            break;
        default:
            worker.speed = trouble.kind == TroubleKind::WorkerSlow ? internal::slowWorker : 1.0;
            worker.failShare = trouble.kind == TroubleKind::WorkerFails ? internal::failingShare : 0.0;
            worker.hangs = trouble.kind == TroubleKind::WorkerHangs;
            m_timeline.after(lasts, [this, name] {
                heal(name);
            });
            break;
        }
        poke(name);
    }
}

void World::reviveWorker(const std::string &name)
{
    WorkerModel &worker = *m_workers.at(name);
    const EmulatedInstance &instance = m_instances.at(worker.instance);
    if (instance.worker == name && instance.state == jobs::InstanceState::Up && !worker.isUp()) {
        worker.revive(++m_lastWorker, now());
        publish(worker);
    }
}

void World::leave(const std::string &name)
{
    const std::string instance = m_workers.at(name)->instance;
    if (m_instances.at(instance).worker == name && m_instances.at(instance).state == jobs::InstanceState::Up) {
        endWorkerOn(m_instances.at(instance));
        addWorker(instance);
    }
}

void World::heal(const std::string &name)
{
    WorkerModel &worker = *m_workers.at(name);
    worker.advance(now());
    worker.speed = 1.0;
    worker.failShare = 0.0;
    worker.hangs = false;
    poke(name);
}

void World::startWave(const Trouble &trouble)
{
    constexpr double waveS = 14.0;
    jobs::MaintenanceWave wave;
    wave.number = ++m_lastWave;
    wave.maxInstancesDown = 3;
    wave.duration = internal::fromS(waveS);
    for (const std::pair<const std::string, EmulatedInstance> &instance : m_instances) {
        if (chance(trouble.share)) {
            wave.instances.push_back(instance.first);
        }
    }
    const std::string text = absl::StrCat("wave-", wave.number);
    m_waves[text] = wave;
    jobs::StoreChange change;
    change.writes.push_back({absl::StrCat("operators/", text), text, 0});
    (void)m_store.commit(change);
}

void World::strikeLoad(const Trouble &trouble)
{
    if (trouble.kind == TroubleKind::Cancellations) {
        m_cancelShare = internal::cancelledShare;
        m_timeline.after(internal::fromS(trouble.lastsS), [this] {
            m_cancelShare = 0.0;
        });
        return;
    }
    const QueuePlan &queue = m_deployment.queues[std::uniform_int_distribution<std::size_t>{0, m_deployment.queues.size() - 1}(m_random)];
    const double rate = queue.jobsPerSecond * internal::burstFactor;
    const core::TimePoint end = now() + internal::fromS(trouble.lastsS);
    core::TimePoint at = now();
    while (at < end) {
        m_timeline.at(at, [this, queue] {
            handIn(queue, false);
        });
        at += internal::fromS(std::exponential_distribution<double>{rate}(m_random));
    }
}

} // namespace oleanderwick::emulator

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

std::vector<std::size_t> Simulation::struckNodes(double share)
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

std::vector<std::string> Simulation::struckWorkers(double share)
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

void Simulation::strike(const Fault &fault)
{
    /** How each kind strikes; in the order of the kinds. */
    static constexpr std::array<void (Simulation::*)(const Fault &), 20> handlers{
        &Simulation::strikeNodes,   &Simulation::strikeNodes,   &Simulation::strikeNodes,   &Simulation::strikeNodes,   &Simulation::strikeStore,
        &Simulation::strikeStore,   &Simulation::strikeStore,   &Simulation::strikeStore,   &Simulation::strikeStore,   &Simulation::strikeStore,
        &Simulation::strikeWorkers, &Simulation::strikeWorkers, &Simulation::strikeWorkers, &Simulation::strikeWorkers, &Simulation::strikeWorkers,
        &Simulation::strikeWorkers, &Simulation::strikeWorkers, &Simulation::startWave,     &Simulation::strikeLoad,    &Simulation::strikeLoad,
    };
    (this->*handlers.at(static_cast<std::size_t>(fault.kind)))(fault);
}

void Simulation::strikeNodes(const Fault &fault)
{
    const bool all = fault.kind == FaultKind::AllNodesKilled || fault.kind == FaultKind::RollingRestart;
    const std::vector<std::size_t> nodes = struckNodes(all ? 1.0 : fault.share);
    core::Duration delay{};
    for (const std::size_t index : nodes) {
        if (fault.kind == FaultKind::NodeFreeze) {
            m_nodes[index]->executor.freezeUntil(now() + internal::fromS(fault.lastsS));
        } else if (fault.kind == FaultKind::RollingRestart) {
            m_timeline.after(delay, [this, index] {
                stopNode(index, true);
            });
            delay += internal::fromS(fault.lastsS / 2.0);
        } else {
            stopNode(index, false);
        }
    }
}

void Simulation::strikeStore(const Fault &fault)
{
    const core::Duration lasts = internal::fromS(fault.lastsS);
    m_checker.storeTroubled(now() + lasts);
    if (fault.kind == FaultKind::StoreForgets) {
        m_store.compact();
        return;
    }
    if (fault.kind == FaultKind::StoreTurnsAway) {
        const std::vector<std::size_t> nodes = struckNodes(fault.share);
        m_turnedAway.insert(nodes.begin(), nodes.end());
        m_timeline.after(lasts, [this] {
            m_turnedAway.clear();
        });
        return;
    }
    StoreState state;
    if (fault.kind == FaultKind::StoreSilent || fault.kind == FaultKind::StoreBusy) {
        state.mode = fault.kind == FaultKind::StoreSilent ? StoreState::Mode::Silent : StoreState::Mode::Refuses;
        // Leases pause during half of the outages.
        if (chance(0.5)) {
            m_store.extendLeases(lasts);
        }
    }
    state.slowness = fault.kind == FaultKind::StoreSlow ? internal::slowStore : 1.0;
    state.lostShare = fault.kind == FaultKind::StoreLosesAnswers ? internal::lostAnswers : 0.0;
    m_storeState = state;
    m_timeline.after(lasts, [this] {
        m_storeState = StoreState{};
    });
}

void Simulation::strikeWorkers(const Fault &fault)
{
    const core::Duration lasts = internal::fromS(fault.lastsS);
    if (fault.kind == FaultKind::OrdersLate) {
        m_lateOrders = internal::lateOrders * fault.share;
        m_timeline.after(lasts, [this] {
            m_lateOrders = 0.0;
        });
        return;
    }
    for (const std::string &name : struckWorkers(fault.share)) {
        WorkerModel &worker = *m_workers.at(name);
        worker.advance(now());
        switch (fault.kind) {
        case FaultKind::WorkerCrash:
            m_checker.lostWithWorker(worker);
            worker.crash(now());
            m_timeline.after(lasts, [this, name] {
                reviveWorker(name);
            });
            break;
        case FaultKind::WorkerCut:
            m_cutWorkers.insert(name);
            m_timeline.after(lasts, [this, name] {
                m_cutWorkers.erase(name);
            });
            break;
        case FaultKind::WorkerLeaves:
            worker.entry.draining = true;
            publish(worker);
            m_checker.draining(name, now());
            m_timeline.after(internal::drainTime + lasts, [this, name] {
                leave(name);
            });
            break;
        default:
            worker.speed = fault.kind == FaultKind::WorkerSlow ? internal::slowWorker : 1.0;
            worker.failShare = fault.kind == FaultKind::WorkerFails ? internal::failingShare : 0.0;
            worker.hangs = fault.kind == FaultKind::WorkerHangs;
            m_timeline.after(lasts, [this, name] {
                heal(name);
            });
            break;
        }
        poke(name);
    }
}

void Simulation::reviveWorker(const std::string &name)
{
    WorkerModel &worker = *m_workers.at(name);
    const EmulatedInstance &instance = m_instances.at(worker.instance);
    if (instance.worker == name && instance.state == jobs::InstanceState::Up && !worker.isUp()) {
        worker.revive(++m_lastWorker, now());
        publish(worker);
    }
}

void Simulation::leave(const std::string &name)
{
    const std::string instance = m_workers.at(name)->instance;
    if (m_instances.at(instance).worker == name && m_instances.at(instance).state == jobs::InstanceState::Up) {
        endWorkerOn(m_instances.at(instance));
        addWorker(instance);
    }
}

void Simulation::heal(const std::string &name)
{
    WorkerModel &worker = *m_workers.at(name);
    worker.advance(now());
    worker.speed = 1.0;
    worker.failShare = 0.0;
    worker.hangs = false;
    poke(name);
}

void Simulation::startWave(const Fault &fault)
{
    constexpr double waveS = 14.0;
    jobs::MaintenanceWave wave;
    wave.number = ++m_lastWave;
    wave.mostAtOnce = 3;
    wave.duration = internal::fromS(waveS);
    for (const std::pair<const std::string, EmulatedInstance> &instance : m_instances) {
        if (chance(fault.share)) {
            wave.instances.push_back(instance.first);
        }
    }
    const std::string text = absl::StrCat("wave-", wave.number);
    m_waves[text] = wave;
    jobs::StoreChange change;
    change.writes.push_back({absl::StrCat("operators/", text), text, 0});
    (void)m_store.commit(change);
}

void Simulation::strikeLoad(const Fault &fault)
{
    if (fault.kind == FaultKind::Cancellations) {
        m_cancelShare = internal::cancelledShare;
        m_timeline.after(internal::fromS(fault.lastsS), [this] {
            m_cancelShare = 0.0;
        });
        return;
    }
    const QueuePlan &queue = m_deployment.queues[std::uniform_int_distribution<std::size_t>{0, m_deployment.queues.size() - 1}(m_random)];
    const double rate = queue.jobsPerSecond * internal::burstFactor;
    const core::TimePoint end = now() + internal::fromS(fault.lastsS);
    core::TimePoint at = now();
    while (at < end) {
        m_timeline.at(at, [this, queue] {
            handIn(queue, false);
        });
        at += internal::fromS(std::exponential_distribution<double>{rate}(m_random));
    }
}

} // namespace oleanderwick::emulator

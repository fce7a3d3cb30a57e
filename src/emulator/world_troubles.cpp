#include <algorithm>
#include <array>

#include <absl/strings/str_cat.h>

#include "world.hpp"
#include "world_state.hpp"

namespace oleanderwick::emulator
{

namespace internal
{

constexpr double slowStoreFactor = 50.0;
constexpr double lostReplyRate = 0.3;
constexpr double slowWorkerSpeed = 0.25;
constexpr double taskFailureRate = 0.4;
constexpr double lateCommandShare = 0.3;
constexpr double burstFactor = 4.0;
constexpr double cancellationRate = 0.5;
constexpr double minSilenceS = 1.0;
constexpr double maxSilenceS = 3.4;
/** Time in which watches deliver between two silences. */
constexpr core::Duration silencePause = std::chrono::milliseconds{500};
/** Time from the drain of a worker to its replacement, to which the duration of the fault is added. */
constexpr core::Duration drainDelay = std::chrono::milliseconds{2500};

} // namespace internal

std::vector<std::size_t> Simulation::selectNodes(double share)
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
    const std::size_t count = std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(nodes.size())));
    nodes.resize(std::min(nodes.size(), count));
    return nodes;
}

std::vector<std::string> Simulation::selectWorkers(double share)
{
    std::vector<std::string> workers;
    for (const std::pair<const std::string, std::unique_ptr<WorkerModel>> &worker : m_workers) {
        if (worker.second->isUp()) {
            workers.push_back(worker.first);
        }
    }
    std::shuffle(workers.begin(), workers.end(), m_random);
    const std::size_t count = std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(workers.size())));
    workers.resize(std::min(workers.size(), count));
    return workers;
}

void Simulation::injectFault(const Fault &fault)
{
    /** Handler of each kind, in the order of `FaultKind`. */
    static constexpr std::array<void (Simulation::*)(const Fault &), 34> handlers{
        &Simulation::injectNodeFault,     &Simulation::injectNodeFault,     &Simulation::injectNodeFault,
        &Simulation::injectNodeFault,     &Simulation::injectStoreFault,    &Simulation::injectStoreFault,
        &Simulation::injectStoreFault,    &Simulation::injectStoreFault,    &Simulation::injectStoreFault,
        &Simulation::injectStoreFault,    &Simulation::injectWorkerFault,   &Simulation::injectWorkerFault,
        &Simulation::injectWorkerFault,   &Simulation::injectWorkerFault,   &Simulation::injectWorkerFault,
        &Simulation::injectWorkerFault,   &Simulation::injectWorkerFault,   &Simulation::startWave,
        &Simulation::injectLoadFault,     &Simulation::injectLoadFault,     &Simulation::injectStoreFault,
        &Simulation::closeZone,           &Simulation::injectInstanceFault, &Simulation::injectInstanceFault,
        &Simulation::injectInstanceFault, &Simulation::injectInstanceFault, &Simulation::injectInstanceFault,
        &Simulation::injectInstanceFault, &Simulation::changeWave,          &Simulation::startOverlappingWaves,
        &Simulation::armOwnerTrap,        &Simulation::armOwnerTrap,        &Simulation::armOwnerTrap,
        &Simulation::armOwnerTrap,
    };
    (this->*handlers.at(static_cast<std::size_t>(fault.kind)))(fault);
}

void Simulation::injectNodeFault(const Fault &fault)
{
    const bool all = fault.kind == FaultKind::AllNodesKilled || fault.kind == FaultKind::RollingRestart;
    const std::vector<std::size_t> nodes = selectNodes(all ? 1.0 : fault.share);
    core::Duration delay{};
    for (const std::size_t index : nodes) {
        if (fault.kind == FaultKind::NodeFreeze) {
            m_nodes[index]->executor.freezeUntil(now() + internal::fromS(fault.durationS));
        } else if (fault.kind == FaultKind::RollingRestart) {
            m_timeline.after(delay, [this, index] {
                stopNode(index, true);
            });
            delay += internal::fromS(fault.durationS / 2.0);
        } else {
            stopNode(index, false);
        }
    }
}

void Simulation::injectStoreFault(const Fault &fault)
{
    const core::Duration duration = internal::fromS(fault.durationS);
    m_checker.storeFaultUntil(now() + duration);
    if (fault.kind == FaultKind::StoreCompaction) {
        m_store.compact();
        return;
    }
    if (fault.kind == FaultKind::StoreWatchesSilent) {
        silenceWatches(now() + duration);
        return;
    }
    if (fault.kind == FaultKind::StoreRefusesSomeNodes) {
        const std::vector<std::size_t> nodes = selectNodes(fault.share);
        m_refusedNodes.insert(nodes.begin(), nodes.end());
        m_timeline.after(duration, [this] {
            m_refusedNodes.clear();
        });
        return;
    }
    StoreState state;
    if (fault.kind == FaultKind::StoreUnresponsive || fault.kind == FaultKind::StoreRefusing) {
        state.mode = fault.kind == FaultKind::StoreUnresponsive ? StoreState::Mode::Unresponsive : StoreState::Mode::Refuses;
        // In half of the outages the leases are paused, that is, extended by the duration of the outage.
        if (chance(0.5)) {
            m_store.extendLeases(duration);
        }
    }
    state.latencyFactor = fault.kind == FaultKind::StoreSlow ? internal::slowStoreFactor : 1.0;
    state.lostReplyShare = fault.kind == FaultKind::StoreLosesReplies ? internal::lostReplyRate : 0.0;
    m_storeState = state;
    m_timeline.after(duration, [this] {
        m_storeState = StoreState{};
    });
}

void Simulation::silenceWatches(core::TimePoint end)
{
    m_store.silenceWatches();
    m_timeline.after(internal::fromS(std::uniform_real_distribution<double>{internal::minSilenceS, internal::maxSilenceS}(m_random)), [this, end] {
        m_store.compact();
        m_timeline.after(internal::silencePause, [this, end] {
            if (now() + internal::fromS(internal::minSilenceS) <= end) {
                silenceWatches(end);
            }
        });
    });
}

void Simulation::injectWorkerFault(const Fault &fault)
{
    const core::Duration duration = internal::fromS(fault.durationS);
    if (fault.kind == FaultKind::LateCommands) {
        m_lateCommandShare = internal::lateCommandShare * fault.share;
        m_timeline.after(duration, [this] {
            m_lateCommandShare = 0.0;
        });
        return;
    }
    for (const std::string &name : selectWorkers(fault.share)) {
        WorkerModel &worker = *m_workers.at(name);
        worker.advance(now());
        switch (fault.kind) {
        case FaultKind::WorkerCrash:
            m_checker.workerLost(worker);
            worker.crash(now());
            m_timeline.after(duration, [this, name] {
                restartWorker(name);
            });
            break;
        case FaultKind::WorkerUnreachable:
            m_unreachableWorkers.insert(name);
            m_timeline.after(duration, [this, name] {
                m_unreachableWorkers.erase(name);
            });
            break;
        case FaultKind::WorkerDrain:
            worker.entry.draining = true;
            publish(worker);
            m_checker.draining(name, now());
            m_timeline.after(internal::drainDelay + duration, [this, name] {
                replaceDrainedWorker(name);
            });
            break;
        default:
            worker.speed = fault.kind == FaultKind::WorkerSlow ? internal::slowWorkerSpeed : 1.0;
            worker.failureRate = fault.kind == FaultKind::WorkerTasksFail ? internal::taskFailureRate : 0.0;
            worker.hangs = fault.kind == FaultKind::WorkerHangs;
            m_timeline.after(duration, [this, name] {
                clearWorkerFault(name);
            });
            break;
        }
        scheduleWorkerEvent(name);
    }
}

void Simulation::restartWorker(const std::string &name)
{
    WorkerModel &worker = *m_workers.at(name);
    const EmulatedInstance &instance = m_instances.at(worker.instance);
    if (instance.worker == name && instance.state == jobs::InstanceState::Up && !worker.isUp()) {
        worker.restart(++m_lastWorker, now());
        publish(worker);
    }
}

void Simulation::replaceDrainedWorker(const std::string &name)
{
    const std::string instance = m_workers.at(name)->instance;
    if (m_instances.at(instance).worker == name && m_instances.at(instance).state == jobs::InstanceState::Up) {
        terminateWorkerOn(m_instances.at(instance));
        addWorker(instance);
    }
}

void Simulation::clearWorkerFault(const std::string &name)
{
    WorkerModel &worker = *m_workers.at(name);
    worker.advance(now());
    worker.speed = 1.0;
    worker.failureRate = 0.0;
    worker.hangs = false;
    scheduleWorkerEvent(name);
}

void Simulation::closeZone(const Fault &fault)
{
    const int zones = std::max(m_deployment.zones, 1);
    const int index = std::clamp(static_cast<int>(fault.share * zones), 0, zones - 1);
    const std::string zone = absl::StrCat("zone-", index);
    ++m_report.zoneClosures;
    if (++m_zoneClosures[zone] == 1) {
        jobs::StoreChange change;
        change.writes.push_back({absl::StrCat("operators/closed-zones/", zone), "", 0});
        (void)m_store.commit(change);
        m_checker.zoneClosed(zone, now());
    }
    m_timeline.after(internal::fromS(fault.durationS), [this, zone] {
        openZone(zone);
    });
}

void Simulation::openZone(const std::string &zone)
{
    if (--m_zoneClosures[zone] == 0) {
        m_checker.zoneOpened(zone);
        jobs::StoreChange change;
        change.removals.push_back(absl::StrCat("operators/closed-zones/", zone));
        (void)m_store.commit(change);
    }
}

void Simulation::injectLoadFault(const Fault &fault)
{
    if (fault.kind == FaultKind::Cancellations) {
        m_cancellationShare = internal::cancellationRate;
        m_timeline.after(internal::fromS(fault.durationS), [this] {
            m_cancellationShare = 0.0;
        });
        return;
    }
    const QueuePlan &queue = m_deployment.queues[std::uniform_int_distribution<std::size_t>{0, m_deployment.queues.size() - 1}(m_random)];
    const double rate = queue.jobsPerSecond * internal::burstFactor;
    const core::TimePoint end = now() + internal::fromS(fault.durationS);
    core::TimePoint at = now();
    while (at < end) {
        m_timeline.at(at, [this, queue] {
            submitJob(queue, false);
        });
        at += internal::fromS(std::exponential_distribution<double>{rate}(m_random));
    }
}

} // namespace oleanderwick::emulator

#include <algorithm>
#include <numeric>

#include <absl/strings/str_cat.h>

#include "world.hpp"
#include "world_state.hpp"

namespace oleanderwick::emulator
{

namespace internal
{

constexpr core::Duration waveDuration = std::chrono::seconds{14};
/** Time between the requests of two overlapping waves. */
constexpr core::Duration overlapDelay = std::chrono::milliseconds{700};
/** Longest time from the execution of a command to the fault of its owner; the progress of the wave is stored in this time. */
constexpr double maxTrapDelayS = 0.04;
constexpr double lostCommandShare = 0.2;
constexpr double lateInstanceCommandShare = 0.6;
constexpr core::Duration slowInstanceLatency = std::chrono::milliseconds{1250};
constexpr std::size_t listPages = 4;
constexpr std::int64_t probeCpu = 100;

} // namespace internal

std::vector<std::string> Simulation::selectInstances(double share)
{
    std::vector<std::string> instances;
    for (const std::pair<const std::string, EmulatedInstance> &instance : m_instances) {
        if (chance(share)) {
            instances.push_back(instance.first);
        }
    }
    return instances;
}

void Simulation::startWave(const Fault &fault)
{
    jobs::MaintenanceWave wave;
    wave.number = ++m_lastWave;
    wave.maxInstancesDown = fault.maxInstancesDown;
    wave.duration = internal::waveDuration;
    wave.instances = selectInstances(fault.share);
    storeWave(wave);
}

void Simulation::startOverlappingWaves(const Fault &fault)
{
    startWave(fault);
    const jobs::MaintenanceWave first = m_checker.waves().at(m_lastWave).latest();
    m_timeline.after(internal::overlapDelay, [this, fault, first] {
        jobs::MaintenanceWave second = first;
        second.number = ++m_lastWave;
        second.instances = selectInstances(fault.share / 2.0);
        for (std::size_t index = 0; index < first.instances.size(); index += 2) {
            second.instances.push_back(first.instances[index]);
        }
        std::sort(second.instances.begin(), second.instances.end());
        second.instances.erase(std::unique(second.instances.begin(), second.instances.end()), second.instances.end());
        storeWave(second);
    });
}

void Simulation::changeWave(const Fault &fault)
{
    if (m_lastWave == 0) {
        return;
    }
    const std::int64_t number = std::uniform_int_distribution<std::int64_t>{1, m_lastWave}(m_random);
    jobs::MaintenanceWave wave = m_checker.waves().at(number).latest();
    wave.maxInstancesDown = fault.maxInstancesDown;
    if (chance(0.5)) {
        for (const std::string &instance : selectInstances(fault.share / 2.0)) {
            if (std::find(wave.instances.begin(), wave.instances.end(), instance) == wave.instances.end()) {
                wave.instances.push_back(instance);
            }
        }
    }
    storeWave(wave);
}

void Simulation::storeWave(const jobs::MaintenanceWave &wave)
{
    m_checker.waveRequested(wave, now());
    const std::size_t version = m_checker.waves().at(wave.number).latestVersion();
    const std::string value = absl::StrCat("wave-", wave.number, ".", version);
    m_waves[value] = StoredWave{wave, version};
    jobs::StoreChange change;
    change.writes.push_back({absl::StrCat("operators/wave-", wave.number), value, 0});
    (void)m_store.commit(change);
}

std::optional<jobs::MaintenanceWave> Simulation::receiveWave(const std::string &value, NodeContact &contact) const
{
    const auto stored = m_waves.find(value);
    if (stored == m_waves.end()) {
        return std::nullopt;
    }
    contact.waves[stored->second.wave.number].try_emplace(stored->second.version, now());
    return stored->second.wave;
}

void Simulation::noteWaveStatuses(const jobs::StoreChange &change, const jobs::StoreReply &reply)
{
    const std::string prefix = "wave-status/";
    for (const jobs::StoreChange::Write &write : change.writes) {
        if (reply.outcome == jobs::StoreOutcome::Done && write.key.starts_with(prefix)) {
            m_checker.waveReported(std::stoll(write.key.substr(prefix.size())), write.value == "completed", now());
        }
    }
}

jobs::InstanceOutcome Simulation::maintainInstance(const jobs::MaintainCommand &command, std::int64_t token, const NodeContact *contact)
{
    EmulatedInstance &instance = m_instances.at(command.instance);
    const WaveView &wave = m_checker.waves().at(command.wave);
    if (!wave.contains(command.instance)) {
        return jobs::InstanceOutcome::NotInWave;
    }
    if (wave.hasBegun(command.instance)) {
        return jobs::InstanceOutcome::Done;
    }
    if (instance.state != jobs::InstanceState::Up) {
        return jobs::InstanceOutcome::Busy;
    }
    const bool hadWorker = !instance.worker.empty();
    terminateWorkerOn(instance);
    instance.state = jobs::InstanceState::UnderMaintenance;
    instance.wave = command.wave;
    const std::int64_t down = std::count_if(m_instances.begin(), m_instances.end(), [&command](const std::pair<const std::string, EmulatedInstance> &item) {
        return item.second.state == jobs::InstanceState::UnderMaintenance && item.second.wave == command.wave;
    });
    if (contact != nullptr) {
        const auto known = contact->waves.find(command.wave);
        const std::int64_t limit = wave.limitFor(known == contact->waves.end() ? KnownVersions{} : known->second, now());
        m_checker.commandReceived(command.instance, token, now());
        m_checker.maintenanceStarted(command.instance, static_cast<std::size_t>(down), limit, now());
    }
    m_checker.maintenanceBegun(command.wave, command.instance, now());
    ++m_report.maintenances;
    m_timeline.after(m_deployment.maintenanceTime, [this, name = command.instance, hadWorker] {
        m_instances.at(name).state = jobs::InstanceState::Up;
        if (hadWorker) {
            addWorker(name);
        }
    });
    return jobs::InstanceOutcome::Done;
}

void Simulation::injectInstanceFault(const Fault &fault)
{
    InstanceServiceState state;
    switch (fault.kind) {
    case FaultKind::InstanceRepliesLost:
        state.lostReplyShare = fault.share;
        state.lostCommandShare = internal::lostCommandShare * fault.share;
        state.refusedShare = internal::lostCommandShare * fault.share;
        break;
    case FaultKind::InstanceCommandsLate:
        state.lateShare = internal::lateInstanceCommandShare * fault.share;
        break;
    case FaultKind::InstanceServiceBusy:
        state.refusedShare = fault.share;
        break;
    case FaultKind::InstanceServiceSilent:
        state.lostCommandShare = 0.5;
        state.lostReplyShare = 1.0;
        state.silentListShare = 1.0;
        break;
    case FaultKind::InstanceServiceSlow:
        state.maxExtraLatency = internal::slowInstanceLatency;
        break;
    default:
        state.pages = internal::listPages;
        state.maxExtraLatency = internal::slowInstanceLatency / static_cast<std::int64_t>(internal::listPages);
        break;
    }
    m_instanceService = state;
    m_timeline.after(internal::fromS(fault.durationS), [this] {
        m_instanceService = InstanceServiceState{};
    });
}

void Simulation::armOwnerTrap(const Fault &fault)
{
    m_ownerTraps.push_back(OwnerTrap{fault.kind, now() + internal::waveDuration, internal::fromS(fault.durationS)});
}

void Simulation::springOwnerTraps(std::size_t node)
{
    const auto armed = std::find_if(m_ownerTraps.begin(), m_ownerTraps.end(), [this](const OwnerTrap &trap) {
        return now() <= trap.armedUntil;
    });
    if (armed == m_ownerTraps.end() || m_nodes[node] == nullptr) {
        return;
    }
    const OwnerTrap trap = *armed;
    m_ownerTraps.erase(armed);
    ++m_report.ownerEnds;
    if (chance(0.5)) {
        endOwner(node, trap);
        return;
    }
    const double delayS = std::uniform_real_distribution<double>{0.0, internal::maxTrapDelayS}(m_random);
    m_timeline.after(internal::fromS(delayS), [this, node, trap] {
        endOwner(node, trap);
    });
}

void Simulation::endOwner(std::size_t node, const OwnerTrap &trap)
{
    if (m_nodes[node] == nullptr) {
        return;
    }
    const core::TimePoint end = now() + trap.duration;
    switch (trap.kind) {
    case FaultKind::OwnerFrozenAfterCommand:
        m_nodes[node]->executor.freezeUntil(end);
        break;
    case FaultKind::OwnerCutOffAfterCommand:
        m_nodes[node]->contact.cutOffUntil = end;
        break;
    default:
        stopNode(node, trap.kind == FaultKind::OwnerStoppedAfterCommand);
        break;
    }
}

void Simulation::submitProbes()
{
    // With fewer tasks, an instance that joins from a standby pool would hide a worker that gets none.
    const std::int64_t standbyInstances = std::accumulate(m_deployment.pools.begin(), m_deployment.pools.end(), 0, [](int sum, const PoolPlan &pool) {
        return sum + (pool.standby ? pool.instances : 0);
    });
    for (const PoolPlan &pool : m_deployment.pools) {
        const auto queue = std::find_if(m_deployment.queues.begin(), m_deployment.queues.end(), [&pool](const QueuePlan &candidate) {
            return candidate.pool == pool.name;
        });
        const std::int64_t workers =
            std::count_if(m_workers.begin(), m_workers.end(), [&pool](const std::pair<const std::string, std::unique_ptr<WorkerModel>> &worker) {
                return worker.second->isUp() && worker.second->entry.pool == pool.name;
            });
        if (queue == m_deployment.queues.end() || pool.standby) {
            continue;
        }
        QueuePlan probe = *queue;
        probe.cpu = internal::probeCpu;
        probe.continuousTasks = static_cast<int>(workers + standbyInstances);
        probe.continuousPerWorker = 1;
        submitJob(probe, true);
        m_probes[pool.name] = m_clients.back()->job.id;
    }
}

bool Simulation::mayBeProbed(const WorkerModel &worker) const
{
    const EmulatedInstance &instance = m_instances.at(worker.instance);
    const auto closures = m_zoneClosures.find(instance.zone);
    const bool zoneClosed = closures != m_zoneClosures.end() && closures->second > 0;
    return worker.isUp() && instance.state == jobs::InstanceState::Up && instance.worker == worker.entry.id && !worker.entry.draining && !zoneClosed;
}

void Simulation::checkProbes()
{
    const bool wavesOver = std::all_of(m_checker.waves().begin(), m_checker.waves().end(), [](const std::pair<const std::int64_t, WaveView> &wave) {
        return wave.second.isCompleted();
    });
    if (!wavesOver) {
        m_unusedSince.clear();
        return;
    }
    // Tasks that wait for room may keep the others of their step where they are, and with them an instance of a wave.
    const core::TimePoint end = m_start + internal::fromS(m_deployment.loadDurationS + m_deployment.completionTimeS);
    if (m_deployment.probesWorkers && m_probes.empty() && now() >= end - internal::probeTime && now() < end - internal::probeTime / 2) {
        submitProbes();
    }
    m_report.probed = !m_probes.empty();
    for (const std::pair<const std::string, std::string> &probe : m_probes) {
        std::map<std::string, bool> usedWorkers;
        std::int64_t running = 0;
        for (const std::pair<const std::string, std::unique_ptr<WorkerModel>> &item : m_workers) {
            const WorkerModel &worker = *item.second;
            const bool runs = std::any_of(worker.runs().begin(), worker.runs().end(), [&probe](const std::pair<const jobs::TaskName, EmulatedRun> &run) {
                return run.first.job == probe.second;
            });
            running += runs ? 1 : 0;
            if (worker.entry.pool == probe.first) {
                usedWorkers[item.first] = runs || !mayBeProbed(worker);
            }
        }
        const bool waits = running < m_jobs.at(probe.second).steps.front().count;
        for (const std::pair<const std::string, bool> &worker : usedWorkers) {
            if (worker.second || !waits) {
                m_unusedSince.erase(worker.first);
                continue;
            }
            m_checker.workerUnused(worker.first, m_unusedSince.try_emplace(worker.first, now()).first->second, now());
        }
    }
}

} // namespace oleanderwick::emulator

#include "world.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "world_state.hpp"

namespace oleanderwick::emulator
{

Simulation::Simulation(const Deployment &deployment, std::uint64_t seed)
    : m_deployment{deployment}
    , m_random{seed}
    , m_checker{InvariantChecker::Tolerances{}}
{
    m_callbacks.stepOf = [this](const jobs::TaskName &task) {
        const auto job = m_jobs.find(task.job);
        return job == m_jobs.end() || task.step >= job->second.steps.size() ? jobs::Step{} : job->second.steps[task.step];
    };
    m_callbacks.behaviorOf = [this](const WorkerModel &worker, const jobs::TaskName &task, std::int64_t run) {
        return behaviorOf(worker, task, run);
    };
    m_callbacks.onStarted = [this](const WorkerModel &worker, const EmulatedRun &run) {
        m_runStarted = true;
        m_startedRun = run;
        noteStart(worker.entry.id, run.task.job);
    };
    m_callbacks.onEnded = [this](const WorkerModel &worker, const EmulatedRun &run, jobs::RunEndKind kind) {
        m_checker.ended(worker, run, kind);
    };
    m_callbacks.onAcknowledged = [this](const WorkerModel &, const jobs::ReportedEnd &end) {
        m_checker.acknowledged(end);
    };
}

Simulation::~Simulation() = default;

core::TimePoint Simulation::now() const noexcept
{
    return m_timeline.now();
}

double Simulation::seconds() const noexcept
{
    return std::chrono::duration<double>{now() - m_start}.count();
}

bool Simulation::chance(double probability)
{
    return probability > 0.0 && std::bernoulli_distribution{std::min(probability, 1.0)}(m_random);
}

void Simulation::noteSilentEvent(const std::string &name)
{
    if (m_store.areWatchesSilent() && !m_started.contains(name)) {
        m_silentEvents.emplace(name, now());
    }
}

void Simulation::noteStart(const std::string &worker, const std::string &job)
{
    const std::pair<const std::string &, std::vector<double> &> awaited[]{{worker, m_report.silentWorkerDelaysS}, {job, m_report.silentJobDelaysS}};
    for (const std::pair<const std::string &, std::vector<double> &> &item : awaited) {
        m_started.insert(item.first);
        const auto event = m_silentEvents.find(item.first);
        if (event != m_silentEvents.end()) {
            item.second.push_back(std::chrono::duration<double>{now() - event->second}.count());
            m_silentEvents.erase(event);
        }
    }
}

void Simulation::noteCall(const std::string &worker)
{
    const auto appeared = m_uncalledWorkers.find(worker);
    if (appeared != m_uncalledWorkers.end()) {
        m_report.silentContactDelaysS.push_back(std::chrono::duration<double>{now() - appeared->second}.count());
        m_uncalledWorkers.erase(appeared);
    }
}

TaskBehavior Simulation::behaviorOf(const WorkerModel &worker, const jobs::TaskName &task, std::int64_t run)
{
    (void)run;
    TaskBehavior behavior;
    const std::string step = absl::StrCat(task.job, ".", task.step);
    const auto known = m_workFactors.find(step);
    const double factor = known == m_workFactors.end() ? 1.0 : known->second;
    behavior.workMs = factor * static_cast<double>(m_callbacks.stepOf(task).estimateMs);
    behavior.fails = chance(worker.failureRate);
    return behavior;
}

void Simulation::addInstances()
{
    int number = 0;
    for (const PoolPlan &pool : m_deployment.pools) {
        for (int index = 0; index < pool.instances; ++index, ++number) {
            EmulatedInstance instance;
            instance.pool = pool.name;
            const int rack = number / std::max(m_deployment.instancesPerRack, 1);
            instance.rack = absl::StrCat("rack-", rack);
            instance.zone = absl::StrCat("zone-", rack % std::max(m_deployment.zones, 1));
            const std::string name = absl::StrFormat("instance-%03d", number);
            m_instances[name] = instance;
            if (!pool.standby) {
                addWorker(name);
            }
        }
    }
}

void Simulation::addWorker(const std::string &name)
{
    constexpr double minClockRate = 0.98;
    EmulatedInstance &instance = m_instances.at(name);
    const auto plan = std::find_if(m_deployment.pools.begin(), m_deployment.pools.end(), [&instance](const PoolPlan &pool) {
        return pool.name == instance.pool;
    });
    jobs::WorkerEntry entry;
    entry.id = absl::StrFormat("worker-%04d", ++m_lastWorker);
    entry.pool = instance.pool;
    entry.address = entry.id;
    entry.rack = instance.rack;
    entry.zone = instance.zone;
    entry.labels = {"plain", instance.rack};
    entry.capacity = {plan->cpu, 64'000, 0};
    entry.incarnation = m_lastWorker;
    instance.worker = entry.id;
    const double clockRate = std::uniform_real_distribution<double>{minClockRate, 1.0}(m_random);
    m_workers[entry.id] = std::make_unique<WorkerModel>(entry, name, m_deployment.workers, clockRate, m_callbacks, now());
    publish(*m_workers[entry.id]);
    noteSilentEvent(entry.id);
    if (m_store.areWatchesSilent()) {
        m_uncalledWorkers.emplace(entry.id, now());
    }
}

void Simulation::publish(const WorkerModel &worker)
{
    const std::string text = absl::StrCat("entry-", ++m_lastEntry);
    m_entries[text] = worker.entry;
    jobs::StoreChange change;
    change.writes.push_back({"workers/" + worker.entry.id, text, 0});
    (void)m_store.commit(change);
}

void Simulation::withdraw(const std::string &worker, core::Duration delay)
{
    m_timeline.after(delay, [this, worker] {
        const auto found = m_workers.find(worker);
        if (found != m_workers.end() && !found->second->isUp()) {
            jobs::StoreChange change;
            change.removals.push_back("workers/" + worker);
            (void)m_store.commit(change);
        }
    });
}

void Simulation::scheduleWorkerEvent(const std::string &worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !found->second->isUp()) {
        return;
    }
    if (found->second->hasUnacknowledgedEnds()) {
        answerPolls(worker);
    }
    const core::TimePoint next = found->second->nextEventAt();
    const std::uint64_t number = ++m_scheduleNumbers[worker];
    if (next == core::TimePoint::max()) {
        return;
    }
    m_timeline.at(next + std::chrono::milliseconds{1}, [this, worker, number] {
        const auto model = m_workers.find(worker);
        if (m_scheduleNumbers[worker] == number && model != m_workers.end()) {
            model->second->advance(now());
            this->scheduleWorkerEvent(worker);
        }
    });
}

void Simulation::answerPolls(const std::string &worker)
{
    std::vector<std::function<void()>> waiting;
    std::swap(waiting, m_waitingPolls[worker]);
    for (const std::function<void()> &finish : waiting) {
        finish();
    }
}

void Simulation::terminateWorkerOn(EmulatedInstance &instance)
{
    const auto worker = m_workers.find(instance.worker);
    if (worker != m_workers.end()) {
        m_checker.workerLost(*worker->second);
        worker->second->crash(now());
        withdraw(instance.worker, 3 * internal::heartbeatInterval);
    }
    instance.worker.clear();
}

void Simulation::moveInstance(const std::string &name, const std::string &pool)
{
    EmulatedInstance &instance = m_instances.at(name);
    terminateWorkerOn(instance);
    instance.pool = pool;
    instance.state = jobs::InstanceState::Moving;
    m_timeline.after(m_deployment.migrationTime, [this, name] {
        EmulatedInstance &moved = m_instances.at(name);
        moved.state = jobs::InstanceState::Up;
        const bool standby = std::any_of(m_deployment.pools.begin(), m_deployment.pools.end(), [&moved](const PoolPlan &plan) {
            return plan.name == moved.pool && plan.standby;
        });
        if (!standby) {
            addWorker(name);
        }
    });
}

void Simulation::startNode(std::size_t index)
{
    const std::string name = absl::StrCat("node-", index, "#", m_random());
    m_nodes[index] = std::make_unique<Node>(*this, index, name);
    std::vector<jobnode::FailoverStore::Relay> relays;
    for (const std::size_t step : {std::size_t{1}, std::size_t{2}}) {
        const std::size_t peer = (index + step) % m_nodes.size();
        if (peer != index) {
            relays.push_back(std::make_shared<StoreLink>(*this, m_nodes[index]->executor, m_nodes[index]->contact, peer));
        }
    }
    m_nodes[index]->store.setRelays(std::move(relays));
}

void Simulation::stopNode(std::size_t index, bool planned)
{
    constexpr core::Duration restartDelay = std::chrono::milliseconds{500};
    constexpr core::Duration stopGrace = std::chrono::milliseconds{2600};
    if (m_nodes[index] == nullptr) {
        return;
    }
    const core::Duration downIn = planned ? stopGrace : core::Duration::zero();
    if (planned) {
        m_nodes[index]->node.stop();
    }
    Node *stopped = m_nodes[index].get();
    m_timeline.after(downIn, [this, index, stopped] {
        if (m_nodes[index].get() == stopped) {
            stopped->executor.kill();
            m_stoppedNodes.push_back(std::move(m_nodes[index]));
        }
    });
    m_timeline.after(downIn + restartDelay, [this, index] {
        if (m_nodes[index] == nullptr) {
            startNode(index);
        }
    });
}

void Simulation::deliverNotices(const std::string &address, const std::string &text, const std::function<void(jobnode::NoticeOutcome)> &onReply)
{
    const auto node = std::find_if(m_nodes.begin(), m_nodes.end(), [&address](const std::unique_ptr<Node> &candidate) {
        return candidate != nullptr && address == internal::noticeAddress(candidate->index);
    });
    if (node == m_nodes.end()) {
        return;
    }
    Node *target = node->get();
    target->executor.post([this, target, text, onReply] {
        const absl::StatusOr<std::vector<jobnode::OwnerNotice>> notices = jobnode::noticesFromText(text);
        const bool isOwner = notices.ok() && target->node.handleNotices(*notices);
        m_timeline.after(core::Duration::zero(), [onReply, isOwner] {
            onReply(isOwner ? jobnode::NoticeOutcome::Delivered : jobnode::NoticeOutcome::NotOwner);
        });
    });
}

Simulation::Node *Simulation::randomReadyNode()
{
    std::vector<Node *> ready;
    for (const std::unique_ptr<Node> &node : m_nodes) {
        if (node != nullptr && node->node.isReady() && !node->executor.isFrozen()) {
            ready.push_back(node.get());
        }
    }
    if (ready.empty()) {
        return nullptr;
    }
    return ready[std::uniform_int_distribution<std::size_t>{0, ready.size() - 1}(m_random)];
}

void Simulation::sample()
{
    int unfinished = 0;
    for (const std::shared_ptr<Client> &client : m_clients) {
        unfinished += client->accepted && !client->finished && !client->continuous ? 1 : 0;
        if (client->continuous && client->accepted && !client->cancelled) {
            m_continuousExpected += static_cast<std::uint64_t>(client->job.steps[0].count);
        }
    }
    for (const std::pair<const std::string, std::unique_ptr<WorkerModel>> &worker : m_workers) {
        for (const std::pair<const jobs::TaskName, EmulatedRun> &run : worker.second->runs()) {
            m_continuousRunning += run.second.step.continuous ? 1 : 0;
        }
    }
    for (const std::pair<const std::string, EmulatedInstance> &item : m_instances) {
        const bool isActive = std::none_of(m_deployment.pools.begin(), m_deployment.pools.end(), [&item](const PoolPlan &pool) {
            return pool.name == item.second.pool && pool.standby;
        });
        m_report.instanceSeconds += isActive ? std::chrono::duration<double>{internal::sampleInterval}.count() : 0.0;
    }
    m_report.backlog.emplace_back(seconds(), unfinished);
    checkProbes();
    m_store.expire(now());
    m_timeline.after(internal::sampleInterval, [this] {
        sample();
    });
}

SimulationReport Simulation::simulate()
{
    jobs::FleetConfig config;
    for (const PoolPlan &pool : m_deployment.pools) {
        config.pools[pool.name] = jobs::PoolPolicy{m_deployment.workers.enforcesCapacity, pool.standby};
    }
    for (const QueuePlan &queue : m_deployment.queues) {
        jobs::QueuePolicy policy;
        policy.pool = queue.pool;
        policy.maxAttempts = 3;
        policy.criticalPathFactor = internal::stretch;
        policy.objectiveMs = queue.objectiveMs;
        config.queues[queue.name] = policy;
    }
    std::map<std::string, jobs::Resources> limits;
    for (int team = 0; team < m_deployment.teams; ++team) {
        jobs::TeamPolicy policy;
        policy.limit.cpu = m_deployment.teamCpuLimit;
        config.teams[absl::StrCat("team-", team)] = policy;
        limits[absl::StrCat("team-", team)] = policy.limit;
    }
    m_checker.setTeamLimits(std::move(limits));
    m_configs["config-1"] = std::move(config);
    jobs::StoreChange change;
    change.writes.push_back({"operators/config", "config-1", 0});
    (void)m_store.commit(change);
    addInstances();
    m_nodes.resize(static_cast<std::size_t>(m_deployment.nodes));
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
        startNode(index);
    }
    m_start = now() + internal::warmUp;
    scheduleEvents();
    sample();
    m_timeline.runUntil(m_start + internal::fromS(m_deployment.loadDurationS + m_deployment.completionTimeS));
    for (const std::pair<const std::string, core::TimePoint> &uncalled : m_uncalledWorkers) {
        if (m_workers.at(uncalled.first)->isUp()) {
            m_report.silentContactDelaysS.push_back(std::chrono::duration<double>{now() - uncalled.second}.count());
        }
    }
    m_checker.simulationEnded(now());
    m_report.violations = m_checker.violations();
    m_report.starts = m_checker.starts();
    m_report.waves = m_checker.waves().size();
    m_report.completedWaves = static_cast<std::uint64_t>(std::count_if(m_checker.waves().begin(), m_checker.waves().end(), [](const auto &wave) {
        return wave.second.isCompleted();
    }));
    m_report.continuousShare = m_continuousExpected == 0 ? 1.0 : static_cast<double>(m_continuousRunning) / static_cast<double>(m_continuousExpected);
    return m_report;
}

} // namespace oleanderwick::emulator

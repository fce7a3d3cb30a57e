#include "owner_term_state.hpp"

#include <algorithm>
#include <iterator>

#include <nlohmann/json.hpp>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration instanceListInterval = std::chrono::milliseconds{400};
/** Interval while tasks wait to learn whether their worker has crashed. */
constexpr core::Duration urgentListInterval = std::chrono::milliseconds{100};
/** Evacuations and maintenance examine each worker and each instance of a wave, so they don't run in each cycle. */
constexpr core::Duration evacuationInterval = std::chrono::milliseconds{20};

/** Interval at which the metrics of teams are measured, which examines every job. */
constexpr core::Duration teamRecordInterval = std::chrono::seconds{1};

} // namespace internal

void OwnerTerm::State::evacuateDraining(core::TimePoint now)
{
    for (const std::pair<const std::string, jobs::Worker> &worker : scheduler.workers()) {
        if (worker.second.entry.draining && !worker.second.runs.empty()) {
            scheduler.evacuate(worker.first, now);
        }
    }
}

void OwnerTerm::State::runCycle()
{
    const core::TimePoint now = executor.now();
    if (!isActive() || !ready) {
        return;
    }
    lastCycleAt = now;
    addSubmittedJobs();
    if (ownership.isHeld(now)) {
        const bool evacuationDue = now - lastEvacuationAt >= internal::evacuationInterval;
        if (evacuationDue) {
            lastEvacuationAt = now;
            evacuateDraining(now);
            scheduler.evacuateClosedZones(now);
        }
        scheduler.advance(now, executor.wallMs());
        if (evacuationDue) {
            maintenance.advance(scheduler, now, executor.wallMs());
        }
        balancer.advance(scheduler, maintenance, now);
        sendCommands();
        publishLoad(now);
    }
    saveStates();
    saveWaves();
    removeExpired();
    listInstances();
    logDecisions();
    recordTeams(now);
    lastCycleDuration = executor.now() - now;
}

void OwnerTerm::State::recordTeams(core::TimePoint now)
{
    if (options.scheduler.teamShares && now - teamsRecordedAt >= internal::teamRecordInterval) {
        teamsRecordedAt = now;
        log.metrics().setTeamFigures(scheduler.measureTeams(executor.wallMs()));
    }
}

void OwnerTerm::State::sendCommands()
{
    saveUsedWorkers();
    jobs::Commands commands = scheduler.takeCommands();
    for (const jobs::StopCommand &command : commands.stops) {
        sendStop(command);
    }
    for (const jobs::StartCommand &command : commands.starts) {
        sendStart(command);
    }
    for (const jobs::PaceCommand &command : commands.paces) {
        ports.workers.pace(command, permit());
    }
    adviceRequests.insert(adviceRequests.end(), commands.adviceRequests.begin(), commands.adviceRequests.end());
    requestAdvice();
    for (const jobs::PollCommand &command : scheduler.takePolls(executor.now())) {
        sendPoll(command);
    }
    const std::vector<jobs::MaintainCommand> maintainCommands = maintenance.takeCommands();
    const std::vector<jobs::MoveCommand> moveCommands = balancer.takeCommands();
    unannouncedCommands.maintenance.insert(unannouncedCommands.maintenance.end(), maintainCommands.begin(), maintainCommands.end());
    unannouncedCommands.moves.insert(unannouncedCommands.moves.end(), moveCommands.begin(), moveCommands.end());
    announceInstanceCommands();
}

void OwnerTerm::State::handleFenced(const std::string &worker)
{
    log.add("fenced", telemetry::Event{"fenced"}.with("worker", worker).with("token", token));
    ownership.handleLoss();
}

jobs::CommandPermit OwnerTerm::State::permit() const
{
    return {token, ownership.validUntil()};
}

void OwnerTerm::State::sendStart(const jobs::StartCommand &command)
{
    if (!ownership.isHeld(executor.now())) {
        scheduler.handleStartReply(command, jobs::StartOutcome::NotSent, 0, executor.now());
        return;
    }
    ports.workers.start(command, permit(), [self = shared_from_this(), command](const jobs::StartReply &reply) {
        if (!self->isActive()) {
            return;
        }
        self->scheduler.handleStartReply(command, reply.outcome, reply.clockMs, self->executor.now());
        if (reply.outcome == jobs::StartOutcome::Fenced) {
            self->handleFenced(command.worker);
            return;
        }
        self->scheduleCycle();
    });
}

void OwnerTerm::State::sendStop(const jobs::StopCommand &command)
{
    ports.workers.stop(command, permit(), [self = shared_from_this(), command](bool acknowledged) {
        if (self->isActive()) {
            self->scheduler.handleStopReply(command, acknowledged, self->executor.now());
            self->scheduleCycle();
        }
    });
}

void OwnerTerm::State::sendPoll(const jobs::PollCommand &command)
{
    const core::TimePoint sentAt = executor.now();
    ports.workers.poll(command, permit(), [self = shared_from_this(), command, sentAt](const jobs::PollReply &reply) {
        if (!self->isActive()) {
            return;
        }
        const core::TimePoint now = self->executor.now();
        if (reply.kind == jobs::PollReply::Kind::Fenced) {
            self->handleFenced(command.worker);
            return;
        }
        if (reply.kind == jobs::PollReply::Kind::Reported) {
            self->scheduler.handleReport(command.worker, reply.report, sentAt, now, self->executor.wallMs());
        } else {
            self->scheduler.handlePollFailure(command.worker, reply.kind == jobs::PollReply::Kind::Gone, now);
        }
        self->scheduleCycle();
    });
}

void OwnerTerm::State::requestAdvice()
{
    // The advice service handles the calls of a node one at a time.
    if (adviceInFlight || adviceRequests.empty()) {
        return;
    }
    adviceInFlight = true;
    const jobs::AdviceRequest request = adviceRequests.front();
    adviceRequests.erase(adviceRequests.begin());
    ports.advice.request(request, [self = shared_from_this(), request](const std::optional<jobs::AdviceReply> &reply) {
        self->adviceInFlight = false;
        if (!self->isActive()) {
            return;
        }
        const core::TimePoint now = self->executor.now();
        if (reply.has_value()) {
            self->scheduler.handleAdvice(request, reply->tickets, reply->validFor, now);
        } else {
            self->log.add("advice_failed", telemetry::Event{"advice_failed"}.with("job", request.step.job));
            self->scheduler.handleAdvice(request, std::nullopt, {}, now);
        }
        self->scheduleCycle();
    });
}

std::set<std::string> OwnerTerm::State::workersOn(const jobs::InstancePort::Instances &instances)
{
    std::set<std::string> workers;
    for (const std::pair<const std::string, jobs::InstanceEntry> &item : instances) {
        // A move or maintenance stops the worker of the instance at once.
        const bool workerStopped = item.second.state == jobs::InstanceState::Moving || item.second.state == jobs::InstanceState::UnderMaintenance;
        if (!workerStopped && !item.second.worker.empty()) {
            workers.insert(item.second.worker);
        }
    }
    return workers;
}

void OwnerTerm::State::listInstances()
{
    const core::TimePoint now = executor.now();
    const core::Duration interval = scheduler.awaitsWorkerFate(now) ? internal::urgentListInterval : internal::instanceListInterval;
    if (instanceListInFlight || now - lastInstanceListAt < interval) {
        return;
    }
    instanceListInFlight = true;
    ports.instances.list([self = shared_from_this(), now](std::optional<jobs::InstancePort::Instances> instances) {
        self->instanceListInFlight = false;
        self->lastInstanceListAt = self->executor.now();
        if (!self->isActive()) {
            return;
        }
        if (instances.has_value()) {
            self->scheduler.handleRunningWorkers(workersOn(*instances), now, self->executor.now());
            if (self->missedChanges != nullptr) {
                self->missedChanges->handleInstances(*instances);
            }
            self->balancer.handleInstances(*instances, now);
            self->maintenance.handleInstances(*std::move(instances), now);
            self->scheduleCycle();
        } else {
            self->log.add("instances_unavailable", telemetry::Event{"instances_unavailable"});
        }
    });
}

void OwnerTerm::State::announceInstanceCommands()
{
    const core::TimePoint now = executor.now();
    const bool hasCommands = !unannouncedCommands.maintenance.empty() || !unannouncedCommands.moves.empty();
    // Progress of a wave may not be written twice at the same time, since the second change would conflict with the first.
    if (announceInFlight || waveSaveInFlight || (!hasCommands && !commandedInstances.isWriteDue(now))) {
        return;
    }
    WaveSave save = takeWaveSave();
    InstanceCommands announced;
    std::swap(announced, unannouncedCommands);
    const auto isDeferred = [&save](const jobs::MaintainCommand &command) {
        return save.deferred.contains(command.wave);
    };
    std::copy_if(announced.maintenance.begin(), announced.maintenance.end(), std::back_inserter(unannouncedCommands.maintenance), isDeferred);
    std::erase_if(announced.maintenance, isDeferred);
    for (const jobs::MaintainCommand &command : announced.maintenance) {
        commandedInstances.handleCommand(command.instance);
    }
    for (const jobs::MoveCommand &command : announced.moves) {
        commandedInstances.handleCommand(command.instance);
    }
    // A successor must not send commands for these instances while ours are in flight, and has to count them against the limits of their waves, so it
    // has to find them in the store before they are sent.
    std::vector<jobs::StoreChange::Write> records = std::move(save.records);
    records.push_back({keys::commandedInstances, commandedInstances.takeRecord(now), 0});
    announceInFlight = true;
    waveSaveInFlight = !save.progress.empty();
    writeAll(records, save.statuses, [this, announced, progress = save.progress](bool stored) {
        announceInFlight = false;
        waveSaveInFlight = false;
        handleWavesSaved(progress, stored);
        sendInstanceCommands(announced, stored);
        scheduleCycle();
    });
}

void OwnerTerm::State::sendInstanceCommands(const InstanceCommands &commands, bool announced)
{
    const core::TimePoint now = executor.now();
    const bool allowed = announced && ownership.isHeld(now);
    for (const jobs::MaintainCommand &command : commands.maintenance) {
        if (allowed) {
            sendMaintenance(command);
        } else {
            commandedInstances.handleReply(command.instance, now);
            maintenance.handleReply(command, jobs::InstanceOutcome::Refused, now);
        }
    }
    for (const jobs::MoveCommand &command : commands.moves) {
        if (allowed && balancer.isAllowed(command, scheduler)) {
            sendMove(command);
        } else {
            commandedInstances.handleReply(command.instance, now);
            balancer.handleReply(command, jobs::InstanceOutcome::Refused, scheduler, now);
        }
    }
}

void OwnerTerm::State::sendMaintenance(const jobs::MaintainCommand &command)
{
    ports.instances.maintain(command, permit(), [self = shared_from_this(), command](jobs::InstanceOutcome outcome) {
        telemetry::Event event{"maintenance_ordered"};
        event.with("instance", command.instance).with("wave", command.wave).with("token", self->token);
        event.with("answer", static_cast<std::int64_t>(outcome));
        self->log.add("maintenance_ordered", event);
        if (!self->isActive()) {
            return;
        }
        self->commandedInstances.handleReply(command.instance, self->executor.now());
        self->maintenance.handleReply(command, outcome, self->executor.now());
        if (outcome == jobs::InstanceOutcome::Fenced) {
            self->ownership.handleLoss();
            return;
        }
        self->scheduleCycle();
    });
}

void OwnerTerm::State::sendMove(const jobs::MoveCommand &command)
{
    ports.instances.move(command, permit(), [self = shared_from_this(), command](jobs::InstanceOutcome outcome) {
        telemetry::Event event{"move_ordered"};
        event.with("instance", command.instance).with("from", command.from).with("to", command.pool).with("token", self->token);
        event.with("answer", static_cast<std::int64_t>(outcome));
        self->log.add("move_ordered", event);
        if (!self->isActive()) {
            return;
        }
        self->commandedInstances.handleReply(command.instance, self->executor.now());
        self->balancer.handleReply(command, outcome, self->scheduler, self->executor.now());
        if (outcome == jobs::InstanceOutcome::Fenced) {
            self->ownership.handleLoss();
            return;
        }
        self->scheduleCycle();
    });
}

} // namespace oleanderwick::jobnode

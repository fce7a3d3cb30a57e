#include "owner_term_state.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration instanceListInterval = std::chrono::milliseconds{400};

} // namespace internal

void OwnerTerm::State::runCycle()
{
    const core::TimePoint now = executor.now();
    if (!isActive() || !ready) {
        return;
    }
    lastCycleAt = now;
    if (ownership.isHeld(now)) {
        for (const std::pair<const std::string, jobs::Worker> &worker : scheduler.workers()) {
            if (worker.second.entry.draining && !worker.second.runs.empty()) {
                scheduler.evacuate(worker.first, now);
            }
        }
        scheduler.advance(now, executor.wallMs());
        maintenance.advance(scheduler, now, executor.wallMs());
        balancer.advance(scheduler, maintenance, now);
        sendCommands();
    }
    saveStates();
    saveWaves();
    savePending();
    removeExpired();
    listInstances();
    logDecisions();
}

void OwnerTerm::State::sendCommands()
{
    saveUsedWorkers();
    jobs::Orders commands = scheduler.takeOrders();
    for (const jobs::StopOrder &command : commands.stops) {
        sendStop(command);
    }
    for (const jobs::StartOrder &command : commands.starts) {
        sendStart(command);
    }
    for (const jobs::PaceOrder &command : commands.paces) {
        ports.workers.pace(command, token);
    }
    adviceRequests.insert(adviceRequests.end(), commands.questions.begin(), commands.questions.end());
    requestAdvice();
    for (const jobs::HoldOrder &command : scheduler.takeHolds(executor.now())) {
        sendPoll(command);
    }
    const std::vector<jobs::MaintainOrder> maintainCommands = maintenance.takeOrders();
    const std::vector<jobs::MoveOrder> moveCommands = balancer.takeOrders();
    unannouncedCommands.maintenance.insert(unannouncedCommands.maintenance.end(), maintainCommands.begin(), maintainCommands.end());
    unannouncedCommands.moves.insert(unannouncedCommands.moves.end(), moveCommands.begin(), moveCommands.end());
    announceInstanceCommands();
}

void OwnerTerm::State::handleFenced(const std::string &worker)
{
    log.add("fenced", telemetry::Event{"fenced"}.with("worker", worker).with("token", token));
    ownership.handleLoss();
}

void OwnerTerm::State::sendStart(const jobs::StartOrder &command)
{
    if (!ownership.isHeld(executor.now())) {
        scheduler.takeStartAnswer(command, jobs::StartAnswer::NotSent, 0, executor.now());
        return;
    }
    ports.workers.start(command, token, [self = shared_from_this(), command](const jobs::StartReply &reply) {
        if (!self->isActive()) {
            return;
        }
        self->scheduler.takeStartAnswer(command, reply.answer, reply.clockMs, self->executor.now());
        if (reply.answer == jobs::StartAnswer::Fenced) {
            self->handleFenced(command.worker);
            return;
        }
        self->scheduleCycle();
    });
}

void OwnerTerm::State::sendStop(const jobs::StopOrder &command)
{
    ports.workers.stop(command, token, [self = shared_from_this(), command](bool acknowledged) {
        if (self->isActive()) {
            self->scheduler.takeStopAnswer(command, acknowledged, self->executor.now());
            self->scheduleCycle();
        }
    });
}

void OwnerTerm::State::sendPoll(const jobs::HoldOrder &command)
{
    const core::TimePoint sentAt = executor.now();
    ports.workers.hold(command, token, [self = shared_from_this(), command, sentAt](const jobs::HoldReply &reply) {
        if (!self->isActive()) {
            return;
        }
        const core::TimePoint now = self->executor.now();
        if (reply.kind == jobs::HoldReply::Kind::Fenced) {
            self->handleFenced(command.worker);
            return;
        }
        if (reply.kind == jobs::HoldReply::Kind::Listed) {
            self->scheduler.takeReport(command.worker, reply.report, sentAt, now, self->executor.wallMs());
        } else {
            self->scheduler.takeHoldFailure(command.worker, reply.kind == jobs::HoldReply::Kind::Gone, now);
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
    const jobs::AdviceOrder request = adviceRequests.front();
    adviceRequests.erase(adviceRequests.begin());
    ports.advice.ask(request, [self = shared_from_this(), request](const std::optional<jobs::AdviceReply> &reply) {
        self->adviceInFlight = false;
        if (!self->isActive()) {
            return;
        }
        const core::TimePoint now = self->executor.now();
        if (reply.has_value()) {
            self->scheduler.takeAdvice(request, reply->tickets, reply->validFor, now);
        } else {
            self->log.add("advice_failed", telemetry::Event{"advice_failed"}.with("job", request.step.job));
            self->scheduler.takeAdvice(request, std::nullopt, {}, now);
        }
        self->scheduleCycle();
    });
}

std::set<std::string> OwnerTerm::State::workersOn(const jobs::InstancePort::Instances &instances)
{
    std::set<std::string> workers;
    for (const std::pair<const std::string, jobs::InstanceEntry> &item : instances) {
        // A move or maintenance stops the worker of the instance at once.
        const bool workerStopped = item.second.state == jobs::InstanceState::Moving || item.second.state == jobs::InstanceState::Maintained;
        if (!workerStopped && !item.second.worker.empty()) {
            workers.insert(item.second.worker);
        }
    }
    return workers;
}

void OwnerTerm::State::listInstances()
{
    const core::TimePoint now = executor.now();
    if (instanceListInFlight || now - lastInstanceListAt < internal::instanceListInterval) {
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
            self->scheduler.takeRunningWorkers(workersOn(*instances), now, self->executor.now());
            self->balancer.takeInstances(*instances, now);
            self->maintenance.takeInstances(*std::move(instances), now);
            self->scheduleCycle();
        } else {
            self->log.add("instances_unavailable", telemetry::Event{"instances_unavailable"});
        }
    });
}

void OwnerTerm::State::announceInstanceCommands()
{
    if (announceInFlight || (unannouncedCommands.maintenance.empty() && unannouncedCommands.moves.empty())) {
        return;
    }
    const core::TimePoint now = executor.now();
    InstanceCommands announced;
    std::swap(announced, unannouncedCommands);
    for (const jobs::MaintainOrder &command : announced.maintenance) {
        commandedInstances[command.instance] = now;
    }
    for (const jobs::MoveOrder &command : announced.moves) {
        commandedInstances[command.instance] = now;
    }
    std::erase_if(commandedInstances, [this, now](const std::pair<const std::string, core::TimePoint> &commanded) {
        return now - commanded.second > limits.commandDelay;
    });
    nlohmann::json names = nlohmann::json::array();
    for (const std::pair<const std::string, core::TimePoint> &commanded : commandedInstances) {
        names.push_back(commanded.first);
    }
    // A successor must not send commands for these instances while ours are in flight, so it has to find them in the store before they are sent.
    announceInFlight = true;
    write(keys::commandedInstances, names.dump(), [this, announced](bool stored) {
        announceInFlight = false;
        sendInstanceCommands(announced, stored);
        scheduleCycle();
    });
}

void OwnerTerm::State::sendInstanceCommands(const InstanceCommands &commands, bool announced)
{
    const core::TimePoint now = executor.now();
    const bool allowed = announced && ownership.isHeld(now);
    for (const jobs::MaintainOrder &command : commands.maintenance) {
        if (allowed) {
            sendMaintenance(command);
        } else {
            maintenance.takeAnswer(command, jobs::InstanceAnswer::Refused, now);
        }
    }
    for (const jobs::MoveOrder &command : commands.moves) {
        if (allowed) {
            sendMove(command);
        } else {
            balancer.takeAnswer(command, jobs::InstanceAnswer::Refused, scheduler, now);
        }
    }
}

void OwnerTerm::State::sendMaintenance(const jobs::MaintainOrder &command)
{
    ports.instances.maintain(command, token, [self = shared_from_this(), command](jobs::InstanceAnswer result) {
        telemetry::Event event{"maintenance_ordered"};
        event.with("instance", command.instance).with("wave", command.wave).with("answer", static_cast<std::int64_t>(result));
        self->log.add("maintenance_ordered", event);
        if (!self->isActive()) {
            return;
        }
        self->maintenance.takeAnswer(command, result, self->executor.now());
        if (result == jobs::InstanceAnswer::Fenced) {
            self->ownership.handleLoss();
            return;
        }
        self->scheduleCycle();
    });
}

void OwnerTerm::State::sendMove(const jobs::MoveOrder &command)
{
    ports.instances.move(command, token, [self = shared_from_this(), command](jobs::InstanceAnswer result) {
        telemetry::Event event{"move_ordered"};
        event.with("instance", command.instance).with("from", command.from).with("to", command.pool).with("answer", static_cast<std::int64_t>(result));
        self->log.add("move_ordered", event);
        if (!self->isActive()) {
            return;
        }
        self->balancer.takeAnswer(command, result, self->scheduler, self->executor.now());
        if (result == jobs::InstanceAnswer::Fenced) {
            self->ownership.handleLoss();
            return;
        }
        self->scheduleCycle();
    });
}

} // namespace oleanderwick::jobnode

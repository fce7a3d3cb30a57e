#include "tenure_state.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration instancesEvery = std::chrono::milliseconds{400};

} // namespace internal

void Tenure::State::pump()
{
    const core::TimePoint now = executor.now();
    if (!active() || !ready) {
        return;
    }
    pumpedAt = now;
    if (ownership.holds(now)) {
        for (const std::pair<const std::string, jobs::Worker> &worker : scheduler.workers()) {
            if (worker.second.entry.draining && !worker.second.runs.empty()) {
                scheduler.evacuate(worker.first, now);
            }
        }
        scheduler.advance(now, executor.wallMs());
        upkeep.advance(scheduler, now, executor.wallMs());
        balancer.advance(scheduler, upkeep, now);
        sendOrders();
    }
    save();
    saveWaves();
    savePending();
    removeExpired();
    listInstances();
    logDecisions();
}

void Tenure::State::sendOrders()
{
    saveUsedWorkers();
    jobs::Orders orders = scheduler.takeOrders();
    for (const jobs::StopOrder &order : orders.stops) {
        sendStop(order);
    }
    for (const jobs::StartOrder &order : orders.starts) {
        sendStart(order);
    }
    for (const jobs::PaceOrder &order : orders.paces) {
        ports.workers.pace(order, token);
    }
    questions.insert(questions.end(), orders.questions.begin(), orders.questions.end());
    askAdvice();
    for (const jobs::HoldOrder &order : scheduler.takeHolds(executor.now())) {
        sendHold(order);
    }
    const std::vector<jobs::MaintainCommand> maintained = upkeep.takeCommands();
    const std::vector<jobs::MoveCommand> moved = balancer.takeCommands();
    instanceOrders.maintained.insert(instanceOrders.maintained.end(), maintained.begin(), maintained.end());
    instanceOrders.moved.insert(instanceOrders.moved.end(), moved.begin(), moved.end());
    announceInstanceOrders();
}

void Tenure::State::fenced(const std::string &worker)
{
    log.add("fenced", telemetry::Event{"fenced"}.with("worker", worker).with("token", token));
    ownership.lose();
}

void Tenure::State::sendStart(const jobs::StartOrder &order)
{
    if (!ownership.holds(executor.now())) {
        scheduler.takeStartAnswer(order, jobs::StartAnswer::NotSent, 0, executor.now());
        return;
    }
    ports.workers.start(order, token, [self = shared_from_this(), order](const jobs::StartReply &reply) {
        if (!self->active()) {
            return;
        }
        self->scheduler.takeStartAnswer(order, reply.answer, reply.clockMs, self->executor.now());
        if (reply.answer == jobs::StartAnswer::Fenced) {
            self->fenced(order.worker);
            return;
        }
        self->schedulePump();
    });
}

void Tenure::State::sendStop(const jobs::StopOrder &order)
{
    ports.workers.stop(order, token, [self = shared_from_this(), order](bool acknowledged) {
        if (self->active()) {
            self->scheduler.takeStopAnswer(order, acknowledged, self->executor.now());
            self->schedulePump();
        }
    });
}

void Tenure::State::sendHold(const jobs::HoldOrder &order)
{
    const core::TimePoint sentAt = executor.now();
    ports.workers.hold(order, token, [self = shared_from_this(), order, sentAt](const jobs::HoldReply &reply) {
        if (!self->active()) {
            return;
        }
        const core::TimePoint now = self->executor.now();
        if (reply.kind == jobs::HoldReply::Kind::Fenced) {
            self->fenced(order.worker);
            return;
        }
        if (reply.kind == jobs::HoldReply::Kind::Listed) {
            self->scheduler.takeReport(order.worker, reply.report, sentAt, now, self->executor.wallMs());
        } else {
            self->scheduler.takeHoldFailure(order.worker, reply.kind == jobs::HoldReply::Kind::Gone, now);
        }
        self->schedulePump();
    });
}

void Tenure::State::askAdvice()
{
    // The service answers one call of a node after the other.
    if (asking || questions.empty()) {
        return;
    }
    asking = true;
    const jobs::AdviceOrder order = questions.front();
    questions.erase(questions.begin());
    ports.advice.ask(order, [self = shared_from_this(), order](const std::optional<jobs::AdviceReply> &reply) {
        self->asking = false;
        if (!self->active()) {
            return;
        }
        const core::TimePoint now = self->executor.now();
        if (reply.has_value()) {
            self->scheduler.takeAdvice(order, reply->tickets, reply->validFor, now);
        } else {
            self->log.add("advice_failed", telemetry::Event{"advice_failed"}.with("job", order.step.job));
            self->scheduler.takeAdvice(order, std::nullopt, {}, now);
        }
        self->schedulePump();
    });
}

std::set<std::string> Tenure::State::workersOn(const jobs::InstancePort::Instances &instances)
{
    std::set<std::string> workers;
    for (const std::pair<const std::string, jobs::InstanceEntry> &item : instances) {
        // A move or maintenance ends the worker at once.
        const bool ended = item.second.state == jobs::InstanceState::Moving || item.second.state == jobs::InstanceState::UnderMaintenance;
        if (!ended && !item.second.worker.empty()) {
            workers.insert(item.second.worker);
        }
    }
    return workers;
}

void Tenure::State::listInstances()
{
    const core::TimePoint now = executor.now();
    if (listingInstances || now - instancesListedAt < internal::instancesEvery) {
        return;
    }
    listingInstances = true;
    ports.instances.list([self = shared_from_this(), now](std::optional<jobs::InstancePort::Instances> instances) {
        self->listingInstances = false;
        self->instancesListedAt = self->executor.now();
        if (!self->active()) {
            return;
        }
        if (instances.has_value()) {
            self->scheduler.takeRunningWorkers(workersOn(*instances), now, self->executor.now());
            self->balancer.handleInstances(*instances, now);
            self->upkeep.handleInstances(*std::move(instances), now);
            self->schedulePump();
        } else {
            self->log.add("instances_unavailable", telemetry::Event{"instances_unavailable"});
        }
    });
}

void Tenure::State::announceInstanceOrders()
{
    if (announcing || (instanceOrders.maintained.empty() && instanceOrders.moved.empty())) {
        return;
    }
    const core::TimePoint now = executor.now();
    InstanceOrders announced;
    std::swap(announced, instanceOrders);
    for (const jobs::MaintainCommand &order : announced.maintained) {
        orderedInstances[order.instance] = now;
    }
    for (const jobs::MoveCommand &order : announced.moved) {
        orderedInstances[order.instance] = now;
    }
    std::erase_if(orderedInstances, [this, now](const std::pair<const std::string, core::TimePoint> &ordered) {
        return now - ordered.second > limits.orderPause;
    });
    nlohmann::json names = nlohmann::json::array();
    for (const std::pair<const std::string, core::TimePoint> &ordered : orderedInstances) {
        names.push_back(ordered.first);
    }
    // A successor must not cross these orders, so it has to find them before they are sent.
    announcing = true;
    write(keys::orderedInstances, names.dump(), [this, announced](bool stored) {
        announcing = false;
        sendInstanceOrders(announced, stored);
        schedulePump();
    });
}

void Tenure::State::sendInstanceOrders(const InstanceOrders &orders, bool announced)
{
    const core::TimePoint now = executor.now();
    const bool allowed = announced && ownership.holds(now);
    for (const jobs::MaintainCommand &order : orders.maintained) {
        if (allowed) {
            sendMaintenance(order);
        } else {
            upkeep.handleResult(order, jobs::InstanceResult::Refused, now);
        }
    }
    for (const jobs::MoveCommand &order : orders.moved) {
        if (allowed) {
            sendMove(order);
        } else {
            balancer.handleResult(order, jobs::InstanceResult::Refused, scheduler, now);
        }
    }
}

void Tenure::State::sendMaintenance(const jobs::MaintainCommand &order)
{
    ports.instances.maintain(order, token, [self = shared_from_this(), order](jobs::InstanceResult answer) {
        telemetry::Event event{"maintenance_ordered"};
        event.with("instance", order.instance).with("wave", order.wave).with("answer", static_cast<std::int64_t>(answer));
        self->log.add("maintenance_ordered", event);
        if (!self->active()) {
            return;
        }
        self->upkeep.handleResult(order, answer, self->executor.now());
        if (answer == jobs::InstanceResult::Fenced) {
            self->ownership.lose();
            return;
        }
        self->schedulePump();
    });
}

void Tenure::State::sendMove(const jobs::MoveCommand &order)
{
    ports.instances.move(order, token, [self = shared_from_this(), order](jobs::InstanceResult answer) {
        telemetry::Event event{"move_ordered"};
        event.with("instance", order.instance).with("from", order.from).with("to", order.pool).with("answer", static_cast<std::int64_t>(answer));
        self->log.add("move_ordered", event);
        if (!self->active()) {
            return;
        }
        self->balancer.handleResult(order, answer, self->scheduler, self->executor.now());
        if (answer == jobs::InstanceResult::Fenced) {
            self->ownership.lose();
            return;
        }
        self->schedulePump();
    });
}

} // namespace oleanderwick::jobnode

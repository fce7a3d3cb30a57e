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
    jobs::Commands orders = scheduler.takeCommands();
    for (const jobs::StopCommand &order : orders.stops) {
        sendStop(order);
    }
    for (const jobs::StartCommand &order : orders.starts) {
        sendStart(order);
    }
    for (const jobs::PaceCommand &order : orders.paces) {
        ports.workers.pace(order, token);
    }
    questions.insert(questions.end(), orders.adviceRequests.begin(), orders.adviceRequests.end());
    askAdvice();
    for (const jobs::PollCommand &order : scheduler.takePolls(executor.now())) {
        sendHold(order);
    }
    const std::vector<jobs::MaintainOrder> maintained = upkeep.takeOrders();
    const std::vector<jobs::MoveOrder> moved = balancer.takeOrders();
    instanceOrders.maintained.insert(instanceOrders.maintained.end(), maintained.begin(), maintained.end());
    instanceOrders.moved.insert(instanceOrders.moved.end(), moved.begin(), moved.end());
    announceInstanceOrders();
}

void Tenure::State::fenced(const std::string &worker)
{
    log.add("fenced", telemetry::Event{"fenced"}.with("worker", worker).with("token", token));
    ownership.lose();
}

void Tenure::State::sendStart(const jobs::StartCommand &order)
{
    if (!ownership.holds(executor.now())) {
        scheduler.handleStartResult(order, jobs::StartResult::NotSent, 0, executor.now());
        return;
    }
    ports.workers.start(order, token, [self = shared_from_this(), order](const jobs::StartReply &reply) {
        if (!self->active()) {
            return;
        }
        self->scheduler.handleStartResult(order, reply.answer, reply.clockMs, self->executor.now());
        if (reply.answer == jobs::StartResult::Fenced) {
            self->fenced(order.worker);
            return;
        }
        self->schedulePump();
    });
}

void Tenure::State::sendStop(const jobs::StopCommand &order)
{
    ports.workers.stop(order, token, [self = shared_from_this(), order](bool acknowledged) {
        if (self->active()) {
            self->scheduler.handleStopResult(order, acknowledged, self->executor.now());
            self->schedulePump();
        }
    });
}

void Tenure::State::sendHold(const jobs::PollCommand &order)
{
    const core::TimePoint sentAt = executor.now();
    ports.workers.poll(order, token, [self = shared_from_this(), order, sentAt](const jobs::PollReply &reply) {
        if (!self->active()) {
            return;
        }
        const core::TimePoint now = self->executor.now();
        if (reply.kind == jobs::PollReply::Kind::Fenced) {
            self->fenced(order.worker);
            return;
        }
        if (reply.kind == jobs::PollReply::Kind::Reported) {
            self->scheduler.handleReport(order.worker, reply.report, sentAt, now, self->executor.wallMs());
        } else {
            self->scheduler.handlePollFailure(order.worker, reply.kind == jobs::PollReply::Kind::Gone, now);
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
    const jobs::AdviceRequest order = questions.front();
    questions.erase(questions.begin());
    ports.advice.request(order, [self = shared_from_this(), order](const std::optional<jobs::AdviceReply> &reply) {
        self->asking = false;
        if (!self->active()) {
            return;
        }
        const core::TimePoint now = self->executor.now();
        if (reply.has_value()) {
            self->scheduler.handleAdvice(order, reply->tickets, reply->validFor, now);
        } else {
            self->log.add("advice_failed", telemetry::Event{"advice_failed"}.with("job", order.step.job));
            self->scheduler.handleAdvice(order, std::nullopt, {}, now);
        }
        self->schedulePump();
    });
}

std::set<std::string> Tenure::State::workersOn(const jobs::InstancePort::Instances &instances)
{
    std::set<std::string> workers;
    for (const std::pair<const std::string, jobs::InstanceEntry> &item : instances) {
        // A move or maintenance ends the worker at once.
        const bool ended = item.second.state == jobs::InstanceState::Moving || item.second.state == jobs::InstanceState::Maintained;
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
            self->scheduler.handleRunningWorkers(workersOn(*instances), now, self->executor.now());
            self->balancer.takeInstances(*instances, now);
            self->upkeep.takeInstances(*std::move(instances), now);
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
    for (const jobs::MaintainOrder &order : announced.maintained) {
        orderedInstances[order.instance] = now;
    }
    for (const jobs::MoveOrder &order : announced.moved) {
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
    for (const jobs::MaintainOrder &order : orders.maintained) {
        if (allowed) {
            sendMaintenance(order);
        } else {
            upkeep.takeAnswer(order, jobs::InstanceAnswer::Refused, now);
        }
    }
    for (const jobs::MoveOrder &order : orders.moved) {
        if (allowed) {
            sendMove(order);
        } else {
            balancer.takeAnswer(order, jobs::InstanceAnswer::Refused, scheduler, now);
        }
    }
}

void Tenure::State::sendMaintenance(const jobs::MaintainOrder &order)
{
    ports.instances.maintain(order, token, [self = shared_from_this(), order](jobs::InstanceAnswer answer) {
        telemetry::Event event{"maintenance_ordered"};
        event.with("instance", order.instance).with("wave", order.wave).with("answer", static_cast<std::int64_t>(answer));
        self->log.add("maintenance_ordered", event);
        if (!self->active()) {
            return;
        }
        self->upkeep.takeAnswer(order, answer, self->executor.now());
        if (answer == jobs::InstanceAnswer::Fenced) {
            self->ownership.lose();
            return;
        }
        self->schedulePump();
    });
}

void Tenure::State::sendMove(const jobs::MoveOrder &order)
{
    ports.instances.move(order, token, [self = shared_from_this(), order](jobs::InstanceAnswer answer) {
        telemetry::Event event{"move_ordered"};
        event.with("instance", order.instance).with("from", order.from).with("to", order.pool).with("answer", static_cast<std::int64_t>(answer));
        self->log.add("move_ordered", event);
        if (!self->active()) {
            return;
        }
        self->balancer.takeAnswer(order, answer, self->scheduler, self->executor.now());
        if (answer == jobs::InstanceAnswer::Fenced) {
            self->ownership.lose();
            return;
        }
        self->schedulePump();
    });
}

} // namespace oleanderwick::jobnode

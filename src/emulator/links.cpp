#include "links.hpp"

#include <algorithm>
#include <memory>

namespace oleanderwick::emulator
{

namespace internal
{

constexpr core::Duration oneWay = std::chrono::microseconds{500};
constexpr core::Duration storeTimeout = std::chrono::milliseconds{1500};
constexpr core::Duration orderTimeout = std::chrono::milliseconds{800};
/** Orders that are carried out late are so by 2 s to this. */
constexpr double latestOrderS = 12.0;
constexpr double earliestOrderS = 2.0;

jobs::StoreReply makeAnswer(jobs::StoreOutcome outcome)
{
    jobs::StoreReply answer;
    answer.outcome = outcome;
    return answer;
}

core::Duration fromMs(double ms)
{
    return std::chrono::microseconds{static_cast<std::int64_t>(ms * 1000.0)};
}

} // namespace internal

StoreLink::StoreLink(World &world, core::Executor &executor, std::size_t node)
    : m_world{world}
    , m_executor{executor}
    , m_node{node}
{
}

void StoreLink::call(bool writes, std::function<jobs::StoreReply()> work, OnReply onAnswer)
{
    using Mode = World::StoreState::Mode;
    ++m_world.m_report.storeCalls;
    const World::StoreState &state = m_world.m_storeState;
    const Mode mode = m_world.m_turnedAway.contains(m_node) ? Mode::Refuses : state.mode;
    if (mode == Mode::Silent) {
        m_executor.after(internal::storeTimeout, [answer = std::move(onAnswer)] {
            answer(internal::makeAnswer(jobs::StoreOutcome::Unknown));
        });
        return;
    }
    if (mode == Mode::Refuses) {
        m_executor.after(internal::oneWay * 2, [answer = std::move(onAnswer)] {
            answer(internal::makeAnswer(jobs::StoreOutcome::Refused));
        });
        return;
    }
    const core::Duration service = internal::fromMs(m_world.m_deployment.storeMs * state.slowness);
    if (writes && m_world.chance(state.lostShare)) {
        // Done at once or seconds later, and never answered.
        constexpr double latestMs = 6000.0;
        const core::Duration delay = m_world.chance(0.5) ? service : internal::fromMs(std::uniform_real_distribution<double>{0.0, latestMs}(m_world.m_random));
        m_world.m_timeline.after(internal::oneWay + delay, [work = std::move(work)] {
            (void)work();
        });
        m_executor.after(internal::storeTimeout, [answer = std::move(onAnswer)] {
            answer(internal::makeAnswer(jobs::StoreOutcome::Unknown));
        });
        return;
    }
    m_world.m_timeline.after(internal::oneWay + service, [this, work = std::move(work), answer = std::move(onAnswer)] {
        const jobs::StoreReply result = work();
        m_executor.after(internal::oneWay, [answer, result] {
            answer(result);
        });
    });
}

void StoreLink::read(const std::string &key, OnReply onAnswer)
{
    call(
        false,
        [&store = m_world.m_store, key] {
            return store.read(key);
        },
        std::move(onAnswer));
}

void StoreLink::list(const std::string &prefix, const std::string &after, OnReply onAnswer)
{
    call(
        false,
        [&store = m_world.m_store, prefix, after] {
            return store.list(prefix, after);
        },
        std::move(onAnswer));
}

void StoreLink::commit(const jobs::StoreChange &change, OnReply onAnswer)
{
    call(
        true,
        [&store = m_world.m_store, change] {
            return store.commit(change);
        },
        std::move(onAnswer));
}

void StoreLink::grant(core::Duration ttl, OnReply onAnswer)
{
    call(
        true,
        [this, ttl] {
            return m_world.m_store.grant(ttl, m_world.now());
        },
        std::move(onAnswer));
}

void StoreLink::renew(std::int64_t lease, OnReply onAnswer)
{
    call(
        false,
        [this, lease] {
            return m_world.m_store.renew(lease, m_world.now());
        },
        std::move(onAnswer));
}

void StoreLink::watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onAnswer)
{
    using Mode = World::StoreState::Mode;
    if (m_world.m_storeState.mode != Mode::Serves || m_world.m_turnedAway.contains(m_node)) {
        call(
            false,
            [] {
                return internal::makeAnswer(jobs::StoreOutcome::Refused);
            },
            std::move(onAnswer));
        return;
    }
    ++m_world.m_report.storeCalls;
    const core::Duration service = internal::fromMs(m_world.m_deployment.storeMs * m_world.m_storeState.slowness);
    m_world.m_timeline.after(internal::oneWay + service, [this, prefix, after, wait, answer = std::move(onAnswer)] {
        const std::uint64_t watch = m_world.m_store.watch(prefix, after, [this, answer](const jobs::StoreReply &changes) {
            m_executor.after(internal::oneWay, [answer, changes] {
                answer(changes);
            });
        });
        if (watch != 0) {
            m_world.m_timeline.after(wait, [&store = m_world.m_store, watch] {
                store.endWatch(watch);
            });
        }
    });
}

WorkerLink::WorkerLink(World &world, core::Executor &executor)
    : m_world{world}
    , m_executor{executor}
{
}

WorkerModel *WorkerLink::reach(const std::string &worker)
{
    const auto found = m_world.m_workers.find(worker);
    const bool reachable = found != m_world.m_workers.end() && found->second->isUp() && !m_world.m_cutWorkers.contains(worker);
    return reachable ? found->second.get() : nullptr;
}

void WorkerLink::order(const std::string &worker, std::function<void(WorkerModel &)> carryOut, std::function<void()> onSilence)
{
    if (m_world.chance(m_world.m_lateOrders)) {
        const double delay = std::uniform_real_distribution<double>{internal::earliestOrderS, internal::latestOrderS}(m_world.m_random);
        const WorkerModel *present = reach(worker);
        const std::int64_t life = present == nullptr ? 0 : present->entry.incarnation;
        m_world.m_timeline.after(internal::fromMs(delay * 1000.0), [this, worker, carryOut, life] {
            WorkerModel *model = reach(worker);
            // The life that received the order has to live to carry it out.
            if (model != nullptr && model->entry.incarnation == life) {
                carryOut(*model);
                m_world.poke(worker);
            }
        });
        m_executor.after(internal::orderTimeout, std::move(onSilence));
        return;
    }
    m_world.m_timeline.after(internal::oneWay, [this, worker, work = std::move(carryOut), silence = std::move(onSilence)] {
        WorkerModel *model = reach(worker);
        if (model == nullptr) {
            m_executor.after(internal::orderTimeout, silence);
            return;
        }
        work(*model);
        m_world.poke(worker);
    });
}

void WorkerLink::start(const jobs::StartCommand &order, std::int64_t token, std::function<void(jobs::StartReply)> onReply)
{
    const std::function<void(WorkerModel &)> carryOut = [this, order, token, onReply](WorkerModel &worker) {
        m_world.m_startSeen = false;
        const jobs::StartReply reply = worker.start(order, token, m_world.now());
        if (m_world.m_startSeen) {
            m_world.m_judge.started(worker, m_world.m_startedRun, order, m_world.now());
        }
        m_executor.after(internal::oneWay, [onReply, reply] {
            onReply(reply);
        });
    };
    this->order(order.worker, carryOut, [onReply] {
        onReply(jobs::StartReply{jobs::StartOutcome::Unknown, 0});
    });
}

void WorkerLink::stop(const jobs::StopCommand &order, std::int64_t token, std::function<void(bool)> onReply)
{
    const std::function<void(WorkerModel &)> carryOut = [this, order, token, onReply](WorkerModel &worker) {
        const bool taken = worker.stop(order, token, m_world.now());
        m_executor.after(internal::oneWay, [onReply, taken] {
            onReply(taken);
        });
    };
    this->order(order.worker, carryOut, [onReply] {
        onReply(false);
    });
}

void WorkerLink::pace(const jobs::PaceCommand &order, std::int64_t token)
{
    this->order(
        order.worker,
        [order, token](WorkerModel &worker) {
            worker.pace(order, token);
        },
        [] {
            // The next one makes up for it.
        });
}

void WorkerLink::poll(const jobs::PollCommand &order, std::int64_t token, std::function<void(jobs::PollReply)> onReply)
{
    ++m_world.m_report.looks;
    const core::Duration timeout = std::chrono::milliseconds{order.waitMs} + internal::orderTimeout;
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const std::function<void(jobs::PollReply)> answer = [answered, onReply](const jobs::PollReply &reply) {
        if (!*answered) {
            *answered = true;
            onReply(reply);
        }
    };
    m_executor.after(timeout, [answer] {
        answer(jobs::PollReply{});
    });
    m_world.m_timeline.after(internal::oneWay, [this, order, token, answer] {
        WorkerModel *model = reach(order.worker);
        if (model == nullptr) {
            return;
        }
        const jobs::PollReply first = model->poll(order, token, m_world.now());
        m_world.poke(order.worker);
        if (first.kind != jobs::PollReply::Kind::Reported || order.waitMs == 0 || !first.report.ended.empty()) {
            m_executor.after(internal::oneWay, [answer, first] {
                answer(first);
            });
            return;
        }
        const std::shared_ptr<bool> waits = std::make_shared<bool>(true);
        const std::int64_t life = model->entry.incarnation;
        const std::function<void()> finish = [this, order, token, answer, waits, life] {
            WorkerModel *present = reach(order.worker);
            // The connection ended with the life that held it.
            if (!*waits || present == nullptr || present->entry.incarnation != life) {
                return;
            }
            *waits = false;
            jobs::PollCommand again = order;
            again.deadlineMs = 0;
            const jobs::PollReply reply = present->poll(again, token, m_world.now());
            m_executor.after(internal::oneWay, [answer, reply] {
                answer(reply);
            });
        };
        m_world.m_waitingHolds[order.worker].push_back(finish);
        m_world.m_timeline.after(std::chrono::milliseconds{order.waitMs}, finish);
    });
}

InstanceLink::InstanceLink(World &world, core::Executor &executor)
    : m_world{world}
    , m_executor{executor}
{
}

void InstanceLink::list(std::function<void(std::optional<Instances>)> onReply)
{
    m_world.m_timeline.after(internal::oneWay, [this, reply = std::move(onReply)] {
        Instances listed;
        for (const std::pair<const std::string, EmulatedInstance> &item : m_world.m_instances) {
            listed[item.first] = jobs::InstanceEntry{item.first, item.second.pool, item.second.worker, item.second.state, {}};
        }
        m_executor.after(internal::oneWay, [reply, listed] {
            reply(listed);
        });
    });
}

void InstanceLink::maintain(const jobs::MaintainCommand &order, std::int64_t token, std::function<void(jobs::InstanceOutcome)> onReply)
{
    m_world.m_timeline.after(internal::oneWay, [this, order, token, reply = std::move(onReply)] {
        EmulatedInstance &instance = m_world.m_instances.at(order.instance);
        jobs::InstanceOutcome outcome = jobs::InstanceOutcome::Done;
        if (instance.state != jobs::InstanceState::Up) {
            outcome = instance.wave == order.wave ? jobs::InstanceOutcome::Done : jobs::InstanceOutcome::Busy;
        } else {
            m_world.m_judge.ordered(order.instance, token, m_world.now());
            m_world.maintainInstance(order.instance, order.wave);
        }
        m_executor.after(internal::oneWay, [reply, outcome] {
            reply(outcome);
        });
    });
}

void InstanceLink::move(const jobs::MoveCommand &order, std::int64_t token, std::function<void(jobs::InstanceOutcome)> onReply)
{
    m_world.m_timeline.after(internal::oneWay, [this, order, token, reply = std::move(onReply)] {
        EmulatedInstance &instance = m_world.m_instances.at(order.instance);
        jobs::InstanceOutcome outcome = jobs::InstanceOutcome::Done;
        if (instance.state != jobs::InstanceState::Up) {
            outcome = instance.pool == order.pool ? jobs::InstanceOutcome::Done : jobs::InstanceOutcome::Busy;
        } else if (instance.pool != order.pool) {
            ++m_world.m_report.moves;
            m_world.m_judge.ordered(order.instance, token, m_world.now());
            m_world.moveInstance(order.instance, order.pool);
        }
        m_executor.after(internal::oneWay, [reply, outcome] {
            reply(outcome);
        });
    });
}

} // namespace oleanderwick::emulator

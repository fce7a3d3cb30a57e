#include "links.hpp"

#include <algorithm>
#include <memory>

namespace oleanderwick::emulator
{

namespace internal
{

constexpr core::Duration oneWayLatency = std::chrono::microseconds{500};
constexpr core::Duration storeTimeout = std::chrono::milliseconds{1500};
constexpr core::Duration noticeTimeout = std::chrono::milliseconds{500};
constexpr core::Duration commandTimeout = std::chrono::milliseconds{800};
/** Late commands take effect after a random delay of `minCommandDelayS` to this. */
constexpr double maxCommandDelayS = 12.0;
constexpr double minCommandDelayS = 2.0;

jobs::StoreReply makeReply(jobs::StoreOutcome outcome)
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

StoreLink::StoreLink(Simulation &simulation, core::Executor &executor, const NodeContact &contact, std::size_t via)
    : m_simulation{simulation}
    , m_executor{executor}
    , m_contact{contact}
    , m_node{via}
{
}

void StoreLink::call(bool writes, std::function<jobs::StoreReply()> work, OnReply onAnswer)
{
    using Mode = Simulation::StoreState::Mode;
    ++m_simulation.m_report.storeCalls;
    const Simulation::StoreState &state = m_simulation.m_storeState;
    const Mode mode = m_simulation.m_refusedNodes.contains(m_node) ? Mode::Refuses : state.mode;
    if (mode == Mode::Unresponsive || m_contact.isCutOff(m_simulation.now())) {
        m_executor.after(internal::storeTimeout, [answer = std::move(onAnswer)] {
            answer(internal::makeReply(jobs::StoreOutcome::Unknown));
        });
        return;
    }
    if (mode == Mode::Refuses) {
        m_executor.after(internal::oneWayLatency * 2, [answer = std::move(onAnswer)] {
            answer(internal::makeReply(jobs::StoreOutcome::Refused));
        });
        return;
    }
    const core::Duration service = internal::fromMs(m_simulation.m_deployment.storeLatencyMs * state.latencyFactor);
    if (writes && m_simulation.chance(state.lostReplyShare)) {
        // The change takes effect after the service time or, in half of the cases, after a random time of up to 6 s; the reply is lost.
        constexpr double maxDelayMs = 6000.0;
        const core::Duration delay =
            m_simulation.chance(0.5) ? service : internal::fromMs(std::uniform_real_distribution<double>{0.0, maxDelayMs}(m_simulation.m_random));
        m_simulation.m_timeline.after(internal::oneWayLatency + delay, [work = std::move(work)] {
            (void)work();
        });
        m_executor.after(internal::storeTimeout, [answer = std::move(onAnswer)] {
            answer(internal::makeReply(jobs::StoreOutcome::Unknown));
        });
        return;
    }
    m_simulation.m_timeline.after(internal::oneWayLatency + service, [this, work = std::move(work), answer = std::move(onAnswer)] {
        const jobs::StoreReply result = work();
        if (m_contact.isCutOff(m_simulation.now())) {
            m_executor.after(internal::storeTimeout, [answer] {
                answer(internal::makeReply(jobs::StoreOutcome::Unknown));
            });
            return;
        }
        m_executor.after(internal::oneWayLatency, [answer, result] {
            answer(result);
        });
    });
}

void StoreLink::read(const std::string &key, OnReply onAnswer)
{
    call(
        false,
        [&store = m_simulation.m_store, key] {
            return store.read(key);
        },
        std::move(onAnswer));
}

void StoreLink::list(const std::string &prefix, const std::string &after, OnReply onAnswer)
{
    call(
        false,
        [&store = m_simulation.m_store, prefix, after] {
            return store.list(prefix, after);
        },
        std::move(onAnswer));
}

void StoreLink::commit(const jobs::StoreChange &change, OnReply onAnswer)
{
    call(
        true,
        [&simulation = m_simulation, change] {
            jobs::StoreReply reply = simulation.m_store.commit(change);
            simulation.noteWaveStatuses(change, reply);
            return reply;
        },
        std::move(onAnswer));
}

void StoreLink::grant(core::Duration ttl, OnReply onAnswer)
{
    call(
        true,
        [this, ttl] {
            return m_simulation.m_store.grant(ttl, m_simulation.now());
        },
        std::move(onAnswer));
}

void StoreLink::renew(std::int64_t lease, OnReply onAnswer)
{
    call(
        false,
        [this, lease] {
            return m_simulation.m_store.renew(lease, m_simulation.now());
        },
        std::move(onAnswer));
}

void StoreLink::watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onAnswer)
{
    using Mode = Simulation::StoreState::Mode;
    if (m_simulation.m_storeState.mode != Mode::Serves || m_simulation.m_refusedNodes.contains(m_node) || m_contact.isCutOff(m_simulation.now())) {
        call(
            false,
            [] {
                return internal::makeReply(jobs::StoreOutcome::Refused);
            },
            std::move(onAnswer));
        return;
    }
    ++m_simulation.m_report.storeCalls;
    const core::Duration service = internal::fromMs(m_simulation.m_deployment.storeLatencyMs * m_simulation.m_storeState.latencyFactor);
    m_simulation.m_timeline.after(internal::oneWayLatency + service, [this, prefix, after, wait, answer = std::move(onAnswer)] {
        const std::uint64_t watch = m_simulation.m_store.watch(prefix, after, [this, answer](const jobs::StoreReply &changes) {
            m_executor.after(internal::oneWayLatency, [answer, changes] {
                answer(changes);
            });
        });
        if (watch != 0) {
            m_simulation.m_timeline.after(wait, [&store = m_simulation.m_store, watch] {
                store.cancelWatch(watch);
            });
        }
    });
}

WorkerLink::WorkerLink(Simulation &simulation, core::Executor &executor, const NodeContact &contact)
    : m_simulation{simulation}
    , m_executor{executor}
    , m_contact{contact}
{
}

WorkerModel *WorkerLink::findReachable(const std::string &worker)
{
    const auto found = m_simulation.m_workers.find(worker);
    const bool reachable = found != m_simulation.m_workers.end() && found->second->isUp() && !m_simulation.m_unreachableWorkers.contains(worker)
        && !m_contact.isCutOff(m_simulation.now());
    return reachable ? found->second.get() : nullptr;
}

void WorkerLink::sendCommand(const std::string &worker, std::function<void(WorkerModel &)> execute, std::function<void()> onTimeout)
{
    if (m_simulation.chance(m_simulation.m_lateCommandShare)) {
        const double delay = std::uniform_real_distribution<double>{internal::minCommandDelayS, internal::maxCommandDelayS}(m_simulation.m_random);
        const WorkerModel *present = findReachable(worker);
        const std::int64_t incarnation = present == nullptr ? 0 : present->entry.incarnation;
        m_simulation.m_timeline.after(internal::fromMs(delay * 1000.0), [this, worker, execute, incarnation] {
            WorkerModel *model = findReachable(worker);
            // Only the incarnation that received the command executes it.
            if (model != nullptr && model->entry.incarnation == incarnation) {
                execute(*model);
                m_simulation.scheduleWorkerEvent(worker);
            }
        });
        m_executor.after(internal::commandTimeout, std::move(onTimeout));
        return;
    }
    m_simulation.m_timeline.after(internal::oneWayLatency, [this, worker, work = std::move(execute), timeoutHandler = std::move(onTimeout)] {
        WorkerModel *model = findReachable(worker);
        if (model == nullptr) {
            m_executor.after(internal::commandTimeout, timeoutHandler);
            return;
        }
        work(*model);
        m_simulation.scheduleWorkerEvent(worker);
    });
}

void WorkerLink::start(const jobs::StartCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::StartReply)> onReply)
{
    const std::function<void(WorkerModel &)> execute = [this, command, permit, onReply](WorkerModel &worker) {
        m_simulation.m_runStarted = false;
        const jobs::StartReply reply = worker.start(command, permit.token, m_simulation.now());
        if (m_simulation.m_runStarted) {
            m_simulation.m_checker.started(worker, m_simulation.m_startedRun, command, m_simulation.now());
        }
        m_executor.after(internal::oneWayLatency, [onReply, reply] {
            onReply(reply);
        });
    };
    this->sendCommand(command.worker, execute, [onReply] {
        onReply(jobs::StartReply{jobs::StartOutcome::Unknown, 0});
    });
}

void WorkerLink::stop(const jobs::StopCommand &command, const jobs::CommandPermit &permit, std::function<void(bool)> onReply)
{
    const std::function<void(WorkerModel &)> execute = [this, command, permit, onReply](WorkerModel &worker) {
        const bool taken = worker.stop(command, permit.token, m_simulation.now());
        m_executor.after(internal::oneWayLatency, [onReply, taken] {
            onReply(taken);
        });
    };
    this->sendCommand(command.worker, execute, [onReply] {
        onReply(false);
    });
}

void WorkerLink::pace(const jobs::PaceCommand &command, const jobs::CommandPermit &permit)
{
    this->sendCommand(
        command.worker,
        [command, permit](WorkerModel &worker) {
            worker.pace(command, permit.token);
        },
        [] {
            // A lost command is made up for by the next one.
        });
}

void WorkerLink::poll(const jobs::PollCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::PollReply)> onReply)
{
    ++m_simulation.m_report.polls;
    const core::Duration timeout = std::chrono::milliseconds{command.waitMs} + internal::commandTimeout;
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
    m_simulation.m_timeline.after(internal::oneWayLatency, [this, command, permit, answer] {
        WorkerModel *model = findReachable(command.worker);
        if (model == nullptr) {
            return;
        }
        m_simulation.noteCall(command.worker);
        const jobs::PollReply first = model->poll(command, permit.token, m_simulation.now());
        m_simulation.scheduleWorkerEvent(command.worker);
        if (first.kind != jobs::PollReply::Kind::Reported || command.waitMs == 0 || !first.report.ended.empty()) {
            m_executor.after(internal::oneWayLatency, [answer, first] {
                answer(first);
            });
            return;
        }
        const std::shared_ptr<bool> isPending = std::make_shared<bool>(true);
        const std::int64_t incarnation = model->entry.incarnation;
        const std::function<void()> finish = [this, command, permit, answer, isPending, incarnation] {
            WorkerModel *present = findReachable(command.worker);
            // The connection of the poll closed when the incarnation that it was opened to ended.
            if (!*isPending || present == nullptr || present->entry.incarnation != incarnation) {
                return;
            }
            *isPending = false;
            jobs::PollCommand again = command;
            again.deadlineMs = 0;
            const jobs::PollReply reply = present->poll(again, permit.token, m_simulation.now());
            m_executor.after(internal::oneWayLatency, [answer, reply] {
                answer(reply);
            });
        };
        m_simulation.m_waitingPolls[command.worker].push_back(finish);
        m_simulation.m_timeline.after(std::chrono::milliseconds{command.waitMs}, finish);
    });
}

NoticeLink::NoticeLink(Simulation &simulation, core::Executor &executor, const NodeContact &contact)
    : m_simulation{simulation}
    , m_executor{executor}
    , m_contact{contact}
{
}

void NoticeLink::send(const std::string &address, const std::vector<jobnode::OwnerNotice> &notices, std::function<void(jobnode::NoticeOutcome)> onReply)
{
    ++m_simulation.m_report.noticeMessages;
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const std::function<void(jobnode::NoticeOutcome)> answer = [answered, reply = std::move(onReply)](jobnode::NoticeOutcome outcome) {
        if (!*answered) {
            *answered = true;
            reply(outcome);
        }
    };
    m_executor.after(internal::noticeTimeout, [answer] {
        answer(jobnode::NoticeOutcome::Undelivered);
    });
    if (m_contact.isCutOff(m_simulation.now()) || m_simulation.chance(m_simulation.m_deployment.lostNoticeShare)) {
        return;
    }
    m_simulation.m_timeline.after(internal::oneWayLatency, [this, address, text = jobnode::toText(notices), answer] {
        m_simulation.deliverNotices(address, text, [this, answer](jobnode::NoticeOutcome outcome) {
            m_executor.after(internal::oneWayLatency, [answer, outcome] {
                answer(outcome);
            });
        });
    });
}

} // namespace oleanderwick::emulator

#pragma once

#include <string>

#include "instance_link.hpp"
#include "oleanderwick/jobnode/owner_notifier.hpp"
#include "oleanderwick/jobnode/translator.hpp"
#include "oleanderwick/jobs/ports.hpp"
#include "world.hpp"

namespace oleanderwick::emulator
{

/** @brief Connection of one node to the emulated store; applies the current store fault to each call. */
class StoreLink final : public jobs::CoordinationStore
{
public:
    /**
     * @brief Connects a node, directly or through another one.
     * @param simulation Simulation of the store.
     * @param executor Process of the node.
     * @param contact Contact of the node.
     * @param via Number of the node whose connection is used; its own for a direct one.
     */
    StoreLink(Simulation &simulation, core::Executor &executor, const NodeContact &contact, std::size_t via);

    void read(const std::string &key, OnReply onAnswer) override;
    void list(const std::string &prefix, const std::string &after, OnReply onAnswer) override;
    void watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onAnswer) override;
    void commit(const jobs::StoreChange &change, OnReply onAnswer) override;
    void grant(core::Duration ttl, OnReply onAnswer) override;
    void renew(std::int64_t lease, OnReply onAnswer) override;

private:
    void call(bool writes, std::function<jobs::StoreReply()> work, OnReply onAnswer);

    Simulation &m_simulation;
    core::Executor &m_executor;
    const NodeContact &m_contact;
    std::size_t m_node;
};

/** @brief Connection of one node to the emulated workers; applies network latency, unreachable workers and late commands. */
class WorkerLink final : public jobs::WorkerPort
{
public:
    WorkerLink(Simulation &simulation, core::Executor &executor, const NodeContact &contact);

    void start(const jobs::StartCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::StartReply)> onReply) override;
    void stop(const jobs::StopCommand &command, const jobs::CommandPermit &permit, std::function<void(bool)> onReply) override;
    void pace(const jobs::PaceCommand &command, const jobs::CommandPermit &permit) override;
    void poll(const jobs::PollCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::PollReply)> onReply) override;

private:
    [[nodiscard]] WorkerModel *findReachable(const std::string &worker);
    /** Executes a command on a worker; calls `onTimeout` if the worker cannot be reached, and also, before the execution, if the command is late. */
    void sendCommand(const std::string &worker, std::function<void(WorkerModel &)> execute, std::function<void()> onTimeout);

    Simulation &m_simulation;
    core::Executor &m_executor;
    const NodeContact &m_contact;
};

/** @brief Connection of one node to the others for notices to the owner; their addresses are their numbers, as `node-3`. */
class NoticeLink final : public jobnode::OwnerNoticePort
{
public:
    NoticeLink(Simulation &simulation, core::Executor &executor, const NodeContact &contact);

    void send(const std::string &address, const std::vector<jobnode::OwnerNotice> &notices, std::function<void(jobnode::NoticeOutcome)> onReply) override;

private:
    Simulation &m_simulation;
    core::Executor &m_executor;
    const NodeContact &m_contact;
};

} // namespace oleanderwick::emulator

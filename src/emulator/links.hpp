#pragma once

#include <string>

#include "oleanderwick/jobnode/translator.hpp"
#include "oleanderwick/jobs/ports.hpp"
#include "world.hpp"

namespace oleanderwick::emulator
{

/** @brief The emulated store as one node reaches it. */
class StoreLink final : public jobs::CoordinationStore
{
public:
    StoreLink(World &world, core::Executor &executor, std::size_t node);

    void read(const std::string &key, OnReply onAnswer) override;
    void list(const std::string &prefix, const std::string &after, OnReply onAnswer) override;
    void watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onAnswer) override;
    void commit(const jobs::StoreChange &change, OnReply onAnswer) override;
    void grant(core::Duration ttl, OnReply onAnswer) override;
    void renew(std::int64_t lease, OnReply onAnswer) override;

private:
    void call(bool writes, std::function<jobs::StoreReply()> work, OnReply onAnswer);

    World &m_world;
    core::Executor &m_executor;
    std::size_t m_node;
};

/** @brief The emulated workers as one node reaches them. */
class WorkerLink final : public jobs::WorkerPort
{
public:
    WorkerLink(World &world, core::Executor &executor);

    void start(const jobs::StartCommand &order, std::int64_t token, std::function<void(jobs::StartReply)> onReply) override;
    void stop(const jobs::StopCommand &order, std::int64_t token, std::function<void(bool)> onReply) override;
    void pace(const jobs::PaceCommand &order, std::int64_t token) override;
    void poll(const jobs::PollCommand &order, std::int64_t token, std::function<void(jobs::PollReply)> onReply) override;

private:
    [[nodiscard]] WorkerModel *reach(const std::string &worker);
    /** Carries an order out; `onSilence` is called instead of an answer. */
    void order(const std::string &worker, std::function<void(WorkerModel &)> carryOut, std::function<void()> onSilence);

    World &m_world;
    core::Executor &m_executor;
};

/** @brief The emulated instances as one node reaches them. */
class InstanceLink final : public jobs::InstancePort
{
public:
    InstanceLink(World &world, core::Executor &executor);

    void list(std::function<void(std::optional<Instances>)> onReply) override;
    void maintain(const jobs::MaintainCommand &order, std::int64_t token, std::function<void(jobs::InstanceOutcome)> onReply) override;
    void move(const jobs::MoveCommand &order, std::int64_t token, std::function<void(jobs::InstanceOutcome)> onReply) override;

private:
    World &m_world;
    core::Executor &m_executor;
};

} // namespace oleanderwick::emulator

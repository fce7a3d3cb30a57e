#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "job_desk.hpp"
#include "tenure.hpp"

namespace oleanderwick::jobnode
{

/** @brief One node that schedules jobs: takes submissions, competes for ownership, and follows the operators. */
class JobNode
{
public:
    /**
     * @brief Starts the node.
     * @param executor Runs its work.
     * @param ports Everything outside.
     * @param name Name of the node, unique for one run of its process.
     * @param limits Bounds of an owner's work.
     * @param log Takes the log lines.
     */
    JobNode(core::Executor &executor, const Ports &ports, const std::string &name, const TenureLimits &limits, LogSink &log);
    ~JobNode();
    JobNode(const JobNode &) = delete;
    JobNode &operator=(const JobNode &) = delete;

    /** @return Desk for submitters. */
    [[nodiscard]] JobDesk &desk() noexcept;

    /** @return True if submitters may be sent here. */
    [[nodiscard]] bool isReady() const noexcept;

    /** @return True while this node is the owner. */
    [[nodiscard]] bool isOwner() const noexcept;

    /** @return Number of the configuration in force; 0 for none. */
    [[nodiscard]] std::int64_t configVersion() const noexcept;

    /** @brief Gets ready to stop: hands ownership over. */
    void stop();

private:
    void takeOperatorItem(const jobs::StoreItem &item);
    void becomeOwner(std::int64_t token);

    core::Executor &m_executor;
    Ports m_ports;
    TenureLimits m_limits;
    LogSink &m_log;
    JobDesk m_desk;
    OperatorNews m_config;
    std::map<std::int64_t, OperatorNews> m_waves;
    bool m_stopping{false};
    bool m_contact{true};
    std::unique_ptr<Tenure> m_tenure;
    std::unique_ptr<Ownership> m_ownership;
    std::unique_ptr<Watcher> m_operators;
};

} // namespace oleanderwick::jobnode

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "log_sink.hpp"
#include "ownership.hpp"
#include "translator.hpp"
#include "watcher.hpp"

namespace oleanderwick::jobnode
{

/** @brief Bounds of an owner's work. */
struct TenureLimits {
    jobs::SchedulerLimits scheduler;
    jobs::BalancingPolicy balancing;
    core::Duration handicap{}; /**< Time for which nodes with more processor are let become owner first. */
    core::Duration orderPause{std::chrono::seconds{3}}; /**< Before the first order for an instance: the last owner's may be under way. */
    core::Duration keepEnded{std::chrono::seconds{180}}; /**< How long the state of an ended job can be read. */
};

/** @brief Work of the owner while it is the owner: drives the scheduler with what the store and the workers say. */
class Tenure
{
public:
    /**
     * @brief Starts the owner's work.
     * @param executor Runs its work.
     * @param ports Everything outside.
     * @param ownership Says whether orders may be given.
     * @param token Fencing token of this tenure.
     * @param limits Bounds to keep to.
     * @param log Takes the log lines.
     */
    Tenure(core::Executor &executor, const Ports &ports, Ownership &ownership, std::int64_t token, const TenureLimits &limits, LogSink &log);
    ~Tenure();
    Tenure(const Tenure &) = delete;
    Tenure &operator=(const Tenure &) = delete;

    /**
     * @brief Takes in a configuration or a wave.
     * @param news What operators wrote.
     */
    void take(const OperatorNews &news);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oleanderwick::jobnode

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "model.hpp"

namespace oleanderwick::jobs
{

/** @brief Recent crashes of workers by pool, to tell how likely it is that a task was on crashed workers by coincidence. */
class CrashHistory
{
public:
    /** A crash that soon after a start counts as that of the task in the first place, a later one as one of the pool. */
    static constexpr core::Duration promptAge = std::chrono::milliseconds{300};

    /** @brief Which crashes are considered. */
    enum class Scope : std::uint8_t {
        Prompt, /**< Those that came promptly after a start; later ones count towards the rate of crashes of the pool. */
        All, /**< All, provided that no worker of the pool has crashed without the task. */
    };

    /** @brief Where a task may have been on crashed workers by coincidence. */
    struct Circumstances {
        std::string pool;
        std::size_t workers{0}; /**< Number of workers of the pool. */
        core::Duration observed{}; /**< Time for which the pool has been observed. */
    };

    /**
     * @brief Adds a crash.
     * @param pool Pool of the worker.
     * @param ages Ages of the runs on the worker, by task.
     * @param now Current time of the monotonic clock.
     */
    void add(const std::string &pool, std::map<TaskName, core::Duration> ages, core::TimePoint now);

    /**
     * @brief Takes a task for the cause of the crashes that came promptly after its starts; they no longer count for others.
     * @param task Name of the task.
     */
    void explain(const TaskName &task);

    /**
     * @brief Computes how likely it is that workers crash by themselves that soon after a task has begun on them.
     * @param scope Crashes to consider.
     * @param task Name of the task.
     * @param ages Ages of its runs at the crashes.
     * @param circumstances Pool of the workers.
     * @param now Current time of the monotonic clock.
     * @return Natural logarithm of the probability; 0 without crashes.
     */
    [[nodiscard]] double logCoincidence(Scope scope,
                                        const TaskName &task,
                                        const std::vector<core::Duration> &ages,
                                        const Circumstances &circumstances,
                                        core::TimePoint now) const;

private:
    struct Crash {
        std::string pool;
        std::map<TaskName, core::Duration> ages;
        core::TimePoint at;
        bool explained{false};
    };

    std::deque<Crash> m_crashes; /**< In the order of their times. */
};

} // namespace oleanderwick::jobs

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "oleanderwick/core/core.hpp"

namespace oleanderwick::emulator
{

/** @brief Virtual clock with an event queue; work runs in the order of its time, and of its scheduling where times are equal. */
class Timeline
{
public:
    /** @return Current virtual time. */
    [[nodiscard]] core::TimePoint now() const noexcept;

    /**
     * @brief Schedules work for a point in time.
     * @param when Virtual time; a time in the past counts as now.
     * @param work Function to call.
     */
    void at(core::TimePoint when, std::function<void()> work);

    /**
     * @brief Schedules work after a delay.
     * @param delay Virtual time from now; negative counts as zero.
     * @param work Function to call.
     */
    void after(core::Duration delay, std::function<void()> work);

    /**
     * @brief Runs all work that is due up to a time, and advances the clock to it.
     * @param end Virtual time, inclusive.
     */
    void runUntil(core::TimePoint end);

private:
    struct Event {
        core::TimePoint when;
        std::uint64_t sequence;
        std::function<void()> work;
    };

    [[nodiscard]] static bool isLater(const Event &left, const Event &right) noexcept;

    core::TimePoint m_now{std::chrono::seconds{1000}};
    std::uint64_t m_sequence{0};
    std::vector<Event> m_events; /**< Heap with the next event first. */
};

/** @brief Executor of one emulated process, which can be frozen and killed. */
class ProcessExecutor final : public core::Executor
{
public:
    /**
     * @brief Creates a running process.
     * @param timeline Timeline that runs its work; has to outlive it.
     * @param wallStartMs Unix time in milliseconds at virtual time zero.
     */
    ProcessExecutor(Timeline &timeline, std::int64_t wallStartMs);
    ~ProcessExecutor() override;
    ProcessExecutor(const ProcessExecutor &) = delete;
    ProcessExecutor &operator=(const ProcessExecutor &) = delete;

    void post(std::function<void()> work) override;
    void after(core::Duration delay, std::function<void()> work) override;
    void every(core::Duration period, std::function<void()> work) override;
    [[nodiscard]] core::TimePoint now() const noexcept override;
    [[nodiscard]] std::int64_t wallMs() const noexcept override;

    /** @brief Ends the process; its pending work is dropped. */
    void kill() noexcept;

    /**
     * @brief Suspends the process; work that becomes due meanwhile runs at the end of that time.
     * @param end Virtual time at which it resumes; an earlier freeze that lasts longer stays in force.
     */
    void freezeUntil(core::TimePoint end) noexcept;

    /** @return True while the process is frozen. */
    [[nodiscard]] bool isFrozen() const noexcept;

private:
    struct Process {
        core::TimePoint frozenUntil;
    };

    static void runIn(Timeline &timeline, const std::weak_ptr<Process> &process, const std::function<void()> &work);

    Timeline &m_timeline;
    std::int64_t m_wallStartMs;
    std::shared_ptr<Process> m_process;
};

} // namespace oleanderwick::emulator

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "oleanderwick/core/core.hpp"

namespace oleanderwick::emulator
{

/** @brief Virtual time: work is done in the order of its time, and of its making where times are equal. */
class Timeline
{
public:
    /** @return The present virtual time. */
    [[nodiscard]] core::TimePoint now() const noexcept;

    /**
     * @brief Has work done at a time.
     * @param when When; a time that has passed counts as now.
     * @param work Work to do.
     */
    void at(core::TimePoint when, std::function<void()> work);

    /**
     * @brief Has work done after a delay.
     * @param delay Time until then.
     * @param work Work to do.
     */
    void after(core::Duration delay, std::function<void()> work);

    /**
     * @brief Does all work that is due up to a time.
     * @param end The time.
     */
    void runUntil(core::TimePoint end);

private:
    struct Event {
        core::TimePoint when;
        std::uint64_t order;
        std::function<void()> work;
    };

    [[nodiscard]] static bool isLater(const Event &left, const Event &right) noexcept;

    core::TimePoint m_now{std::chrono::seconds{1000}};
    std::uint64_t m_order{0};
    std::vector<Event> m_events; /**< Heap with the next event first. */
};

/** @brief Executor of one emulated process, which can be frozen and killed. */
class ProcessExecutor final : public core::Executor
{
public:
    /**
     * @brief Starts a process.
     * @param timeline Time that it lives in.
     * @param wallStart Unix time in milliseconds at the start of virtual time.
     */
    ProcessExecutor(Timeline &timeline, std::int64_t wallStart);
    ~ProcessExecutor() override;
    ProcessExecutor(const ProcessExecutor &) = delete;
    ProcessExecutor &operator=(const ProcessExecutor &) = delete;

    void post(std::function<void()> work) override;
    void after(core::Duration delay, std::function<void()> work) override;
    void every(core::Duration period, std::function<void()> work) override;
    [[nodiscard]] core::TimePoint now() const noexcept override;
    [[nodiscard]] std::int64_t wallMs() const noexcept override;

    /** @brief Ends the process: nothing that it was to do is done any more. */
    void kill() noexcept;

    /**
     * @brief Stops the process for a while; what is due meanwhile is done at its end.
     * @param end When it goes on.
     */
    void freezeUntil(core::TimePoint end) noexcept;

    /** @return True while the process is frozen. */
    [[nodiscard]] bool isFrozen() const noexcept;

private:
    struct Life {
        core::TimePoint frozenUntil;
    };

    static void runIn(Timeline &timeline, const std::weak_ptr<Life> &life, const std::function<void()> &work);

    Timeline &m_timeline;
    std::int64_t m_wallStart;
    std::shared_ptr<Life> m_life;
};

} // namespace oleanderwick::emulator

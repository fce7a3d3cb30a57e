#pragma once

#include <functional>
#include <memory>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::http
{

namespace internal
{
struct LoopState;
} // namespace internal

/** @brief Event loop of the I/O duty; run by one thread, fed by all. */
class Loop final : public core::Executor
{
public:
    Loop();
    ~Loop() override;
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /** @brief Runs until `stop` is called. */
    void run();

    /** @brief Ends `run`; safe from any thread. */
    void stop();

    /** @brief Lets `run` be called again after a stop. */
    void restart();

    /**
     * @brief Has work done on the loop's thread; safe from any thread.
     * @param work Work to do.
     */
    void post(std::function<void()> work) override;

    /**
     * @brief Has work done once, later; on the loop's thread.
     * @param delay Time until then.
     * @param work Work to do.
     */
    void after(core::Duration delay, std::function<void()> work) override;

    /**
     * @brief Has work done again and again until the loop stops.
     * @param period Time between two runs.
     * @param work Work to do.
     */
    void every(core::Duration period, std::function<void()> work) override;

    /** @return The present time of the machine. */
    [[nodiscard]] core::TimePoint now() const noexcept override;

    /** @return Unix time in milliseconds. */
    [[nodiscard]] std::int64_t wallMs() const noexcept override;

    /**
     * @brief Has work done when the process is asked to stop (SIGTERM, SIGINT).
     * @param work Work to do, once for each signal.
     */
    void onStopSignal(std::function<void()> work);

    /** @return The loop's inner state, for this module only. */
    [[nodiscard]] internal::LoopState &state() noexcept;

private:
    std::unique_ptr<internal::LoopState> m_state;
};

} // namespace oleanderwick::http

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

/** @brief Event loop of the I/O duty. One thread runs it; any thread may post work to it. */
class Loop final : public core::Executor
{
public:
    Loop();
    ~Loop() override;
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /** @brief Runs the loop on the calling thread until `stop` is called. */
    void run();

    /** @brief Makes `run` return; thread-safe. */
    void stop();

    /** @brief Allows `run` to be called again after `stop`. */
    void restart();

    /**
     * @brief Runs a function on the loop's thread; thread-safe.
     * @param work Function to run.
     */
    void post(std::function<void()> work) override;

    /**
     * @brief Runs a function on the loop's thread once, after a delay.
     * @param delay Minimum time until the call.
     * @param work Function to run.
     */
    void after(core::Duration delay, std::function<void()> work) override;

    /**
     * @brief Runs a function on the loop's thread periodically until the loop stops.
     * @param period Time from the end of one call to the next one.
     * @param work Function to run.
     */
    void every(core::Duration period, std::function<void()> work) override;

    /** @return Current time of the boot clock, which also runs while the machine is suspended. */
    [[nodiscard]] core::TimePoint now() const noexcept override;

    /** @return Unix time in milliseconds. */
    [[nodiscard]] std::int64_t wallMs() const noexcept override;

    /**
     * @brief Runs a function on the loop's thread for each SIGTERM or SIGINT.
     * @param work Function to run, once for each signal.
     */
    void onStopSignal(std::function<void()> work);

    /** @return Internal state, for use within this module only. */
    [[nodiscard]] internal::LoopState &state() noexcept;

private:
    std::unique_ptr<internal::LoopState> m_state;
};

} // namespace oleanderwick::http

#include "loop.hpp"

#include <chrono>
#include <csignal>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "internal/loop_state.hpp"

namespace oleanderwick::http
{

namespace internal
{

namespace asio = boost::asio;

struct PeriodicTimer : std::enable_shared_from_this<PeriodicTimer> {
    PeriodicTimer(asio::io_context &context, core::Duration interval)
        : timer{context}
        , period{interval}
    {
    }

    void arm()
    {
        timer.expires_after(period);
        timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                for (const std::function<void()> &job : self->work) {
                    job();
                }
                self->arm();
            }
        });
    }

    asio::steady_timer timer;
    core::Duration period;
    std::vector<std::function<void()>> work;
};

constexpr core::Duration deadlineSweepPeriod = std::chrono::milliseconds{10};

struct SignalWaiter : std::enable_shared_from_this<SignalWaiter> {
    SignalWaiter(asio::io_context &context, std::function<void()> job)
        : signals{context, SIGTERM, SIGINT}
        , work{std::move(job)}
    {
    }

    void arm()
    {
        signals.async_wait([self = shared_from_this()](const boost::system::error_code &error, int) {
            if (!error) {
                self->work();
                self->arm();
            }
        });
    }

    asio::signal_set signals;
    std::function<void()> work;
};

} // namespace internal

Loop::Loop()
    : m_state{std::make_unique<internal::LoopState>()}
{
    every(internal::deadlineSweepPeriod, [this] {
        m_state->deadlines.sweep(core::BootClock::now());
    });
}

Loop::~Loop() = default;

void Loop::run()
{
    m_state->context.run();
}

void Loop::stop()
{
    m_state->context.stop();
}

void Loop::restart()
{
    m_state->context.restart();
}

void Loop::post(std::function<void()> work)
{
    boost::asio::post(m_state->context, std::move(work));
}

void Loop::after(core::Duration delay, std::function<void()> work)
{
    const std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(m_state->context, delay);
    timer->async_wait([timer, job = std::move(work)](const boost::system::error_code &error) {
        if (!error) {
            job();
        }
    });
}

void Loop::every(core::Duration period, std::function<void()> work)
{
    // Work with the same period shares one timer, which saves wake-ups.
    for (const std::shared_ptr<internal::PeriodicTimer> &periodicTimer : m_state->periodicTimers) {
        if (periodicTimer->period == period) {
            periodicTimer->work.push_back(std::move(work));
            return;
        }
    }
    const std::shared_ptr<internal::PeriodicTimer> periodicTimer = std::make_shared<internal::PeriodicTimer>(m_state->context, period);
    periodicTimer->work.push_back(std::move(work));
    m_state->periodicTimers.push_back(periodicTimer);
    periodicTimer->arm();
}

core::TimePoint Loop::now() const noexcept
{
    return core::BootClock::now();
}

std::int64_t Loop::wallMs() const noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void Loop::onStopSignal(std::function<void()> work)
{
    std::make_shared<internal::SignalWaiter>(m_state->context, std::move(work))->arm();
}

internal::LoopState &Loop::state() noexcept
{
    return *m_state;
}

} // namespace oleanderwick::http

#include "timeline.hpp"

#include <algorithm>

namespace oleanderwick::emulator
{

core::TimePoint Timeline::now() const noexcept
{
    return m_now;
}

bool Timeline::isLater(const Event &left, const Event &right) noexcept
{
    return left.when != right.when ? left.when > right.when : left.sequence > right.sequence;
}

void Timeline::at(core::TimePoint when, std::function<void()> work)
{
    m_events.push_back(Event{std::max(when, m_now), ++m_sequence, std::move(work)});
    std::push_heap(m_events.begin(), m_events.end(), isLater);
}

void Timeline::after(core::Duration delay, std::function<void()> work)
{
    at(m_now + delay, std::move(work));
}

void Timeline::runUntil(core::TimePoint end)
{
    while (!m_events.empty() && m_events.front().when <= end) {
        std::pop_heap(m_events.begin(), m_events.end(), isLater);
        const Event event = std::move(m_events.back());
        m_events.pop_back();
        m_now = event.when;
        event.work();
    }
    m_now = std::max(m_now, end);
}

ProcessExecutor::ProcessExecutor(Timeline &timeline, std::int64_t wallStartMs)
    : m_timeline{timeline}
    , m_wallStartMs{wallStartMs}
    , m_process{std::make_shared<Process>()}
{
}

ProcessExecutor::~ProcessExecutor() = default;

void ProcessExecutor::runIn(Timeline &timeline, const std::weak_ptr<Process> &process, const std::function<void()> &work)
{
    const std::shared_ptr<Process> running = process.lock();
    if (running == nullptr) {
        return;
    }
    if (timeline.now() < running->frozenUntil) {
        timeline.at(running->frozenUntil, [&timeline, process, work] {
            runIn(timeline, process, work);
        });
        return;
    }
    work();
}

void ProcessExecutor::post(std::function<void()> work)
{
    after(core::Duration::zero(), std::move(work));
}

void ProcessExecutor::after(core::Duration delay, std::function<void()> work)
{
    m_timeline.after(delay, [&timeline = m_timeline, process = std::weak_ptr<Process>{m_process}, job = std::move(work)] {
        runIn(timeline, process, job);
    });
}

void ProcessExecutor::every(core::Duration period, std::function<void()> work)
{
    after(period, [this, period, job = std::move(work)] {
        job();
        every(period, job);
    });
}

core::TimePoint ProcessExecutor::now() const noexcept
{
    return m_timeline.now();
}

std::int64_t ProcessExecutor::wallMs() const noexcept
{
    return m_wallStartMs + core::milliseconds(m_timeline.now().time_since_epoch());
}

void ProcessExecutor::kill() noexcept
{
    m_process.reset();
}

void ProcessExecutor::freezeUntil(core::TimePoint end) noexcept
{
    if (m_process != nullptr) {
        m_process->frozenUntil = std::max(m_process->frozenUntil, end);
    }
}

bool ProcessExecutor::isFrozen() const noexcept
{
    return m_process != nullptr && m_timeline.now() < m_process->frozenUntil;
}

} // namespace oleanderwick::emulator

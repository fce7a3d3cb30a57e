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
    return left.when != right.when ? left.when > right.when : left.order > right.order;
}

void Timeline::at(core::TimePoint when, std::function<void()> work)
{
    m_events.push_back(Event{std::max(when, m_now), ++m_order, std::move(work)});
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

ProcessExecutor::ProcessExecutor(Timeline &timeline, std::int64_t wallStart)
    : m_timeline{timeline}
    , m_wallStart{wallStart}
    , m_life{std::make_shared<Life>()}
{
}

ProcessExecutor::~ProcessExecutor() = default;

void ProcessExecutor::runIn(Timeline &timeline, const std::weak_ptr<Life> &life, const std::function<void()> &work)
{
    const std::shared_ptr<Life> alive = life.lock();
    if (alive == nullptr) {
        return;
    }
    if (timeline.now() < alive->frozenUntil) {
        timeline.at(alive->frozenUntil, [&timeline, life, work] {
            runIn(timeline, life, work);
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
    m_timeline.after(delay, [&timeline = m_timeline, life = std::weak_ptr<Life>{m_life}, job = std::move(work)] {
        runIn(timeline, life, job);
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
    return m_wallStart + core::milliseconds(m_timeline.now().time_since_epoch());
}

void ProcessExecutor::kill() noexcept
{
    m_life.reset();
}

void ProcessExecutor::freezeUntil(core::TimePoint end) noexcept
{
    if (m_life != nullptr) {
        m_life->frozenUntil = std::max(m_life->frozenUntil, end);
    }
}

bool ProcessExecutor::isFrozen() const noexcept
{
    return m_life != nullptr && m_timeline.now() < m_life->frozenUntil;
}

} // namespace oleanderwick::emulator

#include "wave_view.hpp"

#include <algorithm>

namespace oleanderwick::emulator
{

namespace internal
{

/** Time within which a change of an operator is in force on all nodes. */
constexpr core::Duration changeInForceWithin = std::chrono::seconds{14};
/**
 * A command is announced in the store before it is sent, so that one that was decided by the former version may arrive as late as two store calls
 * time out: one through the node's own connection, and one through another node's.
 */
constexpr core::Duration announcedWithin = std::chrono::seconds{3};

} // namespace internal

void WaveView::request(const jobs::MaintenanceWave &wave, core::TimePoint now)
{
    const bool isChange = !m_versions.empty();
    m_latest = wave;
    m_versions.push_back(Version{wave.maxInstancesDown, now});
    m_lastProgressAt = now;
    for (const std::string &instance : wave.instances) {
        m_knowableAt.try_emplace(instance, isChange ? now + internal::changeInForceWithin : now);
    }
}

void WaveView::begin(const std::string &instance, core::TimePoint now)
{
    m_begun.insert(instance);
    m_lastProgressAt = now;
}

void WaveView::report(bool completed, core::TimePoint now)
{
    m_lastProgressAt = m_completed == completed ? m_lastProgressAt : now;
    m_completed = completed;
}

std::int64_t WaveView::limitFor(const KnownVersions &known, core::TimePoint now) const
{
    std::int64_t limit = m_latest.maxInstancesDown;
    for (std::size_t next = m_versions.size() - 1; next > 0; --next) {
        const auto received = known.lower_bound(next);
        const bool superseded =
            now > m_versions[next].storedAt + internal::changeInForceWithin || (received != known.end() && now > received->second + internal::announcedWithin);
        if (superseded) {
            break;
        }
        limit = std::max(limit, m_versions[next - 1].maxInstancesDown);
    }
    return limit;
}

std::vector<std::string> WaveView::missing(core::TimePoint now) const
{
    std::vector<std::string> instances;
    std::copy_if(m_latest.instances.begin(), m_latest.instances.end(), std::back_inserter(instances), [this, now](const std::string &instance) {
        return !m_begun.contains(instance) && now >= m_knowableAt.at(instance);
    });
    return instances;
}

bool WaveView::isCompleted() const noexcept
{
    return m_completed;
}

bool WaveView::contains(const std::string &instance) const
{
    return std::find(m_latest.instances.begin(), m_latest.instances.end(), instance) != m_latest.instances.end();
}

bool WaveView::hasBegun(const std::string &instance) const
{
    return m_begun.contains(instance);
}

std::size_t WaveView::latestVersion() const noexcept
{
    return m_versions.size() - 1;
}

const jobs::MaintenanceWave &WaveView::latest() const noexcept
{
    return m_latest;
}

core::TimePoint WaveView::lastProgressAt() const noexcept
{
    return m_lastProgressAt;
}

} // namespace oleanderwick::emulator

#include "upstream_table.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace oleanderwick::routing
{

namespace internal
{

constexpr std::uint32_t failuresToEject = 3;
constexpr core::Duration ejectionStep = std::chrono::seconds{1};
constexpr core::Duration longestEjection = std::chrono::seconds{30};
constexpr core::Duration leavingTime = std::chrono::seconds{10};
constexpr core::Duration refusedTime = std::chrono::milliseconds{500};
constexpr core::Duration slowStartTime = std::chrono::seconds{5};
/** At most one in this many upstreams is ejected at once. */
constexpr std::size_t ejectedPart = 2;
constexpr double smoothing = 1.0 / 16;

} // namespace internal

UpstreamTable::UpstreamTable(std::string zone)
    : m_zone{std::move(zone)}
{
}

UpstreamTable::size_type UpstreamTable::size() const noexcept
{
    return m_upstreams.size();
}

std::uint32_t UpstreamTable::running(const core::InstanceId &id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? 0 : found->second.running;
}

bool UpstreamTable::usable(const Health &health, core::TimePoint now) const
{
    return health.present && !health.info.leaving && health.ejectedUntil <= now;
}

bool UpstreamTable::usable(const core::InstanceId &id, core::TimePoint now) const
{
    const auto found = m_upstreams.find(id);
    return found != m_upstreams.end() && usable(found->second, now);
}

const UpstreamInfo *UpstreamTable::find(const core::InstanceId &id) const
{
    const auto found = m_upstreams.find(id);
    return found == m_upstreams.end() ? nullptr : &found->second.info;
}

void UpstreamTable::assign(const std::vector<UpstreamInfo> &upstreams, core::TimePoint now)
{
    const bool first = m_upstreams.empty();
    for (std::pair<const core::InstanceId, Health> &entry : m_upstreams) {
        entry.second.present = false;
    }
    for (const UpstreamInfo &info : upstreams) {
        const auto [entry, added] = m_upstreams.try_emplace(info.id);
        Health &health = entry->second;
        if (added || health.info.address != info.address) {
            health.since = first ? now - internal::slowStartTime : now;
            health.failuresInRow = 0;
            health.ejectedUntil = core::TimePoint{};
        }
        if (!added && health.info.leaving && !info.leaving) {
            health.since = now;
        }
        health.info = info;
        health.present = true;
    }
    std::erase_if(m_upstreams, [](const std::pair<const core::InstanceId, Health> &entry) {
        return !entry.second.present && entry.second.running == 0;
    });
}

std::uint32_t UpstreamTable::slowStartSlots(const Health &health, std::uint32_t slots, core::TimePoint now) const
{
    const core::Duration age = now - health.since;
    if (age >= internal::slowStartTime || slots == 0) {
        return slots;
    }
    const double part = std::max(0.0, static_cast<double>(age.count()) / static_cast<double>(internal::slowStartTime.count()));
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(part * slots)));
}

double UpstreamTable::load(const Health &health)
{
    return (health.running + 1.0) * (health.meanRun + 1.0);
}

std::optional<core::InstanceId> UpstreamTable::choose(const SlotsOf &slotsOf, const core::InstanceId &avoid, core::TimePoint now, RandomEngine &random) const
{
    std::vector<const Health *> near;
    std::vector<const Health *> far;
    const Health *last = nullptr;
    for (const std::pair<const core::InstanceId, Health> &entry : m_upstreams) {
        const Health &health = entry.second;
        if (!usable(health, now) || health.running >= slowStartSlots(health, slotsOf(entry.first), now)) {
            continue;
        }
        if (entry.first == avoid) {
            last = &health;
            continue;
        }
        (health.info.zone == m_zone ? near : far).push_back(&health);
    }
    const std::vector<const Health *> &group = near.empty() ? far : near;
    if (group.empty()) {
        return last == nullptr ? std::nullopt : std::optional{last->info.id};
    }
    // The two candidates differ: drawn with replacement, a slow upstream would get a request whenever it is drawn twice.
    std::uniform_int_distribution<std::size_t> pick{0, group.size() - 1};
    std::uniform_int_distribution<std::size_t> step{1, std::max<std::size_t>(1, group.size() - 1)};
    const std::size_t first = pick(random);
    const Health *one = group[first];
    const Health *two = group[(first + step(random)) % group.size()];
    return load(*two) < load(*one) ? two->info.id : one->info.id;
}

void UpstreamTable::start(const core::InstanceId &id)
{
    const auto found = m_upstreams.find(id);
    OLEANDERWICK_ASSERT(found != m_upstreams.end(), "a request starts on an upstream of the table");
    ++found->second.running;
}

void UpstreamTable::observe(const core::InstanceId &id, bool failed, core::Duration run, core::TimePoint now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end()) {
        return;
    }
    Health &health = found->second;
    if (!failed) {
        health.failuresInRow = 0;
        health.refusalsInRow = 0;
        health.ejections = 0;
        health.meanRun += (static_cast<double>(core::milliseconds(run)) - health.meanRun) * internal::smoothing;
    } else if (++health.failuresInRow >= internal::failuresToEject && mayEject(now)) {
        eject(health, now);
    }
}

void UpstreamTable::finish(const core::InstanceId &id)
{
    const auto found = m_upstreams.find(id);
    OLEANDERWICK_ASSERT(found != m_upstreams.end() && found->second.running > 0, "only a running request can finish");
    --found->second.running;
    if (!found->second.present && found->second.running == 0) {
        m_upstreams.erase(found);
    }
}

bool UpstreamTable::mayEject(core::TimePoint now) const
{
    const auto ejected = std::count_if(m_upstreams.begin(), m_upstreams.end(), [now](const std::pair<const core::InstanceId, Health> &entry) {
        return entry.second.ejectedUntil > now;
    });
    return (static_cast<std::size_t>(ejected) + 1) * internal::ejectedPart <= m_upstreams.size();
}

void UpstreamTable::eject(Health &health, core::TimePoint now)
{
    ++health.ejections;
    health.failuresInRow = 0;
    const core::Duration span = internal::ejectionStep * health.ejections;
    health.ejectedUntil = now + std::min(span, internal::longestEjection);
    health.since = health.ejectedUntil;
}

void UpstreamTable::markLeaving(const core::InstanceId &id, core::TimePoint now)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end()) {
        found->second.ejectedUntil = now + internal::leavingTime;
        found->second.since = found->second.ejectedUntil;
    }
}

void UpstreamTable::markRefused(const core::InstanceId &id, core::TimePoint now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end()) {
        return;
    }
    if (++found->second.refusalsInRow > 1) {
        markLeaving(id, now);
        return;
    }
    // A single refusal may be a short lack of slots, as other nodes can use their permits there.
    found->second.ejectedUntil = std::max(found->second.ejectedUntil, now + internal::refusedTime);
}

} // namespace oleanderwick::routing

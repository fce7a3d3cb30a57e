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
constexpr core::Duration maxEjection = std::chrono::seconds{30};
constexpr core::Duration leavingEjection = std::chrono::seconds{10};
constexpr core::Duration refusedEjection = std::chrono::milliseconds{500};
constexpr core::Duration slowStartDuration = std::chrono::seconds{5};
/** An upstream is ejected for failures only if then at most one in this many upstreams is ejected. */
constexpr std::size_t upstreamsPerEjection = 2;
constexpr double runWeight = 1.0 / 16;

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
            health.slowStartFrom = first ? now - internal::slowStartDuration : now;
            health.consecutiveFailures = 0;
            health.ejectedUntil = core::TimePoint{};
        }
        if (!added && health.info.leaving && !info.leaving) {
            health.slowStartFrom = now;
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
    const core::Duration elapsed = now - health.slowStartFrom;
    if (elapsed >= internal::slowStartDuration || slots == 0) {
        return slots;
    }
    const double fraction = std::max(0.0, static_cast<double>(elapsed.count()) / static_cast<double>(internal::slowStartDuration.count()));
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::lround(fraction * slots)));
}

double UpstreamTable::load(const Health &health)
{
    return (health.running + 1.0) * (health.meanRunMs + 1.0);
}

std::optional<core::InstanceId> UpstreamTable::choose(const SlotsOf &slotsOf, const core::InstanceId &avoid, core::TimePoint now, RandomEngine &random) const
{
    std::vector<const Health *> sameZone;
    std::vector<const Health *> otherZones;
    const Health *previous = nullptr;
    for (const std::pair<const core::InstanceId, Health> &entry : m_upstreams) {
        const Health &health = entry.second;
        if (!usable(health, now) || health.running >= slowStartSlots(health, slotsOf(entry.first), now)) {
            continue;
        }
        if (entry.first == avoid) {
            previous = &health;
            continue;
        }
        (health.info.zone == m_zone ? sameZone : otherZones).push_back(&health);
    }
    const std::vector<const Health *> &candidates = sameZone.empty() ? otherZones : sameZone;
    if (candidates.empty()) {
        return previous == nullptr ? std::nullopt : std::optional{previous->info.id};
    }
    // The two candidates differ: drawn with replacement, a slow upstream would get a request whenever it is drawn twice.
    std::uniform_int_distribution<std::size_t> drawFirst{0, candidates.size() - 1};
    std::uniform_int_distribution<std::size_t> drawOffset{1, std::max<std::size_t>(1, candidates.size() - 1)};
    const std::size_t first = drawFirst(random);
    const Health *firstCandidate = candidates[first];
    const Health *secondCandidate = candidates[(first + drawOffset(random)) % candidates.size()];
    return load(*secondCandidate) < load(*firstCandidate) ? secondCandidate->info.id : firstCandidate->info.id;
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
        health.consecutiveFailures = 0;
        health.consecutiveRefusals = 0;
        health.ejections = 0;
        health.meanRunMs += (static_cast<double>(core::milliseconds(run)) - health.meanRunMs) * internal::runWeight;
    } else if (++health.consecutiveFailures >= internal::failuresToEject && canEject(now)) {
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

bool UpstreamTable::canEject(core::TimePoint now) const
{
    const auto ejected = std::count_if(m_upstreams.begin(), m_upstreams.end(), [now](const std::pair<const core::InstanceId, Health> &entry) {
        return entry.second.ejectedUntil > now;
    });
    return (static_cast<std::size_t>(ejected) + 1) * internal::upstreamsPerEjection <= m_upstreams.size();
}

void UpstreamTable::eject(Health &health, core::TimePoint now)
{
    ++health.ejections;
    health.consecutiveFailures = 0;
    const core::Duration duration = internal::ejectionStep * health.ejections;
    health.ejectedUntil = now + std::min(duration, internal::maxEjection);
    health.slowStartFrom = health.ejectedUntil;
}

void UpstreamTable::markLeaving(const core::InstanceId &id, core::TimePoint now)
{
    const auto found = m_upstreams.find(id);
    if (found != m_upstreams.end()) {
        found->second.ejectedUntil = now + internal::leavingEjection;
        found->second.slowStartFrom = found->second.ejectedUntil;
    }
}

void UpstreamTable::markRefused(const core::InstanceId &id, core::TimePoint now)
{
    const auto found = m_upstreams.find(id);
    if (found == m_upstreams.end()) {
        return;
    }
    if (++found->second.consecutiveRefusals > 1) {
        markLeaving(id, now);
        return;
    }
    // A single refusal may only mean that the slots are in use for a moment, as other nodes have permits there too.
    found->second.ejectedUntil = std::max(found->second.ejectedUntil, now + internal::refusedEjection);
}

} // namespace oleanderwick::routing

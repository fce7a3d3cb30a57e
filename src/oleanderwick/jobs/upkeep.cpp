#include "upkeep.hpp"

#include <algorithm>
#include <cmath>

namespace oleanderwick::jobs
{

namespace internal
{

/** Instances drained in addition to those that may be down, so that the next one is already empty when a place becomes free. */
constexpr std::size_t drainAhead = 1;
/** Upper limit of the share of a pool that is out of service at once; the first instance may always be drained. */
constexpr double mostOfPoolClosed = 0.35;
/** Time from cordoning an instance to its return, as observed on the platform: drain, maintenance and start. */
constexpr core::Duration typicalMaintenance = std::chrono::milliseconds{4500};
/** Share of the remaining time that the plan uses; the rest is a margin for failures and changes of the owner. */
constexpr double usedShareOfTime = 0.7;
/** Delay before a command whose result was lost is sent again. */
constexpr core::Duration orderAgainAfter = std::chrono::milliseconds{700};

} // namespace internal

Upkeep::Upkeep(const OrderPause &pause)
    : m_pause{pause}
{
}

void Upkeep::addWave(const MaintenanceWave &wave, const std::optional<WaveProgress> &progress, std::int64_t wallMs)
{
    WaveState &state = m_waves[wave.number];
    if (state.wave == wave) {
        return;
    }
    state.wave = wave;
    if (progress.has_value()) {
        state.progress = *progress;
    }
    for (const std::string &instance : wave.instances) {
        Member &member = state.members[instance];
        if (state.progress.begun.contains(instance)) {
            // The instance may still be down; it counts as down until a list shows it up.
            member.phase = state.progress.completed ? Phase::Finished : Phase::Down;
        }
    }
    if (state.progress.deadlineMs == 0) {
        state.progress.deadlineMs = wallMs + core::milliseconds(wave.duration);
    }
    if (!state.progress.completed) {
        m_unsaved.insert(wave.number);
    }
}

void Upkeep::takeInstances(std::map<std::string, InstanceEntry> instances, core::TimePoint askedAt)
{
    m_instances = std::move(instances);
    m_listedAt = askedAt;
}

void Upkeep::takeAnswer(const MaintainOrder &order, InstanceAnswer answer, core::TimePoint now)
{
    const auto found = m_waves.find(order.wave);
    if (found == m_waves.end()) {
        return;
    }
    WaveState &state = found->second;
    Member &member = state.members[order.instance];
    member.orderOut = false;
    member.since = now;
    if (answer == InstanceAnswer::Done) {
        member.phase = Phase::Down;
        state.progress.begun.insert(order.instance);
        m_unsaved.insert(order.wave);
    } else if (answer == InstanceAnswer::NoSuchInstance || answer == InstanceAnswer::NotInWave) {
        member.phase = Phase::Finished;
        m_reopen.push_back(member.drainedWorker);
    } else if (answer == InstanceAnswer::Busy || answer == InstanceAnswer::Refused) {
        // This command had no effect. An earlier one whose result was lost may have had one; the list of instances then shows it.
        member.phase = Phase::Draining;
    }
}

std::vector<MaintainOrder> Upkeep::takeOrders()
{
    std::vector<MaintainOrder> orders;
    std::swap(orders, m_orders);
    return orders;
}

std::map<std::int64_t, WaveProgress> Upkeep::takeSaves()
{
    std::map<std::int64_t, WaveProgress> saves;
    for (const std::int64_t number : m_unsaved) {
        saves[number] = m_waves[number].progress;
    }
    m_unsaved.clear();
    return saves;
}

void Upkeep::saveAgain(std::int64_t number)
{
    if (m_waves.contains(number)) {
        m_unsaved.insert(number);
    }
}

bool Upkeep::isBusy() const noexcept
{
    return std::any_of(m_waves.begin(), m_waves.end(), [](const std::pair<const std::int64_t, WaveState> &item) {
        return !item.second.progress.completed;
    });
}

const InstanceEntry *Upkeep::findInstance(const std::string &id) const
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

std::size_t Upkeep::countPhase(const WaveState &state, Phase phase) const
{
    return static_cast<std::size_t>(std::count_if(state.members.begin(), state.members.end(), [phase](const std::pair<const std::string, Member> &item) {
        return item.second.phase == phase;
    }));
}

void Upkeep::advance(Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs)
{
    for (const std::string &worker : m_reopen) {
        scheduler.closeWorker(worker, false);
    }
    m_reopen.clear();
    if (m_instances.empty()) {
        return;
    }
    for (std::pair<const std::int64_t, WaveState> &item : m_waves) {
        if (!item.second.progress.completed) {
            advanceWave(item.second, scheduler, now, wallMs);
        }
    }
}

void Upkeep::advanceWave(WaveState &state, Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs)
{
    for (std::pair<const std::string, Member> &member : state.members) {
        advanceMember(state, member.first, member.second, scheduler, now);
    }
    startDrains(state, scheduler, now, wallMs);
    finishIfComplete(state);
}

void Upkeep::advanceMember(WaveState &state, const std::string &instance, Member &member, Scheduler &scheduler, core::TimePoint now)
{
    const InstanceEntry *entry = findInstance(instance);
    if (member.phase == Phase::Finished || member.orderOut) {
        return;
    }
    if (member.phase == Phase::Down) {
        const bool back = entry == nullptr || (entry->state == InstanceState::Up && (entry->worker.empty() || entry->worker != member.drainedWorker));
        if (back && m_listedAt > member.since) {
            member.phase = Phase::Finished;
        }
        return;
    }
    if (entry == nullptr) {
        if (m_listedAt > member.since) {
            // The instance no longer exists.
            member.phase = Phase::Finished;
            scheduler.closeWorker(member.drainedWorker, false);
        }
        return;
    }
    if (member.phase == Phase::Pending) {
        scheduler.expectMaintenance(entry->worker);
        return;
    }
    if (member.phase == Phase::Draining && entry->worker != member.drainedWorker && !entry->worker.empty()) {
        member.drainedWorker = entry->worker;
    }
    scheduler.closeWorker(entry->worker, true);
    scheduler.evacuate(entry->worker, now);
    const std::size_t down = countPhase(state, Phase::Down) + countPhase(state, Phase::Ordered) - (member.phase == Phase::Ordered ? 1 : 0);
    const bool room = static_cast<std::int64_t>(down) < state.wave.mostAtOnce;
    const bool due =
        m_pause.isOver(instance, now) && now - member.since >= (member.phase == Phase::Ordered ? internal::orderAgainAfter : core::Duration::zero());
    if (scheduler.isVacant(entry->worker, now) && room && due && (entry->state == InstanceState::Up || member.phase == Phase::Ordered)) {
        member.phase = Phase::Ordered;
        member.orderOut = true;
        member.since = now;
        m_orders.push_back(MaintainOrder{state.wave.number, instance});
    }
}

double Upkeep::drainCost(const InstanceEntry &instance, const Scheduler &scheduler) const
{
    constexpr double closedWeight = 10.0;
    constexpr double pressureWeight = 5.0;
    if (scheduler.isStandby(instance.pool)) {
        // An instance on standby is off, so draining it takes no capacity away.
        return 0.0;
    }
    double closed = 0.0;
    double size = 0.0;
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        if (item.second.pool != instance.pool) {
            continue;
        }
        size += 1.0;
        const auto worker = scheduler.workers().find(item.second.worker);
        const bool open = worker != scheduler.workers().end() && worker->second.listed && !worker->second.closed && !worker->second.entry.draining;
        closed += open ? 0.0 : 1.0;
    }
    const auto worker = scheduler.workers().find(instance.worker);
    const double runs = worker == scheduler.workers().end() ? 0.0 : static_cast<double>(worker->second.runs.size());
    const double share = size > 0.0 ? closed / size : 0.0;
    // Draining an instance that is already out of service costs the pool no further capacity, so the limit does not apply.
    const bool open = worker != scheduler.workers().end() && worker->second.listed && !worker->second.closed;
    if (open && closed > 0.0 && (closed + 1.0) / size > internal::mostOfPoolClosed) {
        return -1.0;
    }
    return closedWeight * share + pressureWeight * scheduler.pressure(instance.pool) + runs;
}

std::size_t Upkeep::mostClosed(const WaveState &state, std::int64_t wallMs) const
{
    // Cordons only as many instances at once as it takes to finish in time: each one is capacity that callers miss.
    const double open = static_cast<double>(countPhase(state, Phase::Pending) + countPhase(state, Phase::Draining) + countPhase(state, Phase::Ordered));
    const double leftMs = static_cast<double>(state.progress.deadlineMs - wallMs) * internal::usedShareOfTime;
    const double neededMs = open * static_cast<double>(core::milliseconds(internal::typicalMaintenance));
    const double allowed = static_cast<double>(std::max<std::int64_t>(state.wave.mostAtOnce, 1));
    const double needed = leftMs <= 0.0 ? allowed : std::ceil(neededMs / leftMs);
    return static_cast<std::size_t>(std::clamp(needed, 1.0, allowed)) + internal::drainAhead;
}

bool Upkeep::isMaintaining(const std::string &instance) const
{
    return std::any_of(m_waves.begin(), m_waves.end(), [&instance](const std::pair<const std::int64_t, WaveState> &item) {
        const auto member = item.second.members.find(instance);
        return member != item.second.members.end() && member->second.phase != Phase::Finished && member->second.phase != Phase::Pending;
    });
}

void Upkeep::startDrains(WaveState &state, Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs)
{
    const std::size_t most = mostClosed(state, wallMs);
    while (countPhase(state, Phase::Draining) + countPhase(state, Phase::Ordered) + countPhase(state, Phase::Down) < most) {
        std::string best;
        double bestCost = 0.0;
        for (const std::pair<const std::string, Member> &member : state.members) {
            const InstanceEntry *entry = findInstance(member.first);
            if (member.second.phase != Phase::Pending || entry == nullptr || entry->state != InstanceState::Up) {
                continue;
            }
            const double cost = drainCost(*entry, scheduler);
            if (cost >= 0.0 && (best.empty() || cost < bestCost)) {
                best = member.first;
                bestCost = cost;
            }
        }
        if (best.empty()) {
            return;
        }
        Member &member = state.members[best];
        member.phase = Phase::Draining;
        member.since = now;
        member.drainedWorker = findInstance(best)->worker;
        scheduler.closeWorker(member.drainedWorker, true);
    }
}

void Upkeep::finishIfComplete(WaveState &state)
{
    const bool all = std::all_of(state.members.begin(), state.members.end(), [](const std::pair<const std::string, Member> &item) {
        return item.second.phase == Phase::Finished || (item.second.phase == Phase::Down);
    });
    if (all && !state.progress.completed) {
        state.progress.completed = true;
        m_unsaved.insert(state.wave.number);
    }
}

} // namespace oleanderwick::jobs

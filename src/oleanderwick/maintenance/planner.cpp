#include "planner.hpp"

#include <algorithm>
#include <tuple>

#include <absl/strings/str_cat.h>

namespace oleanderwick::maintenance
{

namespace internal
{

/** Number of instances that came back unhealthy at which the wave stops. */
constexpr std::uint32_t failuresToStop = 2;

const Step *findStep(const Wave &wave, const core::InstanceId &instance)
{
    const auto found = wave.steps.find(instance);
    return found == wave.steps.end() ? nullptr : &found->second;
}

bool isDown(const Wave &wave, const InstanceView &instance)
{
    const Step *step = findStep(wave, instance.id);
    return (step != nullptr && *step != Step::Done) || instance.health != Health::Healthy || instance.zoneClosed;
}

/** Advances the instances whose maintenance has already started. */
void advanceStarted(Wave &wave, const PoolView &pool)
{
    for (const InstanceView &instance : pool.instances) {
        const auto entry = wave.steps.find(instance.id);
        if (entry == wave.steps.end()) {
            continue;
        }
        const bool rebooted = instance.bootMark == rebootMark(wave, instance.id);
        if (entry->second == Step::Draining && wave.status == WaveStatus::Stopped) {
            wave.steps.erase(entry);
        } else if (entry->second == Step::Draining && instance.permitsHeld == 0) {
            entry->second = Step::Rebooting;
        } else if (entry->second == Step::Rebooting && rebooted && instance.health == Health::Healthy) {
            entry->second = Step::Done;
        } else if (entry->second == Step::Rebooting && rebooted && instance.health == Health::Unhealthy) {
            entry->second = Step::Failed;
            wave.status = wave.status == WaveStatus::Running ? WaveStatus::Paused : wave.status;
            wave.reason = absl::StrCat("instance '", instance.id.text(), "' came back unhealthy");
        }
    }
}

void stopAfterFailures(Wave &wave)
{
    const auto failures = std::count_if(wave.steps.begin(), wave.steps.end(), [](const std::pair<const core::InstanceId, Step> &step) {
        return step.second == Step::Failed;
    });
    if (static_cast<std::uint32_t>(failures) >= failuresToStop && wave.status != WaveStatus::Done) {
        wave.status = WaveStatus::Stopped;
        wave.reason = absl::StrCat(failures, " instances came back unhealthy");
    }
}

std::vector<const InstanceView *> drainCandidates(const Wave &wave, const PoolView &pool)
{
    std::vector<const InstanceView *> list;
    for (const InstanceView &instance : pool.instances) {
        if (findStep(wave, instance.id) == nullptr && instance.health == Health::Healthy) {
            list.push_back(&instance);
        }
    }
    std::sort(list.begin(), list.end(), [](const InstanceView *left, const InstanceView *right) {
        const bool leftBusy = left->permitsHeld > 0;
        const bool rightBusy = right->permitsHeld > 0;
        return std::tie(leftBusy, left->zone, left->rack, left->id) < std::tie(rightBusy, right->zone, right->rack, right->id);
    });
    return list;
}

/** Counts the slots left in service if one more instance is drained. */
std::uint32_t remainingSlots(const Wave &wave, const PoolView &pool, const InstanceView &drained)
{
    std::uint32_t slots = 0;
    for (const InstanceView &instance : pool.instances) {
        slots += isDown(wave, instance) || instance.id == drained.id ? 0 : instance.slots;
    }
    return slots;
}

void startDrains(Wave &wave, const PoolView &pool)
{
    wave.reason.clear();
    for (const InstanceView *instance : drainCandidates(wave, pool)) {
        const std::uint32_t down = countDown(wave, pool);
        if (down >= pool.budget) {
            wave.reason = absl::StrCat("waits: ", down, " instances are down, the budget is ", pool.budget);
            return;
        }
        const std::uint32_t slots = remainingSlots(wave, pool, *instance);
        if (slots < pool.demand) {
            wave.reason = absl::StrCat("waits: without '", instance->id.text(), "' ", slots, " slots stay, the demand is ", pool.demand);
            return;
        }
        wave.steps.emplace(instance->id, Step::Draining);
    }
}

void finishIfDone(Wave &wave, const PoolView &pool)
{
    const bool done = std::all_of(pool.instances.begin(), pool.instances.end(), [&wave](const InstanceView &instance) {
        const Step *step = findStep(wave, instance.id);
        return step != nullptr && *step == Step::Done;
    });
    if (done) {
        wave.status = WaveStatus::Done;
        wave.reason.clear();
    } else if (wave.reason.empty() && drainCandidates(wave, pool).empty() && countDown(wave, pool) > 0) {
        wave.reason = absl::StrCat("waits for ", countDown(wave, pool), " instances that are down");
    }
}

} // namespace internal

std::uint32_t countDown(const Wave &wave, const PoolView &pool)
{
    return static_cast<std::uint32_t>(std::count_if(pool.instances.begin(), pool.instances.end(), [&wave](const InstanceView &instance) {
        return internal::isDown(wave, instance);
    }));
}

Wave advance(Wave wave, const PoolView &pool)
{
    if (hasEnded(wave)) {
        return wave;
    }
    internal::advanceStarted(wave, pool);
    internal::stopAfterFailures(wave);
    if (wave.status == WaveStatus::Running) {
        internal::startDrains(wave, pool);
        internal::finishIfDone(wave, pool);
    }
    return wave;
}

std::vector<core::InstanceId> dueReboots(const Wave &wave, const PoolView &pool)
{
    std::vector<core::InstanceId> due;
    for (const InstanceView &instance : pool.instances) {
        const Step *step = internal::findStep(wave, instance.id);
        if (step != nullptr && *step == Step::Rebooting && instance.bootMark != rebootMark(wave, instance.id)) {
            due.push_back(instance.id);
        }
    }
    return due;
}

} // namespace oleanderwick::maintenance

#include "maintenance_controller.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Delay before a command whose reply was lost is sent again. */
constexpr core::Duration commandRetryDelay = std::chrono::milliseconds{700};
/** Delay before a command that was refused is sent again. */
constexpr core::Duration refusalRetryDelay = std::chrono::milliseconds{200};
/** An instance that all lists have left out for this long no longer exists; a single list may have missed it between two pages. */
constexpr core::Duration absenceConfirmation = std::chrono::seconds{2};
/** A command whose reply was lost takes effect within this time, or never. */
constexpr core::Duration maxCommandLateness = std::chrono::seconds{12};

} // namespace internal

bool isReplaced(const std::map<std::string, InstanceEntry> &instances, const std::string &instance, const std::string &worker)
{
    const auto entry = instances.find(instance);
    return entry != instances.end() && entry->second.worker != worker;
}

MaintenanceController::MaintenanceController(const CommandDelay &commandDelay)
    : m_commandDelay{commandDelay}
{
}

void MaintenanceController::addWave(const MaintenanceWave &wave, const std::optional<WaveProgress> &progress, std::int64_t wallMs, core::TimePoint now)
{
    const bool known = m_waves.contains(wave.number);
    WaveState &state = m_waves[wave.number];
    if (known && state.wave == wave) {
        return;
    }
    state.wave = wave;
    if (!known && progress.has_value()) {
        state.progress = *progress;
    }
    if (!known) {
        restoreMembers(state, now);
    }
    for (const std::string &instance : wave.instances) {
        state.members.try_emplace(instance);
    }
    removeExcluded(state);
    if (state.progress.deadlineMs == 0) {
        state.progress.deadlineMs = wallMs + core::milliseconds(wave.duration);
    }
    if (!state.progress.completed) {
        m_unsaved.insert(wave.number);
    }
}

void MaintenanceController::restoreMembers(WaveState &state, core::TimePoint now)
{
    for (const std::string &instance : state.wave.instances) {
        state.members[instance] = restoreMember(state.progress, instance, now);
    }
    // The wave may have had further instances; they count as long as they are down.
    for (const std::pair<const std::string, std::string> &item : state.progress.commandedInstances) {
        state.members[item.first] = restoreMember(state.progress, item.first, now);
    }
}

MaintenanceController::Member MaintenanceController::restoreMember(const WaveProgress &progress, const std::string &instance, core::TimePoint now)
{
    const bool started = progress.startedInstances.contains(instance);
    const auto commanded = progress.commandedInstances.find(instance);
    const bool recorded = commanded != progress.commandedInstances.end();
    Member member;
    if (progress.finishedInstances.contains(instance) || (progress.completed && started)) {
        member.phase = Phase::Finished;
    } else if (started || recorded) {
        member.phase = started ? Phase::Down : Phase::CommandSent;
        member.since = now;
        member.replyLost = !started;
        member.takenOver = true;
        member.drainedWorker = recorded ? std::optional<std::string>{commanded->second} : std::nullopt;
    }
    return member;
}

void MaintenanceController::removeExcluded(WaveState &state)
{
    std::erase_if(state.members, [&state](const std::pair<const std::string, Member> &item) {
        const bool uncommanded = item.second.phase == Phase::Pending || item.second.phase == Phase::Draining;
        return uncommanded && std::find(state.wave.instances.begin(), state.wave.instances.end(), item.first) == state.wave.instances.end();
    });
}

void MaintenanceController::handleInstances(std::map<std::string, InstanceEntry> instances, core::TimePoint requestedAt)
{
    m_instances = std::move(instances);
    m_instancesByPool.clear();
    for (const std::pair<const std::string, InstanceEntry> &item : m_instances) {
        m_instancesByPool[item.second.pool].push_back(&item.second);
    }
    m_listRequestedAt = requestedAt;
}

void MaintenanceController::handleReply(const MaintainCommand &command, InstanceOutcome outcome, core::TimePoint now)
{
    const auto found = m_waves.find(command.wave);
    if (found == m_waves.end()) {
        return;
    }
    WaveState &state = found->second;
    const auto entry = state.members.find(command.instance);
    if (entry == state.members.end()) {
        return;
    }
    Member &member = entry->second;
    member.commandInFlight = false;
    member.since = now;
    if (outcome == InstanceOutcome::Done) {
        member.phase = Phase::Down;
        state.progress.startedInstances.insert(command.instance);
    } else if (outcome == InstanceOutcome::NoSuchInstance || outcome == InstanceOutcome::NotInWave) {
        state.progress.commandedInstances.erase(command.instance);
        finishMember(state, command.instance, member);
    } else if (outcome == InstanceOutcome::Busy || outcome == InstanceOutcome::Refused) {
        member.retryAt = now + internal::refusalRetryDelay;
        if (member.replyLost) {
            // Only this command had no effect; an earlier one may have had one.
            return;
        }
        member.phase = Phase::Draining;
        state.progress.commandedInstances.erase(command.instance);
    } else {
        member.replyLost = true;
        member.retryAt = now + internal::commandRetryDelay;
        return;
    }
    m_unsaved.insert(command.wave);
}

std::vector<MaintainCommand> MaintenanceController::takeCommands()
{
    std::vector<MaintainCommand> commands;
    std::swap(commands, m_commands);
    return commands;
}

std::vector<Decision> MaintenanceController::takeDecisions()
{
    std::vector<Decision> decisions;
    std::swap(decisions, m_decisions);
    return decisions;
}

std::map<std::int64_t, WaveProgress> MaintenanceController::takeSaves()
{
    std::map<std::int64_t, WaveProgress> saves;
    for (const std::int64_t number : m_unsaved) {
        saves[number] = m_waves[number].progress;
    }
    m_unsaved.clear();
    return saves;
}

void MaintenanceController::markUnsaved(std::int64_t number)
{
    if (m_waves.contains(number)) {
        m_unsaved.insert(number);
    }
}

bool MaintenanceController::hasActiveWave() const noexcept
{
    return std::any_of(m_waves.begin(), m_waves.end(), [](const std::pair<const std::int64_t, WaveState> &item) {
        return !item.second.progress.completed;
    });
}

const InstanceEntry *MaintenanceController::findInstance(const std::string &id) const
{
    const auto found = m_instances.find(id);
    return found == m_instances.end() ? nullptr : &found->second;
}

std::size_t MaintenanceController::countPhase(const WaveState &state, Phase phase) const
{
    return static_cast<std::size_t>(std::count_if(state.members.begin(), state.members.end(), [phase](const std::pair<const std::string, Member> &item) {
        return item.second.phase == phase;
    }));
}

void MaintenanceController::advance(Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs)
{
    if (m_instances.empty()) {
        return;
    }
    postponeDrains(scheduler, now);
    for (std::pair<const std::int64_t, WaveState> &item : m_waves) {
        reopenIfNeeded(item.second);
        if (!item.second.progress.completed || countPhase(item.second, Phase::Down) > 0) {
            advanceWave(item.second, scheduler, now, wallMs);
        }
    }
    updateCordons(scheduler);
}

void MaintenanceController::advanceWave(WaveState &state, Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs)
{
    for (std::pair<const std::string, Member> &member : state.members) {
        advanceMember(state, member.first, member.second, scheduler, now);
    }
    startDrains(state, scheduler, now, wallMs);
    finishIfComplete(state);
}

void MaintenanceController::advanceMember(WaveState &state, const std::string &instance, Member &member, Scheduler &scheduler, core::TimePoint now)
{
    if (member.phase == Phase::Finished || member.commandInFlight) {
        return;
    }
    const InstanceEntry *entry = findInstance(instance);
    updateMissing(entry, member);
    if (entry == nullptr) {
        return;
    }
    settleLostReply(state, instance, member, *entry);
    if (member.phase == Phase::Pending) {
        scheduler.setMaintenancePending(entry->worker);
        return;
    }
    if (member.phase == Phase::Down) {
        member.seenDown = member.seenDown || (m_listRequestedAt > member.since && entry->state != InstanceState::Up);
        if (isBack(*entry, member)) {
            logReturn(state, instance, member, now);
            finishMember(state, instance, member);
        }
        return;
    }
    if (m_postponed.contains(instance)) {
        return;
    }
    scheduler.setCordoned(entry->worker, true);
    scheduler.evacuate(entry->worker, now);
    commandMaintenance(state, instance, member, scheduler, now);
}

void MaintenanceController::commandMaintenance(WaveState &state, const std::string &instance, Member &member, const Scheduler &scheduler, core::TimePoint now)
{
    const InstanceEntry &entry = *findInstance(instance);
    const bool due = m_commandDelay.isOver(instance, now) && now >= member.retryAt;
    // The reply to a repeated command tells whether the maintenance that the list shows is that of this wave.
    const bool possible = entry.state == InstanceState::Up || (member.phase == Phase::CommandSent && entry.state == InstanceState::UnderMaintenance);
    const std::size_t down = countOthersDown(state, instance, now);
    if (!due || !possible || !scheduler.isIdle(entry.worker, now) || static_cast<std::int64_t>(down) >= state.wave.maxInstancesDown) {
        return;
    }
    logCommand(state, instance, member, down, now);
    member.phase = Phase::CommandSent;
    member.commandInFlight = true;
    member.since = now;
    if (!member.replyLost) {
        member.drainedWorker = entry.worker;
    }
    state.progress.commandedInstances[instance] = member.drainedWorker.value_or(std::string{});
    m_unsaved.insert(state.wave.number);
    m_commands.push_back(MaintainCommand{state.wave.number, instance});
}

void MaintenanceController::updateMissing(const InstanceEntry *entry, Member &member) const
{
    if (entry != nullptr) {
        member.missingSince.reset();
    } else if (!member.missingSince.has_value()) {
        member.missingSince = m_listRequestedAt;
    }
}

void MaintenanceController::settleLostReply(WaveState &state, const std::string &instance, Member &member, const InstanceEntry &entry)
{
    const bool over = m_listRequestedAt - member.since >= internal::maxCommandLateness;
    if (member.phase == Phase::CommandSent && over && entry.state != InstanceState::UnderMaintenance) {
        member.phase = Phase::Draining;
        member.replyLost = false;
        state.progress.commandedInstances.erase(instance);
        m_unsaved.insert(state.wave.number);
    }
}

void MaintenanceController::finishMember(WaveState &state, const std::string &instance, Member &member)
{
    // Stored with the next change of the wave; until then a successor sees the return by itself.
    member.phase = Phase::Finished;
    state.progress.finishedInstances.insert(instance);
}

void MaintenanceController::reopenIfNeeded(WaveState &state)
{
    const bool unfinished = std::any_of(state.members.begin(), state.members.end(), [this](const std::pair<const std::string, Member> &item) {
        const bool waiting = item.second.phase != Phase::Finished && item.second.phase != Phase::Down;
        return waiting && findInstance(item.first) != nullptr;
    });
    if (state.progress.completed && unfinished) {
        state.progress.completed = false;
        m_unsaved.insert(state.wave.number);
    }
}

bool MaintenanceController::isGone(const Member &member) const
{
    return member.missingSince.has_value() && m_listRequestedAt - *member.missingSince >= internal::absenceConfirmation;
}

bool MaintenanceController::isBack(const InstanceEntry &entry, const Member &member) const
{
    const bool overdue = m_listRequestedAt - member.since >= expectedMaintenanceTime;
    if (entry.state != InstanceState::Up) {
        // It has failed or is moved since; what it is down for is not its maintenance.
        return overdue && entry.state != InstanceState::UnderMaintenance;
    }
    if (m_listRequestedAt <= member.since) {
        return false;
    }
    const bool replaced = member.drainedWorker.has_value() && entry.worker != *member.drainedWorker;
    // An instance on standby has no worker before its maintenance, nor after it.
    const bool hadNone = member.drainedWorker.has_value() && member.drainedWorker->empty();
    const bool proven = entry.worker.empty() ? hadNone : replaced || member.seenDown;
    return proven || overdue;
}

bool MaintenanceController::isListedDown(const std::string &instance) const
{
    const InstanceEntry *entry = findInstance(instance);
    return entry != nullptr && entry->state == InstanceState::UnderMaintenance;
}

std::size_t MaintenanceController::countOthersDown(const WaveState &state, const std::string &instance, core::TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(state.members.begin(), state.members.end(), [&](const std::pair<const std::string, Member> &item) {
        const Phase phase = item.second.phase;
        const bool commanded = (phase == Phase::CommandSent || phase == Phase::Down) && !isGone(item.second);
        // A former owner of an earlier version recorded only that it sent some command for the instance.
        const bool commandedBefore = phase != Phase::Finished && !m_commandDelay.isOver(item.first, now);
        return item.first != instance && (commanded || commandedBefore || isListedDown(item.first));
    }));
}

std::size_t MaintenanceController::countOutOfService(const WaveState &state) const
{
    return static_cast<std::size_t>(std::count_if(state.members.begin(), state.members.end(), [this](const std::pair<const std::string, Member> &item) {
        const Phase phase = item.second.phase;
        const InstanceEntry *entry = findInstance(item.first);
        // An instance that has failed can't be commanded; others are drained in its place.
        const bool drains = phase == Phase::Draining && entry != nullptr && entry->state == InstanceState::Up;
        const bool commanded = (phase == Phase::CommandSent || phase == Phase::Down) && !isGone(item.second);
        return drains || commanded || isListedDown(item.first);
    }));
}

std::map<std::string, std::string> MaintenanceController::workersToCordon() const
{
    std::map<std::string, std::string> workers;
    for (const std::pair<const std::int64_t, WaveState> &wave : m_waves) {
        for (const std::pair<const std::string, Member> &item : wave.second.members) {
            const Member &member = item.second;
            if (member.phase == Phase::Pending || member.phase == Phase::Finished || m_postponed.contains(item.first)) {
                continue;
            }
            workers[member.drainedWorker.value_or(std::string{})] = item.first;
            const InstanceEntry *entry = findInstance(item.first);
            const bool mayEnd = member.phase != Phase::Down || m_listRequestedAt <= member.since;
            if (entry != nullptr && mayEnd) {
                workers[entry->worker] = item.first;
            }
        }
    }
    workers.erase(std::string{});
    return workers;
}

void MaintenanceController::updateCordons(Scheduler &scheduler)
{
    std::map<std::string, std::string> workers = workersToCordon();
    for (const std::pair<const std::string, std::string> &cordoned : m_cordonedWorkers) {
        if (workers.contains(cordoned.first)) {
            continue;
        }
        if (!isReplaced(m_instances, cordoned.second, cordoned.first)) {
            scheduler.setCordoned(cordoned.first, false);
        } else if (scheduler.workers().contains(cordoned.first)) {
            workers.insert(cordoned);
        }
    }
    for (const std::pair<const std::string, std::string> &worker : workers) {
        scheduler.setCordoned(worker.first, true);
    }
    m_cordonedWorkers = std::move(workers);
}

void MaintenanceController::logCommand(const WaveState &state, const std::string &instance, const Member &member, std::size_t down, core::TimePoint now)
{
    const InstanceEntry *entry = findInstance(instance);
    const std::size_t listedDown =
        static_cast<std::size_t>(std::count_if(state.members.begin(), state.members.end(), [this](const std::pair<const std::string, Member> &other) {
            return isListedDown(other.first);
        }));
    m_decisions.push_back(Decision{"maintenance_commanded",
                                   "",
                                   entry == nullptr ? "" : entry->worker,
                                   absl::StrCat("instance=",
                                                instance,
                                                " wave=",
                                                state.wave.number,
                                                " down=",
                                                down,
                                                " listed_down=",
                                                listedDown,
                                                " limit=",
                                                state.wave.maxInstancesDown,
                                                " repeated=",
                                                member.phase == Phase::CommandSent ? 1 : 0,
                                                " list_age_ms=",
                                                core::milliseconds(now - m_listRequestedAt))});
}

void MaintenanceController::logReturn(const WaveState &state, const std::string &instance, const Member &member, core::TimePoint now)
{
    const InstanceEntry *entry = findInstance(instance);
    m_decisions.push_back(Decision{"maintenance_over",
                                   "",
                                   entry == nullptr ? "" : entry->worker,
                                   absl::StrCat("instance=",
                                                instance,
                                                " wave=",
                                                state.wave.number,
                                                " drained=",
                                                member.drainedWorker.value_or(std::string{}),
                                                " listed=",
                                                entry == nullptr ? 0 : 1,
                                                " taken_over=",
                                                member.takenOver ? 1 : 0,
                                                " list_age_ms=",
                                                core::milliseconds(now - m_listRequestedAt))});
}

bool MaintenanceController::isInMaintenance(const std::string &instance) const
{
    return std::any_of(m_waves.begin(), m_waves.end(), [&instance](const std::pair<const std::int64_t, WaveState> &item) {
        const auto member = item.second.members.find(instance);
        return member != item.second.members.end() && member->second.phase != Phase::Finished && member->second.phase != Phase::Pending;
    });
}

void MaintenanceController::finishIfComplete(WaveState &state)
{
    const bool complete = std::all_of(state.members.begin(), state.members.end(), [this](const std::pair<const std::string, Member> &item) {
        return item.second.phase == Phase::Finished || item.second.phase == Phase::Down || isGone(item.second);
    });
    if (complete && !state.progress.completed) {
        state.progress.completed = true;
        m_unsaved.insert(state.wave.number);
    }
}

} // namespace oleanderwick::jobs

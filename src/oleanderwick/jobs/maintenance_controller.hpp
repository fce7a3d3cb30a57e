#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "command_delay.hpp"
#include "scheduler.hpp"

namespace oleanderwick::jobs
{

/** @brief State of an instance as reported by the platform. */
enum class InstanceState : std::uint8_t {
    Up,
    Moving,
    UnderMaintenance,
    Down,
};

/** @brief Instance as listed by the platform. */
struct InstanceEntry {
    std::string id;
    std::string pool;
    std::string worker; /**< Worker that runs on it; empty if there is none. */
    InstanceState state{InstanceState::Down};
    Resources capacity; /**< Resources of a worker on this instance; 0 if not reported. */
    std::string zone; /**< Availability zone; empty if not reported. */

    [[nodiscard]] bool operator==(const InstanceEntry &) const = default;
};

/**
 * @brief Checks whether a worker has been replaced on its instance; its registration may outlast it by some heartbeats.
 * @param instances Instances by name.
 * @param instance Name of the instance on which the worker ran.
 * @param worker Name of the worker.
 * @return True if the instance is listed without the worker.
 */
[[nodiscard]] bool isReplaced(const std::map<std::string, InstanceEntry> &instances, const std::string &instance, const std::string &worker);

/** @brief Maintenance of a set of instances, requested by operators. */
struct MaintenanceWave {
    std::int64_t number{0};
    std::vector<std::string> instances;
    core::Duration duration{}; /**< Time allowed for the wave; the deadline is set from it when the wave is first added. */
    std::int64_t maxInstancesDown{1}; /**< Upper limit of the wave's instances that are down at once. */

    [[nodiscard]] bool operator==(const MaintenanceWave &) const = default;
};

/** @brief Progress of a wave that is kept in the store. */
struct WaveProgress {
    bool completed{false};
    std::int64_t deadlineMs{0}; /**< Unix time in milliseconds by which the wave should be completed; 0 if not set yet. */
    std::set<std::string> startedInstances; /**< Instances whose maintenance has started. */
    /** Instances whose maintenance has started or may have, with the worker that was drained for it. */
    std::map<std::string, std::string> commandedInstances;
    std::set<std::string> finishedInstances; /**< Instances that have returned from their maintenance, or that the wave can't maintain. */

    [[nodiscard]] bool operator==(const WaveProgress &) const = default;
};

/** @brief Command to maintain an instance. */
struct MaintainCommand {
    std::int64_t wave{0};
    std::string instance;
};

/** @brief Outcome of a command for an instance. */
enum class InstanceOutcome : std::uint8_t {
    Done,
    Busy, /**< The instance is not up, or is leaving. */
    Fenced,
    NoSuchInstance,
    NotInWave,
    Refused, /**< The command had no effect and can be sent again later. */
    Unknown, /**< No usable reply; the command may have taken effect. */
};

/**
 * @brief Runs maintenance waves: drains instances, commands their maintenance and tracks their return. Performs no I/O.
 *
 * An instance counts against the limit of its wave from the decision to command its maintenance until something proves that it is not down: a
 * reply that says that no command had an effect, or a list that was requested after the command and shows the instance back. The decision is
 * stored before the command is sent, so that it counts for a successor as well.
 */
class MaintenanceController
{
public:
    /**
     * @brief Creates the controller for one owner's term.
     * @param commandDelay Delays commands that could conflict with a former owner's commands in flight; must outlive this object.
     */
    explicit MaintenanceController(const CommandDelay &commandDelay);

    /**
     * @brief Adds a wave, or updates one whose definition has changed.
     * @param wave Wave to add, identified by its number.
     * @param progress Stored progress of the wave; std::nullopt if none is stored. Ignored for a known wave, whose progress may be newer.
     * @param wallMs Unix time in milliseconds.
     * @param now Current time of the monotonic clock.
     */
    void addWave(const MaintenanceWave &wave, const std::optional<WaveProgress> &progress, std::int64_t wallMs, core::TimePoint now);

    /**
     * @brief Replaces the known instances with the platform's current list.
     * @param instances Instances by name.
     * @param requestedAt Time at which the list was requested; the list says nothing about later changes.
     */
    void handleInstances(std::map<std::string, InstanceEntry> instances, core::TimePoint requestedAt);

    /**
     * @brief Handles the reply to a command; ignores it if the wave is unknown.
     * @param command Command that was sent.
     * @param outcome Outcome of the command.
     * @param now Current time of the monotonic clock.
     */
    void handleReply(const MaintainCommand &command, InstanceOutcome outcome, core::TimePoint now);

    /**
     * @brief Drains the instances that are next, and commands the maintenance of those that are empty.
     * @param scheduler Scheduler whose workers are cordoned and uncordoned.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs);

    /**
     * @return Commands issued since the last call. Each must be sent only after the progress that `takeSaves` returns has been stored, and its
     * outcome must be passed to `handleReply`.
     */
    [[nodiscard]] std::vector<MaintainCommand> takeCommands();

    /** @return Decisions to log: commands with the counts they were based on, and instances that count as back. */
    [[nodiscard]] std::vector<Decision> takeDecisions();

    /** @return Progress to store, by wave number, of the waves that changed since the last call. */
    [[nodiscard]] std::map<std::int64_t, WaveProgress> takeSaves();

    /**
     * @brief Includes a wave in the next `takeSaves` after its progress could not be stored.
     * @param number Number of the wave; ignored if unknown.
     */
    void markUnsaved(std::int64_t number);

    /**
     * @brief Checks whether a wave drains an instance, or has started its maintenance and not seen it return.
     * @param instance Name of the instance.
     * @return True if the instance must not be moved.
     */
    [[nodiscard]] bool isInMaintenance(const std::string &instance) const;

    /**
     * @brief Checks whether a wave is to drain an instance of a pool whose continuous tasks another instance has to take one by one.
     * @param pool Name of the pool.
     * @return True if the pool needs at least two instances in service.
     */
    [[nodiscard]] bool isSecondInstanceNeeded(const std::string &pool) const;

    /** @return True if a wave is incomplete and the list of instances is therefore needed. */
    [[nodiscard]] bool hasActiveWave() const noexcept;

private:
    /** Time from cordoning an instance to its return, as observed on the platform: drain, maintenance and start. */
    static constexpr core::Duration expectedMaintenanceTime = std::chrono::milliseconds{4500};

    enum class Phase : std::uint8_t {
        Pending,
        Draining,
        CommandSent, /**< The command is in flight, or its reply was lost. */
        Down, /**< Its maintenance has started. */
        Finished,
    };

    struct Member {
        Phase phase{Phase::Pending};
        core::TimePoint since; /**< Time of the last drain start, command or reply, or of the takeover from a former owner. */
        core::TimePoint retryAt; /**< Time before which no further command is sent. */
        bool commandInFlight{false};
        bool replyLost{false}; /**< A command without a usable reply may have taken effect, or may still do so. */
        bool takenOver{false}; /**< A former owner has commanded its maintenance. */
        bool seenDown{false}; /**< A list that was requested after the maintenance had started shows it as not up. */
        std::optional<std::string> drainedWorker; /**< Worker that was drained, empty if there was none; std::nullopt if a former owner didn't record it. */
        std::optional<core::TimePoint> missingSince; /**< Time of the first of the latest lists that all leave the instance out. */
    };

    struct WaveState {
        MaintenanceWave wave;
        WaveProgress progress;
        std::map<std::string, Member> members;
    };

    void restoreMembers(WaveState &state, core::TimePoint now);
    [[nodiscard]] static Member restoreMember(const WaveProgress &progress, const std::string &instance, core::TimePoint now);
    void removeExcluded(WaveState &state);
    void advanceWave(WaveState &state, Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs);
    void advanceMember(WaveState &state, const std::string &instance, Member &member, Scheduler &scheduler, core::TimePoint now);
    void commandMaintenance(WaveState &state, const std::string &instance, Member &member, const Scheduler &scheduler, core::TimePoint now);
    void updateMissing(const InstanceEntry *entry, Member &member) const;
    /** Ends the doubt about a lost reply once the command can't take effect any more and the list shows that it has none. */
    void settleLostReply(WaveState &state, const std::string &instance, Member &member, const InstanceEntry &entry);
    void finishMember(WaveState &state, const std::string &instance, Member &member);
    /** Resumes a completed wave that has an instance which was added later, or has come back to the list. */
    void reopenIfNeeded(WaveState &state);
    [[nodiscard]] bool isGone(const Member &member) const;
    /** Returns true if the list proves that the maintenance of an instance is over. */
    [[nodiscard]] bool isBack(const InstanceEntry &entry, const Member &member) const;
    /** Counts the wave's other instances that are or may be down, also by a command of a former owner. */
    [[nodiscard]] std::size_t countOthersDown(const WaveState &state, const std::string &instance, core::TimePoint now) const;
    [[nodiscard]] std::size_t countOutOfService(const WaveState &state) const;
    [[nodiscard]] bool isListedDown(const std::string &instance) const;
    void updateCordons(Scheduler &scheduler);
    /** Returns the workers that the members need cordoned, with their instances. */
    [[nodiscard]] std::map<std::string, std::string> workersToCordon() const;
    void startDrains(WaveState &state, Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs);
    /** Upper limit of the wave's instances that are drained or down at once. */
    [[nodiscard]] std::size_t maxOutOfService(const WaveState &state, std::int64_t wallMs) const;
    [[nodiscard]] const InstanceEntry *findInstance(const std::string &id) const;
    [[nodiscard]] std::size_t countPhase(const WaveState &state, Phase phase) const;
    struct PoolAvailability {
        double size{0.0}; /**< Number of instances. */
        double unavailable{0.0}; /**< Number of instances whose worker takes no new work. */
        std::size_t open{0}; /**< Number of instances whose worker has reported and takes new work. */
        double utilization{0.0}; /**< See `Scheduler::cpuUtilization`. */
    };
    [[nodiscard]] std::map<std::string, PoolAvailability> measurePools(const Scheduler &scheduler) const;
    [[nodiscard]] static bool isAvailable(const InstanceEntry &instance, const Scheduler &scheduler);
    [[nodiscard]] static bool takesWork(const InstanceEntry &instance, const Scheduler &scheduler);
    /** Returns true if the worker serves its pool, also while it is closed for maintenance. */
    [[nodiscard]] static bool serves(const InstanceEntry &instance, const Scheduler &scheduler);
    /** Returns true if it serves its pool and no other instance of the pool takes new work. */
    [[nodiscard]] bool servesAlone(const InstanceEntry &instance, const Scheduler &scheduler) const;
    /**
     * Checks whether an instance serves its pool alone and its tasks can't all leave it: the budget of a continuous step lets only some of them
     * be away at once, and nothing takes those that leave.
     */
    [[nodiscard]] bool isIrreplaceable(const InstanceEntry &instance, const Scheduler &scheduler) const;
    /** Returns true if an instance that is empty could be commanded now. */
    [[nodiscard]] bool isCommandPossible(const WaveState &state, const std::string &instance, core::TimePoint now) const;
    /** Returns true if a command of some wave may still take the instance's current worker down, or has done so. */
    [[nodiscard]] bool mayGoDown(const InstanceEntry &instance, core::TimePoint now) const;
    /**
     * Ends the drains of instances that are irreplaceable, or serve their pool alone and would have to wait empty, so that they serve it meanwhile
     * and the tasks that have left them can return.
     */
    void postponeDrains(const Scheduler &scheduler, core::TimePoint now);
    /** Finds the pools of instances that run tasks with a budget and wait for their drain, unless another one of the pool is in maintenance. */
    void updatePoolsToDrain(const Scheduler &scheduler);
    void logPostponement(std::int64_t wave, const InstanceEntry &instance, bool tasksStay);
    /** Cost of draining an instance now, without unit; negative if too much of its pool would be out of service. */
    [[nodiscard]] static double drainCost(const InstanceEntry &instance, const PoolAvailability &pool, const Scheduler &scheduler);
    /** Returns true if emptying the instance takes so much of the wave's remaining time that it can't wait for others. */
    [[nodiscard]] static bool isUrgent(const WaveState &state, const InstanceEntry &instance, const Scheduler &scheduler, std::int64_t wallMs);
    void finishIfComplete(WaveState &state);
    void logCommand(const WaveState &state, const std::string &instance, const Member &member, std::size_t down, core::TimePoint now);
    void logReturn(const WaveState &state, const std::string &instance, const Member &member, core::TimePoint now);

    const CommandDelay &m_commandDelay;
    std::map<std::int64_t, WaveState> m_waves;
    std::map<std::string, InstanceEntry> m_instances;
    std::map<std::string, std::vector<const InstanceEntry *>> m_instancesByPool; /**< Entries of `m_instances`. */
    core::TimePoint m_listRequestedAt;
    std::vector<MaintainCommand> m_commands;
    std::vector<Decision> m_decisions;
    std::set<std::int64_t> m_unsaved;
    std::set<std::string> m_postponed; /**< Instances that stay open until their maintenance can begin. */
    core::TimePoint m_postponedAt; /**< Time of the last `postponeDrains`. */
    std::set<std::string> m_poolsToDrain; /**< See `updatePoolsToDrain`. */
    std::map<std::string, std::string> m_cordonedWorkers; /**< Workers that are cordoned for a wave, with their instances. */
};

} // namespace oleanderwick::jobs

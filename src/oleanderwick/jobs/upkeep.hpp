#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../core/core.hpp"
#include "order_pause.hpp"
#include "scheduler.hpp"

namespace oleanderwick::jobs
{

/** @brief What the platform says an instance does. */
enum class InstanceState : std::uint8_t {
    Up,
    Moving,
    Maintained,
    Down,
};

/** @brief Instance as the platform lists it. */
struct InstanceEntry {
    std::string id;
    std::string pool;
    std::string worker; /**< Worker that runs on it; empty for none. */
    InstanceState state{InstanceState::Down};
    Resources capacity; /**< What a worker on it has; 0 where it is not said. */

    [[nodiscard]] bool operator==(const InstanceEntry &) const = default;
};

/** @brief Operators' wish that instances are maintained. */
struct MaintenanceWave {
    std::int64_t number{0};
    std::vector<std::string> instances;
    core::Duration duration{};
    std::int64_t mostAtOnce{1}; /**< Most instances of the wave down at once. */

    [[nodiscard]] bool operator==(const MaintenanceWave &) const = default;
};

/** @brief Durable state of a wave. */
struct WaveProgress {
    bool completed{false};
    std::int64_t deadlineMs{0}; /**< Unix time by which it should be completed. */
    std::set<std::string> begun; /**< Instances whose maintenance has begun. */

    [[nodiscard]] bool operator==(const WaveProgress &) const = default;
};

/** @brief Order to maintain an instance. */
struct MaintainOrder {
    std::int64_t wave{0};
    std::string instance;
};

/** @brief How the platform answered an order for an instance. */
enum class InstanceAnswer : std::uint8_t {
    Done,
    Busy, /**< The instance is not up, or is leaving. */
    Fenced,
    NoSuchInstance,
    NotInWave,
    Refused, /**< Nothing was done; ask again later. */
    Unknown, /**< It may have been done. */
};

/** @brief Carries waves of maintenance through the pools; without I/O. */
class Upkeep
{
public:
    /**
     * @brief Starts the tenure of an owner.
     * @param pause Holds back orders that could cross a former owner's; has to outlive this.
     */
    explicit Upkeep(const OrderPause &pause);

    /**
     * @brief Takes in a wave.
     * @param wave The wave.
     * @param progress Its stored state; nothing if there is none.
     * @param wallMs Unix time.
     */
    void addWave(const MaintenanceWave &wave, const std::optional<WaveProgress> &progress, std::int64_t wallMs);

    /**
     * @brief Takes in the platform's list of instances.
     * @param instances Instances by name.
     * @param askedAt When the list was asked for.
     */
    void takeInstances(std::map<std::string, InstanceEntry> instances, core::TimePoint askedAt);

    /**
     * @brief Takes in the answer to an order.
     * @param order The order.
     * @param answer The answer.
     * @param now Present time.
     */
    void takeAnswer(const MaintainOrder &order, InstanceAnswer answer, core::TimePoint now);

    /**
     * @brief Drains instances that are next, and orders the maintenance of those that are empty.
     * @param scheduler Scheduler whose workers are closed and opened.
     * @param now Present time.
     * @param wallMs Unix time.
     */
    void advance(Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs);

    /** @return Orders that came up since the last call; each has to be answered by `takeAnswer`. */
    [[nodiscard]] std::vector<MaintainOrder> takeOrders();

    /** @return States of waves that changed since the last call and are to be stored, by number. */
    [[nodiscard]] std::map<std::int64_t, WaveProgress> takeSaves();

    /**
     * @brief Asks for a wave's state to be stored again.
     * @param number Number of the wave.
     */
    void saveAgain(std::int64_t number);

    /**
     * @brief Tells whether an instance is out of service, or about to be, for maintenance.
     * @param instance Name of the instance.
     * @return True if it should not be moved.
     */
    [[nodiscard]] bool isMaintaining(const std::string &instance) const;

    /** @return True while a wave is not completed, so that the list of instances is needed. */
    [[nodiscard]] bool isBusy() const noexcept;

private:
    enum class Phase : std::uint8_t {
        Pending,
        Draining,
        Ordered, /**< An order is under way, or its answer was lost. */
        Down, /**< Its maintenance has begun. */
        Finished,
    };

    struct Member {
        Phase phase{Phase::Pending};
        core::TimePoint since;
        bool orderOut{false};
        std::string drainedWorker;
    };

    struct WaveState {
        MaintenanceWave wave;
        WaveProgress progress;
        std::map<std::string, Member> members;
    };

    void advanceWave(WaveState &state, Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs);
    void advanceMember(WaveState &state, const std::string &instance, Member &member, Scheduler &scheduler, core::TimePoint now);
    void startDrains(WaveState &state, Scheduler &scheduler, core::TimePoint now, std::int64_t wallMs);
    [[nodiscard]] std::size_t mostClosed(const WaveState &state, std::int64_t wallMs) const;
    [[nodiscard]] const InstanceEntry *findInstance(const std::string &id) const;
    [[nodiscard]] std::size_t countPhase(const WaveState &state, Phase phase) const;
    [[nodiscard]] double drainCost(const InstanceEntry &instance, const Scheduler &scheduler) const;
    void finishIfComplete(WaveState &state);

    const OrderPause &m_pause;
    std::map<std::int64_t, WaveState> m_waves;
    std::map<std::string, InstanceEntry> m_instances;
    core::TimePoint m_listedAt;
    std::vector<MaintainOrder> m_orders;
    std::set<std::int64_t> m_unsaved;
    std::vector<std::string> m_reopen; /**< Workers that were drained for nothing. */
};

} // namespace oleanderwick::jobs

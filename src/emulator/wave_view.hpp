#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oleanderwick/jobs/maintenance_controller.hpp"

namespace oleanderwick::emulator
{

/** @brief Time at which a node received each version of a wave, by version; the first version is 0. */
using KnownVersions = std::map<std::size_t, core::TimePoint>;

/** @brief One maintenance wave as operators and instances see it: its versions, and the maintenance that has begun. */
class WaveView
{
public:
    /**
     * @brief Adds a version.
     * @param wave Wave that operators have stored.
     * @param now Current virtual time.
     */
    void request(const jobs::MaintenanceWave &wave, core::TimePoint now);

    /**
     * @brief Records the begin of an instance's maintenance for the wave.
     * @param instance Name of the instance.
     * @param now Current virtual time.
     */
    void begin(const std::string &instance, core::TimePoint now);

    /**
     * @brief Records the status that operators read.
     * @param completed Whether the wave is said to be completed.
     * @param now Current virtual time.
     */
    void report(bool completed, core::TimePoint now);

    /**
     * @brief Returns the limit that applies to a command.
     * @param known Versions that the sender of the command has received.
     * @param now Current virtual time.
     * @return Highest limit of the versions that the sender may go by.
     */
    [[nodiscard]] std::int64_t limitFor(const KnownVersions &known, core::TimePoint now) const;

    /**
     * @brief Returns the instances that a completed wave should not lack.
     * @param now Current virtual time.
     * @return Instances whose maintenance has not begun, without those that were added recently.
     */
    [[nodiscard]] std::vector<std::string> missing(core::TimePoint now) const;

    /** @return True if the wave is said to be completed. */
    [[nodiscard]] bool isCompleted() const noexcept;

    /** @return True if the wave contains the instance, in its latest version. */
    [[nodiscard]] bool contains(const std::string &instance) const;

    /** @return True if the maintenance of the instance for this wave has begun. */
    [[nodiscard]] bool hasBegun(const std::string &instance) const;

    /** @return Index of the latest version. */
    [[nodiscard]] std::size_t latestVersion() const noexcept;

    /** @return Latest version. */
    [[nodiscard]] const jobs::MaintenanceWave &latest() const noexcept;

    /** @return Time of the last request, begin of a maintenance, or change of the status. */
    [[nodiscard]] core::TimePoint lastProgressAt() const noexcept;

private:
    struct Version {
        std::int64_t maxInstancesDown{1};
        core::TimePoint storedAt;
    };

    jobs::MaintenanceWave m_latest;
    std::vector<Version> m_versions;
    std::map<std::string, core::TimePoint> m_knowableAt; /**< Time from which a completed wave may not lack the instance, by instance. */
    std::set<std::string> m_begun;
    bool m_completed{false};
    core::TimePoint m_lastProgressAt;
};

} // namespace oleanderwick::emulator

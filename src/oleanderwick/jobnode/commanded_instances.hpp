#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "../core/core.hpp"

namespace oleanderwick::jobnode
{

/**
 * @brief Instances that got commands of this owner or its predecessors, and how long a successor has to leave each of them alone.
 *
 * Commands of two owners for one instance have to be apart by a delay. It counts from the reply to the last command; while a command is in
 * flight, its successor has to wait for the whole delay. The record in the store has time spans, since the clocks of nodes cannot be
 * compared: a span that was written before a successor claimed the ownership is no shorter than the one that remains then.
 */
class CommandedInstances
{
public:
    /** Time by which each instance may get commands again; empty if there are none. */
    using EndTimes = std::map<std::string, core::TimePoint>;

    /**
     * @brief Starts without instances.
     * @param delay Time between the commands of two owners.
     * @param maxFlight Time within which a command takes effect after it was announced, or never; added to the delay while a command is in flight.
     */
    explicit CommandedInstances(core::Duration delay, core::Duration maxFlight = {});

    /**
     * @brief Records that a command is about to be announced and sent.
     * @param instance Name of the instance.
     */
    void handleCommand(const std::string &instance);

    /**
     * @brief Records the reply to a command, or that it will not be sent.
     * @param instance Name of the instance; ignored if no command for it is in flight.
     * @param now Current time of the monotonic clock.
     */
    void handleReply(const std::string &instance, core::TimePoint now);

    /**
     * @brief Takes over the record of the predecessor.
     * @param record Record from the store.
     * @param startedAt Time after this owner claimed the ownership.
     * @return Time by which each recorded instance may get commands; `std::nullopt` if the record is malformed.
     */
    [[nodiscard]] std::optional<EndTimes> restore(const std::string &record, core::TimePoint startedAt);

    /**
     * @brief Checks whether the record in the store asks a successor to wait much longer than necessary.
     * @param now Current time of the monotonic clock.
     * @return True if it lists instances and is old.
     */
    [[nodiscard]] bool isWriteDue(core::TimePoint now) const noexcept;

    /**
     * @brief Formats the record to be written now, and forgets instances that no longer need it.
     * @param now Current time of the monotonic clock.
     * @return JSON object with a number of milliseconds for each instance.
     */
    [[nodiscard]] std::string takeRecord(core::TimePoint now);

private:
    core::Duration m_delay;
    core::Duration m_maxFlight;
    EndTimes m_endTimes; /**< `core::TimePoint::max()` while a command is in flight. */
    core::TimePoint m_writtenAt;
    bool m_isRecordEmpty{true};
};

} // namespace oleanderwick::jobnode

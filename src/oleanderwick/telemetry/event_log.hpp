#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "fwd.hpp"

namespace oleanderwick::telemetry
{

/** @brief Log line of one event: its name and key=value pairs. */
class Event
{
public:
    /**
     * @brief Creates an event without pairs.
     * @param name Name of the event, in snake case.
     */
    explicit Event(std::string_view name = "none");

    /**
     * @brief Appends a pair; a value is quoted if it is empty or contains white space, quotes, equals signs or backslashes.
     * @param key Key, written as it is.
     * @param value Value; tabs and line breaks become spaces.
     * @return This event.
     */
    Event &with(std::string_view key, std::string_view value);

    /** @copydoc with */
    Event &with(std::string_view key, std::int64_t value);

    /**
     * @brief Appends formatted pairs.
     * @param pairs `key=value` pairs separated by spaces; may be empty.
     * @return This event.
     */
    Event &append(std::string_view pairs);

    /** @return The line, without time and line break. */
    [[nodiscard]] const std::string &line() const noexcept;

private:
    std::string m_line;
};

/** @brief Configures the log to write to standard output only; call it once, before the first event. */
void configureLog();

/**
 * @brief Writes an event to the log; thread-safe.
 * @param event Event to write.
 */
void log(const Event &event);

} // namespace oleanderwick::telemetry

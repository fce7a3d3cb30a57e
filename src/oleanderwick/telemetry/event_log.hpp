#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "fwd.hpp"

namespace oleanderwick::telemetry
{

/** @brief One event: a name and key=value pairs on one line. */
class Event
{
public:
    /**
     * @brief Starts an event.
     * @param name What happened, in snake case.
     */
    explicit Event(std::string_view name = "none");

    /**
     * @brief Adds a pair; texts with blanks or quotes are quoted.
     * @param key Its key.
     * @param value Its value.
     * @return The event itself.
     */
    Event &with(std::string_view key, std::string_view value);

    /** @copydoc with */
    Event &with(std::string_view key, std::int64_t value);

    /**
     * @brief Adds pairs that are written already.
     * @param pairs `key=value` pairs with blanks between them; may be empty.
     * @return The event itself.
     */
    Event &append(std::string_view pairs);

    /** @return The line. */
    [[nodiscard]] const std::string &line() const noexcept;

private:
    std::string m_line;
};

/** @brief Sends the log to standard output alone; once, before the first event. */
void startLog();

/**
 * @brief Writes an event; safe from any thread.
 * @param event Event to write.
 */
void log(const Event &event);

} // namespace oleanderwick::telemetry

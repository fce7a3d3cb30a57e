#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace oleanderwick::admission
{

/** @brief Load of one team on one queue. */
struct ShareFigures {
    double backlog{0.0}; /**< Work that waits, in core seconds. */
    double serviceRate{0.0}; /**< Jobs a second that the share has room for. */
    std::int64_t roomMs{0}; /**< Time until a new job finds room, in milliseconds. */
    double admit{1.0}; /**< Fraction of the offered jobs to admit, 0 to 1. */
    bool beyondRate{false}; /**< The team offers more than its rate. */

    [[nodiscard]] bool operator==(const ShareFigures &) const = default;
};

/** @brief Load of one queue. */
struct QueueFigures {
    std::map<std::string, ShareFigures> teams;
    ShareFigures others; /**< For teams that are not named. */

    [[nodiscard]] bool operator==(const QueueFigures &) const = default;
};

/** @brief Load figures that the owner publishes while the fleet is overloaded. */
struct LoadFigures {
    std::int64_t version{0}; /**< Grows with each publication, also over a change of owner with a correct clock. */
    std::int64_t wallMs{0}; /**< Unix time of the publication, in milliseconds. */
    bool overloaded{false}; /**< False for the publication that ends an overload. */
    std::map<std::string, QueueFigures> queues;

    /**
     * @brief Finds the figures that apply to a team's jobs on a queue.
     * @param queue Name of the queue.
     * @param team Name of the team.
     * @return The figures, or null if none limit the queue; valid while this object is unchanged.
     */
    [[nodiscard]] const ShareFigures *find(const std::string &queue, const std::string &team) const;

    [[nodiscard]] bool operator==(const LoadFigures &) const = default;
};

/**
 * @brief Serializes figures for the store.
 * @param figures Figures to serialize.
 * @return JSON text.
 */
[[nodiscard]] std::string toText(const LoadFigures &figures);

/**
 * @brief Parses published figures.
 * @param text JSON text that `toText` wrote.
 * @return The figures, or `std::nullopt` if the text is malformed or a value is out of range.
 */
[[nodiscard]] std::optional<LoadFigures> figuresFromText(std::string_view text);

} // namespace oleanderwick::admission

#include "load_figures.hpp"

#include <cmath>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::admission
{

namespace internal
{

using nlohmann::json;

/** A day; keeps times that are computed from the figures in range. */
constexpr std::int64_t maxRoomMs = 86'400'000;

/** Rounds to three decimals, which is enough for a decision and keeps the record small. */
double rounded(double value)
{
    return std::round(value * 1000.0) / 1000.0;
}

json toJson(const ShareFigures &share)
{
    return json::array({rounded(share.backlog), rounded(share.serviceRate), share.roomMs, rounded(share.admit), share.beyondRate ? 1 : 0});
}

ShareFigures toShare(const json &row)
{
    ShareFigures share;
    row.at(0).get_to(share.backlog);
    row.at(1).get_to(share.serviceRate);
    row.at(2).get_to(share.roomMs);
    row.at(3).get_to(share.admit);
    share.beyondRate = row.at(4).get<int>() != 0;
    const bool isInRange =
        share.backlog >= 0.0 && share.serviceRate >= 0.0 && share.roomMs >= 0 && share.roomMs <= maxRoomMs && share.admit >= 0.0 && share.admit <= 1.0;
    if (!isInRange) {
        throw std::out_of_range("a figure is out of range");
    }
    return share;
}

} // namespace internal

const ShareFigures *LoadFigures::find(const std::string &queue, const std::string &team) const
{
    const auto figures = queues.find(queue);
    if (figures == queues.end()) {
        return nullptr;
    }
    const auto share = figures->second.teams.find(team);
    return share == figures->second.teams.end() ? &figures->second.others : &share->second;
}

std::string toText(const LoadFigures &figures)
{
    internal::json queues = internal::json::object();
    for (const std::pair<const std::string, QueueFigures> &queue : figures.queues) {
        internal::json teams = internal::json::object();
        for (const std::pair<const std::string, ShareFigures> &team : queue.second.teams) {
            teams[team.first] = internal::toJson(team.second);
        }
        queues[queue.first] = {{"teams", std::move(teams)}, {"others", internal::toJson(queue.second.others)}};
    }
    const internal::json value{{"version", figures.version}, {"wall", figures.wallMs}, {"overloaded", figures.overloaded}, {"queues", std::move(queues)}};
    return value.dump(-1, ' ', false, internal::json::error_handler_t::replace);
}

std::optional<LoadFigures> figuresFromText(std::string_view text)
{
    try {
        const internal::json value = core::parseJsonOrDiscard(text);
        LoadFigures figures;
        value.at("version").get_to(figures.version);
        value.at("wall").get_to(figures.wallMs);
        value.at("overloaded").get_to(figures.overloaded);
        for (const auto &queue : value.at("queues").items()) {
            QueueFigures &parsed = figures.queues[queue.key()];
            parsed.others = internal::toShare(queue.value().at("others"));
            for (const auto &team : queue.value().at("teams").items()) {
                parsed.teams[team.key()] = internal::toShare(team.value());
            }
        }
        return figures;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace oleanderwick::admission

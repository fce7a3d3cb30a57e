#include "routes.hpp"

#include "wire.hpp"

namespace oleanderwick::platform
{

namespace internal
{

const json &readArray(const json &object, const char *name)
{
    static const json emptyArray = json::array();
    const auto field = object.find(name);
    return field != object.end() && field->is_array() ? *field : emptyArray;
}

jobs::QueuePolicy readQueuePolicy(const json &route)
{
    jobs::QueuePolicy queue;
    queue.pool = readString(route, "service");
    queue.priority = readInteger(route, "priority");
    queue.maxAttempts = readInteger(route, "max_attempts", 1);
    const auto stretch = route.find("stretch");
    queue.criticalPathFactor = stretch != route.end() && stretch->is_number() ? stretch->get<double>() : 1.0;
    queue.objectiveMs = readInteger(route, "slo_ms");
    queue.needsTicket = route.contains("advice") && route["advice"].is_object();
    return queue;
}

} // namespace internal

std::optional<std::pair<Routes, jobnode::OperatorUpdate>> Routes::parse(const std::string &text)
{
    const json body = parseObject(text);
    if (!body.is_object() || readInteger(body, "version") <= 0) {
        return std::nullopt;
    }
    Routes routes;
    jobs::FleetConfig fleet;
    for (const json &row : internal::readArray(body, "routes")) {
        const std::string name = readString(row, "name");
        routes.m_routes.push_back(Route{readString(row, "host"), readString(row, "prefix"), name, readBool(row, "public")});
        fleet.queues[name] = internal::readQueuePolicy(row);
    }
    for (const json &row : internal::readArray(body, "services")) {
        fleet.pools[readString(row, "name")] = jobs::PoolPolicy{readBool(row, "enforce_capacity", true), readBool(row, "standby")};
    }
    for (const json &row : internal::readArray(body, "tenants")) {
        const std::string name = readString(row, "name");
        const auto weight = row.find("weight");
        jobs::TeamPolicy team;
        team.weight = weight != row.end() && weight->is_number() ? weight->get<double>() : 1.0;
        team.rate = team.weight;
        team.limit = row.contains("cap") && row["cap"].is_object() ? readResources(row["cap"]) : jobs::Resources{};
        fleet.teams[name] = team;
        for (const json &key : internal::readArray(row, "api_keys")) {
            if (key.is_string()) {
                routes.m_teams[key.get<std::string>()] = name;
            }
        }
    }
    routes.m_policies = fleet.queues;
    jobnode::OperatorUpdate update;
    update.configVersion = readInteger(body, "version");
    update.config = std::move(fleet);
    return std::pair{std::move(routes), std::move(update)};
}

const Route *Routes::find(std::string_view host, std::string_view path) const
{
    const std::string_view name = host.substr(0, host.find(':'));
    const Route *best = nullptr;
    for (const Route &route : m_routes) {
        const bool matches = route.host == name && path.starts_with(route.prefix);
        if (matches && (best == nullptr || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best;
}

const std::string *Routes::teamOf(const std::string &key) const
{
    const auto found = m_teams.find(key);
    return found == m_teams.end() ? nullptr : &found->second;
}

jobs::QueuePolicy Routes::policyOf(const std::string &queue) const
{
    const auto found = m_policies.find(queue);
    return found == m_policies.end() ? jobs::QueuePolicy{} : found->second;
}

} // namespace oleanderwick::platform

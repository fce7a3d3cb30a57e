#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "oleanderwick/jobnode/translator.hpp"
#include "oleanderwick/jobs/jobs.hpp"

namespace oleanderwick::platform
{

/** @brief Route of the platform: assigns calls to a queue by their host and path. */
struct Route {
    std::string host;
    std::string prefix; /**< Prefix of the path; the rest of the path is the job id. */
    std::string queue;
    bool open{false}; /**< Calls need no API key; the platform calls such a route public. */
};

/** @brief Routes, API keys and queue policies of the platform's configuration. */
class Routes
{
public:
    /**
     * @brief Parses a configuration.
     * @param text JSON text of the configuration.
     * @return The routes, and the configuration of the scheduler; `std::nullopt` if the text is not an object with a positive version.
     */
    [[nodiscard]] static std::optional<std::pair<Routes, jobnode::OperatorUpdate>> parse(const std::string &text);

    /**
     * @brief Finds the route of a call: among those of its host, the one with the longest matching prefix.
     * @param host Host of the call, with or without a port.
     * @param path Path of the call, without the query.
     * @return The route, or null if none matches.
     */
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

    /**
     * @brief Finds the team that owns an API key.
     * @param key API key of a call.
     * @return Name of the team, or null for an unknown key.
     */
    [[nodiscard]] const std::string *teamOf(const std::string &key) const;

    /**
     * @brief Looks up the policy for the jobs of a queue.
     * @param queue Name of the queue.
     * @return The policy; a default-constructed one for an unknown queue.
     */
    [[nodiscard]] jobs::QueuePolicy policyOf(const std::string &queue) const;

private:
    std::vector<Route> m_routes;
    std::map<std::string, std::string> m_teams; /**< Team by API key. */
    std::map<std::string, jobs::QueuePolicy> m_policies; /**< Policy by queue. */
};

} // namespace oleanderwick::platform

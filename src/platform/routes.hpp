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

/** @brief How calls of submitters find their queue: the platform's route. */
struct Route {
    std::string host;
    std::string prefix; /**< Start of the path. */
    std::string queue;
    bool open{false}; /**< No key is asked for. */
};

/** @brief Configuration of the platform, as far as calls of submitters need it. */
class Routes
{
public:
    /**
     * @brief Reads a configuration.
     * @param text Text of the configuration.
     * @return The routes and what the scheduler needs, or nothing if it cannot be read.
     */
    [[nodiscard]] static std::optional<std::pair<Routes, jobnode::OperatorUpdate>> read(const std::string &text);

    /**
     * @brief Finds the route of a call: that of its host with the longest prefix.
     * @param host The call's host, with or without a port.
     * @param path The call's path.
     * @return The route, or null.
     */
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

    /**
     * @brief Finds the team of a key.
     * @param key The key.
     * @return The team, or null for an unknown key.
     */
    [[nodiscard]] const std::string *teamOf(const std::string &key) const;

    /**
     * @brief Finds how the jobs of a queue are treated.
     * @param queue Name of the queue.
     * @return The policy; a default one for an unknown queue.
     */
    [[nodiscard]] jobs::QueuePolicy policyOf(const std::string &queue) const;

private:
    std::vector<Route> m_routes;
    std::map<std::string, std::string> m_teams; /**< Team by key. */
    std::map<std::string, jobs::QueuePolicy> m_policies; /**< Policy by queue. */
};

} // namespace oleanderwick::platform

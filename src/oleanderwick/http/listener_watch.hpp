#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "server.hpp"

namespace oleanderwick::http
{

/** @brief Turns the figures of listeners into gauges and into a bounded number of reports for the log. */
class ListenerWatch
{
public:
    /** @brief Called with the name of a metric, with its label, and its value. */
    using OnGauge = std::function<void(const std::string &, std::int64_t)>;
    /** @brief Called with the name of a listener, what it refused or closed, and how often since the last call. */
    using OnRefusals = std::function<void(const std::string &, const char *, std::uint64_t)>;

    /**
     * @brief Adds a listener.
     * @param name Name of the listener in metrics and reports.
     * @param server Listener; has to outlive this object.
     */
    void add(const std::string &name, const Server &server);

    /**
     * @brief Sets the gauges of each listener.
     * @param onGauge Called for each gauge.
     */
    void exportGauges(const OnGauge &onGauge) const;

    /**
     * @brief Reports what listeners have refused or closed since the last call; to be called once a second.
     * @param onRefusals Called once for each kind that occurred on a listener.
     */
    void report(const OnRefusals &onRefusals);

private:
    struct Listener {
        std::string name;
        const Server *server;
        ServerFigures reported;
    };

    std::vector<Listener> m_listeners;
};

} // namespace oleanderwick::http

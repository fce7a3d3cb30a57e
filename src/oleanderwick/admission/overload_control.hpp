#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "../core/core.hpp"
#include "load_figures.hpp"

namespace oleanderwick::admission
{

/** @brief What one team has on one queue, as the owner knows it. */
struct ShareDemand {
    std::string pool;
    std::string queue;
    std::string team;
    std::uint64_t arrivedJobs{0}; /**< Jobs that have arrived since the start of the owner's term. */
    double arrivedWork{0.0}; /**< Their work in core seconds, by estimates. */
    double backlog{0.0}; /**< Work that waits, in core seconds, by estimates. */
};

/** @brief Load of one pool, as the owner knows it. */
struct PoolState {
    double capacity{0.0}; /**< Cores that work may use. */
    bool overloaded{false}; /**< More timely work is ready than the pool can take, or the oldest timely job waits for too long. */
};

/** @brief Input of one step of the control. */
struct FleetDemand {
    std::map<std::string, PoolState> pools;
    std::vector<ShareDemand> shares;
    std::map<std::string, double> rates; /**< Rate of each team in jobs a second; a team that is missing or 0 has none. */
    bool ownerOverloaded{false}; /**< The owner's cycles can't keep up with its events. */
};

/**
 * @brief Computes the published load figures from what the owner sees.
 *
 * The owner sees admitted jobs only, so the offered load is estimated from these and from the fraction that was published. Each pool is divided
 * among teams by water-filling, with their rates as weights, and each team's part among its queues. Without I/O, not thread-safe.
 */
class OverloadControl
{
public:
    /**
     * @brief Checks whether `update()` is due.
     * @param now Current time of the monotonic clock.
     * @return True twice a second during an overload, more often while there is none and nothing is published.
     */
    [[nodiscard]] bool isDue(core::TimePoint now) const noexcept;

    /**
     * @brief Takes a step.
     * @param demand What the owner sees.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     * @return Figures to publish; nothing while the fleet isn't overloaded, except once when an overload ends.
     */
    [[nodiscard]] std::optional<LoadFigures> update(const FleetDemand &demand, core::TimePoint now, std::int64_t wallMs);

    /**
     * @brief Continues after figures of a previous owner.
     * @param figures Last published figures.
     */
    void restore(const LoadFigures &figures);

private:
    /** Pool, queue and team. */
    using Name = std::tuple<std::string, std::string, std::string>;

    struct Share {
        std::uint64_t seenJobs{0};
        double seenWork{0.0};
        double offeredJobs{0.0}; /**< Jobs a second, including those that were refused. */
        double newestOffered{0.0}; /**< The same since the last update only. */
        double sustainedJobs{0.0}; /**< The same over a longer time, for the comparison with the team's rate. */
        double workPerJob{0.0}; /**< Core seconds. */
        double backlog{0.0};
        double fair{0.0}; /**< Cores by water-filling. */
        bool isLimited{false}; /**< `figures` is what this owner decided; otherwise what a previous owner published applies. */
        ShareFigures figures;
    };

    void observe(const FleetDemand &demand, double seconds);
    void divide(const std::string &pool, double capacity, const std::map<std::string, double> &rates);
    void limit(const std::string &pool, const PoolState &state, double capacity, const std::map<std::string, double> &rates);
    void takeNewestOffered(const std::string &pool);
    [[nodiscard]] bool isControlled(const std::string &pool, core::TimePoint now) const;
    [[nodiscard]] std::map<std::string, double> sumByTeam(double Share::*figure) const;
    [[nodiscard]] double admitOf(const Name &name, const Share &share) const;

    std::map<Name, Share> m_shares;
    std::map<std::string, core::TimePoint> m_overloadedAt; /**< Last time at which each pool was overloaded. */
    std::optional<core::TimePoint> m_updatedAt;
    double m_ownerFactor{1.0}; /**< Part of the capacity that an overloaded owner can keep busy. */
    bool m_published{false}; /**< The last published figures say overloaded. */
    std::int64_t m_version{0};
    LoadFigures m_restored; /**< Last figures of a previous owner. */
};

/**
 * @brief Divides an amount by weighted water-filling: nobody gets more than it demands, and what it doesn't use goes to the others.
 * @param demands Demands by name.
 * @param weights Weights by name; a missing one is 1.
 * @param amount Amount to divide.
 * @return Parts by name.
 */
[[nodiscard]] std::map<std::string, double> waterFill(const std::map<std::string, double> &demands,
                                                      const std::map<std::string, double> &weights,
                                                      double amount);

} // namespace oleanderwick::admission

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::admission
{

/** @brief Request that waits for a slot. */
struct QueuedRequest {
    RequestNumber number{};
    core::TeamId team;
    core::QueueId queue;
    bool urgent{false}; /**< Placed before the team's normal requests on the queue. */
    core::TimePoint arrival;
    core::TimePoint latestStart; /**< The request expires at this time if it has not started. */

    [[nodiscard]] bool operator==(const QueuedRequest &) const = default;
};

/** @brief Load of one team on this node. */
struct TeamLoad {
    core::TeamId team;
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t recentPeak{}; /**< Recent peak of running requests; decays with a time constant of about one second. */
    core::Duration oldestWait{}; /**< Longest waiting time of the requests at the front of the team's queues; zero if none waits. */

    [[nodiscard]] bool operator==(const TeamLoad &) const = default;
};

/**
 * @brief Requests that wait for one pool, ordered for weighted max-min fairness of running requests.
 *
 * On each node a team's share is scaled by the part of the team's demand that is on that node. The team with the fewest
 * running requests for its scaled share is served first, with a correction of rounding errors so that each team gets its
 * share on average. Within a team, the queue with the fewest running requests is served first. A team without a share is
 * served when no other team can start a request. `pop` is linear in teams and queues, the other
 * operations are at most linear in teams, queues and waiting requests.
 */
class FairQueue
{
public:
    using size_type = std::size_t;
    /** @brief Predicate that returns whether a team may start one more request. */
    using Eligible = std::function<bool(const core::TeamId &)>;

    /** @return Number of waiting requests. */
    [[nodiscard]] size_type size() const noexcept;

    /**
     * @brief Counts the waiting requests of a queue over all teams.
     * @param queue Queue to look up.
     * @return Number of waiting requests.
     */
    [[nodiscard]] size_type waiting(const core::QueueId &queue) const;

    /**
     * @brief Counts the waiting requests of a team over all queues.
     * @param team Team to look up.
     * @return Number of waiting requests.
     */
    [[nodiscard]] size_type waiting(const core::TeamId &team) const;

    /**
     * @brief Counts the running requests of a team on this node.
     * @param team Team to look up.
     * @return Number of running requests.
     */
    [[nodiscard]] std::uint32_t running(const core::TeamId &team) const;

    /**
     * @brief Returns the load of each team on this node.
     * @param now Current time of the monotonic clock.
     * @return Loads of the teams that have running, waiting or recent requests.
     */
    [[nodiscard]] std::vector<TeamLoad> loads(core::TimePoint now) const;

    /**
     * @brief Returns whether an eligible team has a waiting request.
     * @param eligible Predicate for the teams that may start a request.
     * @return True if there is at least one.
     */
    [[nodiscard]] bool anyWaiting(const Eligible &eligible) const;

    /**
     * @brief Sets the share of a team, which is its weight.
     * @param team Team to change.
     * @param share Weight; zero serves the team only when no other team can start a request.
     */
    void setShare(const core::TeamId &team, std::uint32_t share);

    /**
     * @brief Sets the demand of a team for this pool on the other nodes.
     * @param team Team to change.
     * @param count Running and waiting requests on the other nodes.
     */
    void setRemoteDemand(const core::TeamId &team, std::uint32_t count);

    /** @brief Resets the demand on the other nodes to zero for all teams. */
    void clearRemoteDemand();

    /** @brief Decays the recent peak of each team and updates the correction of rounding errors; called at most once every `decayPeriod`. */
    void decay();

    /** @brief Minimum time between two calls of `decay`. */
    static constexpr core::Duration decayPeriod = std::chrono::milliseconds{10};

    /**
     * @brief Adds a request behind its team's requests on the queue; an urgent one goes ahead of the normal ones.
     * @param request Request to add.
     */
    void push(QueuedRequest request);

    /**
     * @brief Frees a place on a full queue by removing the last request of the team with the most requests there.
     * @param queue Full queue.
     * @param team Team that needs a place.
     * @return The removed request, or `std::nullopt` unless that team has at least two requests more there than `team`.
     */
    [[nodiscard]] std::optional<QueuedRequest> evict(const core::QueueId &queue, const core::TeamId &team);

    /**
     * @brief Removes the request to serve next and counts it as running.
     * @param eligible Predicate for the teams that may start a request.
     * @return The request, or `std::nullopt` if no eligible team has a waiting request.
     */
    [[nodiscard]] std::optional<QueuedRequest> pop(const Eligible &eligible);

    /**
     * @brief Counts a running request as finished.
     * @param team Team of the request.
     * @param queue Queue of the request.
     */
    void finish(const core::TeamId &team, const core::QueueId &queue);

    /**
     * @brief Removes a waiting request.
     * @param number Number of the request.
     * @return The removed request, or `std::nullopt` if no waiting request has this number.
     */
    std::optional<QueuedRequest> erase(RequestNumber number);

    /**
     * @brief Removes the requests whose latest start has been reached.
     * @param now Current time of the monotonic clock.
     * @return Removed requests.
     */
    [[nodiscard]] std::vector<QueuedRequest> expire(core::TimePoint now);

private:
    struct TeamQueue {
        std::deque<QueuedRequest> requests;
        std::uint32_t running{0};
    };
    struct TeamState {
        std::map<core::QueueId, TeamQueue> queues;
        std::uint32_t share{0};
        std::uint32_t running{0};
        std::uint32_t remoteDemand{0};
        size_type waiting{0};
        double recentPeak{0.0};
        double credit{0.0}; /**< Accumulated rounding error in running requests, as a share of few slots is rarely a whole number. */
    };

    [[nodiscard]] static core::Duration oldestWait(const TeamState &state, core::TimePoint now);
    [[nodiscard]] static double weight(const TeamState &state);
    [[nodiscard]] static double usagePerWeight(const TeamState &state);
    void updateCredits();
    [[nodiscard]] TeamQueue &nextQueue(TeamState &state);

    std::map<core::TeamId, TeamState> m_teams;
    size_type m_size{0};
};

} // namespace oleanderwick::admission

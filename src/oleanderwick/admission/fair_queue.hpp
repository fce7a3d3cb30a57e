#pragma once

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

/** @brief Request that waits for room. */
struct Waiting {
    RequestNumber number{};
    core::TeamId team;
    core::QueueId queue;
    bool urgent{false}; /**< Goes before the team's other requests on the queue. */
    core::TimePoint arrival;
    core::TimePoint latestStart; /**< Refused when it has not started by then. */

    [[nodiscard]] bool operator==(const Waiting &) const = default;
};

/**
 * @brief Requests that wait for one pool, ordered for weighted max-min shares of its running work.
 *
 * The team with the least running work for its share goes first; within a team the queue with the least running work.
 * A team without a share goes when no other team can. All operations are at most linear in teams and queues that wait.
 */
class FairQueue
{
public:
    using size_type = std::size_t;
    /** @brief Tells whether a team may start one more request. */
    using Eligible = std::function<bool(const core::TeamId &)>;

    /** @return Requests that wait. */
    [[nodiscard]] size_type size() const noexcept;

    /**
     * @brief Counts the requests of a queue that wait.
     * @param queue Queue asked for.
     * @return Their number.
     */
    [[nodiscard]] size_type waiting(const core::QueueId &queue) const;

    /**
     * @brief Counts the requests of a team that wait.
     * @param team Team asked for.
     * @return Their number.
     */
    [[nodiscard]] size_type waiting(const core::TeamId &team) const;

    /**
     * @brief Counts the running requests of a team on this node.
     * @param team Team asked for.
     * @return Their number.
     */
    [[nodiscard]] std::uint32_t running(const core::TeamId &team) const;

    /** @return Running requests of each team on this node; teams without any are left out. */
    [[nodiscard]] std::map<core::TeamId, std::uint32_t> running() const;

    /** @return Teams that wait. */
    [[nodiscard]] std::vector<core::TeamId> waitingTeams() const;

    /**
     * @brief Tells how much a team has for its share; the least goes first.
     * @param team Team asked for.
     * @return Running work over the share; infinite for a team without one.
     */
    [[nodiscard]] double pressure(const core::TeamId &team) const;

    /**
     * @brief Tells the least pressure of all teams that wait.
     * @param eligible Teams that count.
     * @return The least pressure, or nothing if no eligible team waits.
     */
    [[nodiscard]] std::optional<double> leastPressure(const Eligible &eligible) const;

    /**
     * @brief Sets the weight of a team.
     * @param team Team to weigh.
     * @param share Its weight.
     */
    void setShare(const core::TeamId &team, std::uint32_t share);

    /**
     * @brief Sets what a team has running in this pool on other nodes.
     * @param team Team to set.
     * @param count Running requests elsewhere.
     */
    void setElsewhere(const core::TeamId &team, std::uint32_t count);

    /** @brief Forgets what is running on other nodes. */
    void clearElsewhere();

    /**
     * @brief Adds a request.
     * @param request Request that waits.
     */
    void push(Waiting request);

    /**
     * @brief Takes the request that goes next and counts it as running.
     * @param eligible Teams that may start one.
     * @return The request, or nothing if no eligible team waits.
     */
    [[nodiscard]] std::optional<Waiting> pop(const Eligible &eligible);

    /**
     * @brief Counts a request as ended.
     * @param team Its team.
     * @param queue Its queue.
     */
    void finish(const core::TeamId &team, const core::QueueId &queue);

    /**
     * @brief Removes a request that no longer waits for its turn.
     * @param number Its number.
     * @return The request, or nothing if it does not wait.
     */
    std::optional<Waiting> erase(RequestNumber number);

    /**
     * @brief Removes the requests that can no longer start in time.
     * @param now Present time.
     * @return The removed requests.
     */
    [[nodiscard]] std::vector<Waiting> expire(core::TimePoint now);

private:
    struct Lane {
        std::deque<Waiting> requests;
        std::uint32_t running{0};
    };
    struct TeamState {
        std::map<core::QueueId, Lane> lanes;
        std::uint32_t share{0};
        std::uint32_t running{0};
        std::uint32_t elsewhere{0};
        size_type waiting{0};
    };

    [[nodiscard]] static double pressure(const TeamState &state);
    [[nodiscard]] Lane &nextLane(TeamState &state);

    std::map<core::TeamId, TeamState> m_teams;
    size_type m_size{0};
};

} // namespace oleanderwick::admission

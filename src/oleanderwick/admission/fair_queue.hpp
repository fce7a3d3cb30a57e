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

/** @brief Requests of one team. */
struct TeamLoad {
    core::TeamId team;
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t recent{}; /**< Running and waiting at its height, forgotten within a second or so. */
    core::Duration waited{}; /**< Time that the oldest one has waited. */

    [[nodiscard]] bool operator==(const TeamLoad &) const = default;
};

/**
 * @brief Requests that wait for one pool, ordered for weighted max-min shares of its running work.
 *
 * A team's share counts on each node in proportion to the team's demand there. The team with the least running work for
 * it goes first, rounded so that each gets its share in the mean; within a team the queue with the least running work. A team without a share goes when no
 * other team can. All operations are at most linear in teams and queues that wait.
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

    /**
     * @brief Tells what each team has running and waiting on this node; teams with neither are left out.
     * @param now Present time.
     * @return Their loads.
     */
    [[nodiscard]] std::vector<TeamLoad> loads(core::TimePoint now) const;

    /**
     * @brief Tells whether any team waits that may start a request.
     * @param eligible Teams that count.
     * @return True if one does.
     */
    [[nodiscard]] bool anyWaiting(const Eligible &eligible) const;

    /**
     * @brief Sets the weight of a team.
     * @param team Team to weigh.
     * @param share Its weight.
     */
    void setShare(const core::TeamId &team, std::uint32_t share);

    /**
     * @brief Sets what a team asks of this pool on other nodes.
     * @param team Team to set.
     * @param count Running and waiting requests elsewhere.
     */
    void setElsewhere(const core::TeamId &team, std::uint32_t count);

    /** @brief Forgets what is asked on other nodes. */
    void clearElsewhere();

    /** @brief Forgets a part of what each team asked of late, and makes up for rounding; called every `agePeriod`. */
    void age();

    /** @brief Time between two calls of `age`. */
    static constexpr core::Duration agePeriod = std::chrono::milliseconds{10};

    /**
     * @brief Adds a request.
     * @param request Request that waits.
     */
    void push(Waiting request);

    /**
     * @brief Makes room for a team on a full queue, at the cost of the team with the most requests there.
     * @param queue Full queue.
     * @param team Team that needs room.
     * @return The newest request of that team, removed; nothing if no team has more there than the one in need.
     */
    [[nodiscard]] std::optional<Waiting> evict(const core::QueueId &queue, const core::TeamId &team);

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
        double recent{0.0};
        double credit{0.0}; /**< Running work owed, since shares of few slots are no whole numbers. */
    };

    [[nodiscard]] static core::Duration oldestWait(const TeamState &state, core::TimePoint now);
    [[nodiscard]] static double weight(const TeamState &state);
    [[nodiscard]] static double pressure(const TeamState &state);
    void updateCredits();
    [[nodiscard]] Lane &nextLane(TeamState &state);

    std::map<core::TeamId, TeamState> m_teams;
    size_type m_size{0};
};

} // namespace oleanderwick::admission

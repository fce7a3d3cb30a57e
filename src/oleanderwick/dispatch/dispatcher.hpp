#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "../allotment/allotment.hpp"
#include "messages.hpp"

namespace oleanderwick::dispatch
{

/**
 * @brief Life of every request on one node: admission, turn, upstream, retries, outcome.
 *
 * Does no I/O and reads no clock; each call takes the present time and returns what the I/O has to do.
 */
class Dispatcher
{
public:
    using size_type = std::size_t;

    /**
     * @brief Starts without a configuration; everything is refused.
     * @param zone Availability zone of the node.
     * @param seed Seed of the random choices.
     * @param holder Rights of the node; has to outlive the dispatcher.
     */
    Dispatcher(std::string zone, std::uint64_t seed, allotment::Holder &holder);

    /** @return Requests that wait or run. */
    [[nodiscard]] size_type size() const noexcept;

    /** @return True if a request waits for a right that the node lacks. */
    [[nodiscard]] bool starved() const noexcept;

    /**
     * @brief Tells what runs and waits on this node.
     * @param now Present time.
     * @return Its demands.
     */
    [[nodiscard]] std::vector<allotment::TeamDemand> demands(core::TimePoint now) const;

    /** @return Ended requests since the last call. */
    [[nodiscard]] std::vector<Completion> takeCompletions();

    /**
     * @brief Puts a configuration in force.
     * @param snapshot Configuration.
     * @param now Present time.
     * @return Refusals of waiting requests that it no longer allows, and new starts.
     */
    [[nodiscard]] Actions configure(config::SnapshotPtr snapshot, core::TimePoint now);

    /**
     * @brief Sets how long the node may rely on its configuration and rights.
     * @param until Time from which a newer configuration may be in force elsewhere.
     */
    void setFreshUntil(core::TimePoint until) noexcept;

    /**
     * @brief Sets the instances that get no new work because of maintenance.
     * @param instances Their names; replaces those before.
     * @param now Present time.
     * @return Starts that became possible.
     */
    [[nodiscard]] Actions setOutOfService(std::set<core::InstanceId> instances, core::TimePoint now);

    /** @brief Refuses new requests from now on; those taken go on. */
    void stop() noexcept;

    /**
     * @brief Sets what is asked on all other nodes together.
     * @param demands Running and waiting requests by pool and team.
     */
    void setElsewhere(const std::vector<allotment::TeamDemand> &demands);

    /**
     * @brief Takes a request.
     * @param arrival Request.
     * @param now Present time.
     * @return Its refusal or start, if it does not wait.
     */
    [[nodiscard]] Actions arrive(const Arrival &arrival, core::TimePoint now);

    /**
     * @brief Takes the end of an attempt.
     * @param end How it ended.
     * @param now Present time.
     * @return Delivery, retry or refusal, and starts in the freed room.
     */
    [[nodiscard]] Actions attemptEnded(const AttemptEnd &end, core::TimePoint now);

    /**
     * @brief Refuses what cannot start in time and starts what can.
     * @param now Present time.
     * @return Actions that are due.
     */
    [[nodiscard]] Actions tick(core::TimePoint now);

    /**
     * @brief Tells the holder what this node uses and needs.
     * @param now Present time.
     */
    void updateDemand(core::TimePoint now);

private:
    struct Request {
        core::TeamId team;
        core::QueueId queue;
        core::PoolId pool;
        core::KeyId key;
        bool idempotent{false};
        bool urgent{false};
        core::TimePoint arrival;
        core::TimePoint deadline;
        core::TimePoint firstStart;
        core::TimePoint attemptStart;
        core::InstanceId upstream; /**< Set while an attempt is under way. */
        core::InstanceId avoid; /**< Upstream of the attempt before. */
        std::uint32_t attempts{0};
        core::Outcome outcome{core::Outcome::NotRun};
    };
    struct PoolState {
        PoolState(core::PoolId pool, std::string zone)
            : id{std::move(pool)}
            , upstreams{std::move(zone)}
        {
        }
        core::PoolId id;
        admission::FairQueue queue;
        routing::UpstreamTable upstreams;
        std::uint32_t running{0};
    };
    /** @brief Use that may go on at an upstream after its exchange broke. */
    struct Lingering {
        core::TimePoint until;
        core::PoolId pool;
        core::TeamId team;
        core::QueueId queue;
        core::InstanceId upstream;
    };
    using Requests = std::unordered_map<admission::RequestNumber, Request>;

    [[nodiscard]] std::optional<core::Refusal> check(const Arrival &arrival, core::TimePoint now, core::TeamId &team) const;
    [[nodiscard]] std::optional<core::Refusal> checkRoom(const PoolState &pool, const Request &request, core::TimePoint now) const;
    [[nodiscard]] Request makeRequest(const Arrival &arrival, const core::TeamId &team, core::TimePoint now) const;
    [[nodiscard]] bool eligible(const core::TeamId &team) const;
    [[nodiscard]] core::Duration attemptTimeout(const Request &request, core::TimePoint now) const;
    [[nodiscard]] core::Duration retryAfter(const Request &request, const PoolState &pool) const;
    [[nodiscard]] std::uint32_t freeSlots(const PoolState &pool, const core::InstanceId &instance) const;
    [[nodiscard]] std::optional<core::InstanceId> choose(const PoolState &pool, const core::InstanceId &avoid, core::TimePoint now);
    [[nodiscard]] bool stillAllowed(const Request &request) const;
    [[nodiscard]] PoolState &poolOf(const core::PoolId &id);

    [[nodiscard]] bool makeRoom(PoolState &pool, const Request &request, core::TimePoint now, Actions &actions);
    void enqueue(admission::RequestNumber number, const Request &request, bool urgent);
    void pump(PoolState &pool, core::TimePoint now, Actions &actions);
    void pumpAll(core::TimePoint now, Actions &actions);
    void startAttempt(Requests::iterator entry, PoolState &pool, const core::InstanceId &upstream, core::TimePoint now, Actions &actions);
    void retryOrRefuse(Requests::iterator entry, const routing::Verdict &verdict, core::TimePoint now, Actions &actions);
    void refuse(Requests::iterator entry, core::Refusal refusal, core::TimePoint now, Actions &actions);
    void complete(Requests::iterator entry, std::string reason, core::TimePoint now);
    void release(const Lingering &use);
    void releaseLingering(core::TimePoint now);
    void refuseExpired(PoolState &pool, core::TimePoint now, Actions &actions);
    void assignUpstreams(core::TimePoint now);
    void refuseDisallowed(core::TimePoint now, Actions &actions);

    std::string m_zone;
    routing::RandomEngine m_random;
    allotment::Holder &m_holder;
    config::SnapshotPtr m_snapshot;
    std::set<core::InstanceId> m_outOfService;
    core::TimePoint m_freshUntil{core::TimePoint::max()};
    bool m_stopping{false};
    core::TimePoint m_lastAge;
    Requests m_requests;
    std::map<core::PoolId, PoolState> m_pools;
    std::map<core::TeamId, std::uint32_t> m_teamRunning;
    std::map<core::InstanceId, std::uint32_t> m_instanceRunning;
    std::map<core::QueueId, routing::RetryBudget> m_budgets;
    admission::RunTimes m_runTimes;
    std::vector<Lingering> m_lingering;
    std::vector<Completion> m_completions;
};

} // namespace oleanderwick::dispatch

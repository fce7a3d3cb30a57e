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
 * @brief Manages the requests on one node: admission, queueing, choice of upstream, retries, outcome.
 *
 * Performs no I/O and reads no clock; calls take the current time and return the actions for the I/O layer.
 */
class Dispatcher
{
public:
    using size_type = std::size_t;

    /**
     * @brief Creates a dispatcher without a configuration, which refuses all requests.
     * @param zone Availability zone of the node.
     * @param seed Seed of the random engine.
     * @param holder Permits of the node; has to outlive the dispatcher.
     */
    Dispatcher(std::string zone, std::uint64_t seed, allotment::PermitHolder &holder);

    /** @return Number of waiting and running requests. */
    [[nodiscard]] size_type size() const noexcept;

    /** @return True if a request waits on this node. */
    [[nodiscard]] bool hasWaitingRequests() const noexcept;

    /**
     * @brief Returns the demand of this node by pool and team.
     * @param now Current time of the monotonic clock.
     * @return Demands of the teams that have running, waiting or recent requests.
     */
    [[nodiscard]] std::vector<allotment::TeamDemand> demands(core::TimePoint now) const;

    /** @return Requests completed since the last call, including refused ones. */
    [[nodiscard]] std::vector<Completion> takeCompletions();

    /**
     * @brief Applies a configuration.
     * @param snapshot Configuration; ignored unless its version is higher than the current one.
     * @param now Current time of the monotonic clock.
     * @return Refusals of waiting requests that it no longer allows, and starts of other ones.
     */
    [[nodiscard]] Actions configure(config::SnapshotPtr snapshot, core::TimePoint now);

    /**
     * @brief Sets how long the node may rely on its configuration and permits.
     * @param until Time from which other nodes may use a newer configuration; from then on new requests are refused and none starts.
     */
    void setFreshUntil(core::TimePoint until) noexcept;

    /**
     * @brief Sets the instances that get no new requests because of maintenance.
     * @param instances Instances out of service; replace all earlier ones.
     * @param now Current time of the monotonic clock.
     * @return Starts that became possible.
     */
    [[nodiscard]] Actions setOutOfService(std::set<core::InstanceId> instances, core::TimePoint now);

    /** @brief Refuses new requests from now on; requests that wait or run continue. */
    void stop() noexcept;

    /**
     * @brief Sets the demand on all other nodes together.
     * @param demands Running and waiting requests by pool and team; replace all earlier ones.
     */
    void setRemoteDemands(const std::vector<allotment::TeamDemand> &demands);

    /**
     * @brief Handles a new request.
     * @param arrival Request.
     * @param now Current time of the monotonic clock.
     * @return Refusal of this request or of one that it displaced, and possible starts; empty if this request only waits.
     */
    [[nodiscard]] Actions handleArrival(const Arrival &arrival, core::TimePoint now);

    /**
     * @brief Handles the result of an attempt.
     * @param result Number and outcome; ignored if the request has no attempt in flight.
     * @param now Current time of the monotonic clock.
     * @return Delivery, retry or refusal, and starts in freed slots.
     */
    [[nodiscard]] Actions handleAttemptResult(const AttemptResult &result, core::TimePoint now);

    /**
     * @brief Refuses waiting requests whose latest start has been reached, frees permits of uncertain runs past their deadline, starts requests.
     * @param now Current time of the monotonic clock.
     * @return Refusals and starts.
     */
    [[nodiscard]] Actions tick(core::TimePoint now);

    /**
     * @brief Passes the demands and the permits in use to the permit holder.
     * @param now Current time of the monotonic clock.
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
        core::InstanceId upstream; /**< Set while an attempt is in flight. */
        core::InstanceId previousUpstream; /**< Upstream of the previous attempt. */
        std::uint32_t attempts{0};
        std::uint32_t lostUpstreams{0}; /**< Attempts whose upstream closed the connection while the request may have been running. */
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
    /** @brief Permits of a run; kept until `until` if the run may continue on the upstream after its exchange failed. */
    struct RunPermits {
        core::TimePoint until;
        core::PoolId pool;
        core::TeamId team;
        core::QueueId queue;
        core::InstanceId upstream;
    };
    using Requests = std::unordered_map<admission::RequestNumber, Request>;

    [[nodiscard]] std::optional<core::Refusal> checkArrival(const Arrival &arrival, core::TimePoint now, core::TeamId &team) const;
    [[nodiscard]] std::optional<core::Refusal> checkStartInTime(const PoolState &pool, const Request &request, core::TimePoint now) const;
    [[nodiscard]] Request makeRequest(const Arrival &arrival, const core::TeamId &team, core::TimePoint now) const;
    [[nodiscard]] bool eligible(const core::TeamId &team) const;
    [[nodiscard]] core::Duration attemptTimeout(const Request &request, core::TimePoint now) const;
    [[nodiscard]] core::Duration retryAfter(const Request &request, const PoolState &pool) const;
    [[nodiscard]] std::uint32_t freeSlots(const PoolState &pool, const core::InstanceId &instance) const;
    [[nodiscard]] std::optional<core::InstanceId> choose(const PoolState &pool, const core::InstanceId &previousUpstream, core::TimePoint now);
    [[nodiscard]] bool stillAllowed(const Request &request) const;
    [[nodiscard]] PoolState &poolOf(const core::PoolId &id);

    [[nodiscard]] bool ensureQueueSpace(PoolState &pool, const Request &request, core::TimePoint now, Actions &actions);
    void enqueue(admission::RequestNumber number, const Request &request, bool urgent);
    void startWaiting(PoolState &pool, core::TimePoint now, Actions &actions);
    void startAllWaiting(core::TimePoint now, Actions &actions);
    void startAttempt(Requests::iterator entry, PoolState &pool, const core::InstanceId &upstream, core::TimePoint now, Actions &actions);
    void retryOrRefuse(Requests::iterator entry, const routing::RetryDecision &decision, core::TimePoint now, Actions &actions);
    void refuse(Requests::iterator entry, core::Refusal refusal, core::TimePoint now, Actions &actions);
    void complete(Requests::iterator entry, std::string reason, core::TimePoint now);
    void release(const RunPermits &run);
    void releaseUncertainRuns(core::TimePoint now);
    void refuseExpired(PoolState &pool, core::TimePoint now, Actions &actions);
    void applyInstancesAndLimits(core::TimePoint now);
    void refuseDisallowed(core::TimePoint now, Actions &actions);

    std::string m_zone;
    routing::RandomEngine m_random;
    allotment::PermitHolder &m_holder;
    config::SnapshotPtr m_snapshot;
    std::set<core::InstanceId> m_outOfService;
    core::TimePoint m_freshUntil{core::TimePoint::max()};
    bool m_stopping{false};
    core::TimePoint m_lastDecay;
    Requests m_requests;
    std::map<core::PoolId, PoolState> m_pools;
    std::map<core::TeamId, std::uint32_t> m_teamRunning;
    std::map<core::InstanceId, std::uint32_t> m_instanceRunning;
    std::map<core::QueueId, routing::RetryBudget> m_budgets;
    admission::RunTimes m_runTimes;
    std::vector<RunPermits> m_uncertainRuns;
    std::vector<Completion> m_completions;
};

} // namespace oleanderwick::dispatch

#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "../../allotment/allotment.hpp"
#include "../../core/core.hpp"

namespace oleanderwick::dispatch
{

namespace internal
{

inline constexpr std::uint32_t maxAttempts = 3;
inline constexpr std::uint32_t maxLostUpstreams = 2; /**< A request under which two upstreams broke off may be what crashes them. */
inline constexpr core::Duration minRetryAfter = std::chrono::seconds{1}; /**< Lower bound of an estimated waiting time; also for a node that stops. */
inline constexpr core::Duration fixedRetryAfter = std::chrono::seconds{2}; /**< For refusals without an estimated waiting time. */
/** An attempt that may be retried times out at half the remaining time if more than this many mean runs fit into it. */
inline constexpr int meanRunsInTimeLeft = 8;

inline constexpr int statusUnauthorized = 401;
inline constexpr int statusForbidden = 403;
inline constexpr int statusNotFound = 404;
inline constexpr int statusTooMany = 429;
inline constexpr int statusBadGateway = 502;
inline constexpr int statusUnavailable = 503;
inline constexpr int statusTimeout = 504;

/** Creates a refusal with the outcome `NotRun`. */
[[nodiscard]] inline core::Refusal notRun(int status, std::string reason, core::Duration retryAfter = core::Duration::zero())
{
    return core::Refusal{status, core::Outcome::NotRun, std::move(reason), retryAfter};
}

/** Returns the identifier of a team's upper limit. */
[[nodiscard]] inline allotment::LimitId teamLimit(const core::TeamId &team)
{
    return allotment::LimitId{allotment::LimitId::Kind::Team, team.text()};
}

/** Returns the identifier of the limit on an instance's slots. */
[[nodiscard]] inline allotment::LimitId instanceLimit(const core::InstanceId &instance)
{
    return allotment::LimitId{allotment::LimitId::Kind::Instance, instance.text()};
}

/** Returns the group of a pool's slots. */
[[nodiscard]] inline allotment::Group poolGroup(const core::PoolId &pool)
{
    return allotment::Group{allotment::Group::Kind::Pool, pool.text()};
}

} // namespace internal

} // namespace oleanderwick::dispatch

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "../admission/admission.hpp"
#include "../config/config.hpp"
#include "../core/core.hpp"
#include "../routing/routing.hpp"
#include "fwd.hpp"

namespace oleanderwick::dispatch
{

/** @brief Request that has been received completely. */
struct Arrival {
    admission::RequestNumber number{};
    core::QueueId queue;
    std::optional<config::PresentedKey> key;
    bool idempotent{false};
    bool urgent{false};
    core::Duration timeout{}; /**< Timeout set by the caller, reduced to the queue's timeout if longer; zero for the queue's timeout. */

    [[nodiscard]] bool operator==(const Arrival &) const = default;
};

/** @brief Result of an attempt. */
struct AttemptResult {
    admission::RequestNumber number{};
    routing::ExchangeOutcome outcome{routing::ExchangeOutcome::NotConnected};
    bool leaving{false}; /**< The upstream reported that it is leaving. */

    [[nodiscard]] bool operator==(const AttemptResult &) const = default;
};

/** @brief Action: send the request to an upstream. */
struct StartAttempt {
    admission::RequestNumber number{};
    core::InstanceId upstream;
    std::string address;
    std::uint32_t attempt{}; /**< Number of the attempt, from 1. */
    core::Duration timeout{}; /**< Time limit for the complete response. */
    core::Duration remaining{}; /**< Time until the request's deadline, sent to the upstream. */
    bool freshConnection{false}; /**< Use only a connection that is new or was used within the last second. */
    std::uint32_t idleConnections{}; /**< Maximum number of idle connections to it from all nodes together. */
    core::TimePoint validUntil; /**< The attempt must not be sent from this time on, as the fleet may regard the node as departed. */

    [[nodiscard]] bool operator==(const StartAttempt &) const = default;
};

/** @brief Action: send a refusal to the caller in place of an upstream's response. */
struct Refuse {
    admission::RequestNumber number{};
    core::Refusal refusal;

    [[nodiscard]] bool operator==(const Refuse &) const = default;
};

/** @brief Action: forward the upstream's response to the caller. */
struct Deliver {
    admission::RequestNumber number{};

    [[nodiscard]] bool operator==(const Deliver &) const = default;
};

/** @brief Record of one completed request for histograms and logs. */
struct Completion {
    admission::RequestNumber number{};
    core::TeamId team;
    core::QueueId queue;
    core::InstanceId upstream;
    std::string reason; /**< `delivered`, or the reason of the refusal. */
    std::uint32_t attempts{};
    core::Duration wait{}; /**< From arrival to the first attempt, or to the refusal. */
    core::Duration run{}; /**< From the first attempt to the completion; zero without an attempt. */

    [[nodiscard]] bool operator==(const Completion &) const = default;
};

} // namespace oleanderwick::dispatch

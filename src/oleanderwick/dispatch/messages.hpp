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

/** @brief Request that came in whole. */
struct Arrival {
    admission::RequestNumber number{};
    core::QueueId queue;
    std::optional<config::PresentedKey> key;
    bool idempotent{false};
    bool urgent{false};
    core::Duration timeout{}; /**< Asked by the caller; zero for the queue's own. */

    [[nodiscard]] bool operator==(const Arrival &) const = default;
};

/** @brief End of an attempt. */
struct AttemptEnd {
    admission::RequestNumber number{};
    routing::ExchangeEnd end{routing::ExchangeEnd::NotConnected};
    bool leaving{false}; /**< The upstream said that it is leaving. */

    [[nodiscard]] bool operator==(const AttemptEnd &) const = default;
};

/** @brief Send the request to an upstream. */
struct StartAttempt {
    admission::RequestNumber number{};
    core::InstanceId upstream;
    std::string address;
    std::uint32_t attempt{}; /**< First is 1. */
    core::Duration timeout{}; /**< Longest time until the whole answer. */
    core::Duration remaining{}; /**< Time until the request's deadline, told to the upstream. */
    bool freshConnection{false}; /**< Only a connection that is new or was used just now. */
    std::uint32_t idleConnections{}; /**< Most connections that all nodes together may keep open to it without a request. */
    core::TimePoint validUntil; /**< Not sent from this time on: the node may have been counted out. */

    [[nodiscard]] bool operator==(const StartAttempt &) const = default;
};

/** @brief Answer the caller in place of an upstream. */
struct Refuse {
    admission::RequestNumber number{};
    core::Refusal refusal;

    [[nodiscard]] bool operator==(const Refuse &) const = default;
};

/** @brief Pass the upstream's answer on. */
struct Deliver {
    admission::RequestNumber number{};

    [[nodiscard]] bool operator==(const Deliver &) const = default;
};

/** @brief Record of one ended request for histograms and logs. */
struct Completion {
    admission::RequestNumber number{};
    core::TeamId team;
    core::QueueId queue;
    core::InstanceId upstream;
    std::string reason; /**< `delivered`, or the reason of the refusal. */
    std::uint32_t attempts{};
    core::Duration wait{}; /**< From arrival to the first attempt, or to the refusal. */
    core::Duration run{}; /**< From the first attempt to the end. */

    [[nodiscard]] bool operator==(const Completion &) const = default;
};

} // namespace oleanderwick::dispatch

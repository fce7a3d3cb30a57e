#pragma once

#include <cstdint>
#include <string_view>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::routing
{

/** @brief Outcome of one exchange with an upstream. */
enum class ExchangeOutcome : std::uint8_t {
    Complete, /**< A complete response to this request. */
    RefusedNotRun, /**< The upstream refused in the documented form that states that the request has not run. */
    NotConnected, /**< No connection was established. */
    NothingSent, /**< The connection failed before the first byte was sent. */
    PartSent, /**< The connection failed after a part of the request was sent. */
    NoResponse, /**< The connection failed after the request was sent and before the response began. */
    BrokenResponse, /**< The connection failed within the response, or the response was malformed or of unknown length. */
    TimedOut, /**< No complete response within the timeout. */
    WrongResponse, /**< The response belongs to another request. */
    TooLarge, /**< The response exceeds the size limit. */
};

/** @brief Number of enumerators of `ExchangeOutcome`, for tables indexed by it. */
inline constexpr std::size_t exchangeOutcomeCount = 10;

/**
 * @brief Returns the name of an exchange outcome for diagnostic output.
 * @param outcome Outcome to name.
 * @return Name in snake case, such as `not_connected`.
 */
[[nodiscard]] std::string_view toText(ExchangeOutcome outcome) noexcept;

/**
 * @brief Checks whether an upstream may have crashed while it ran a request.
 * @param outcome Outcome of the exchange.
 * @return True if the connection ended after a part of the request was sent and before the response was complete.
 */
[[nodiscard]] bool isUpstreamLost(ExchangeOutcome outcome) noexcept;

/** @brief Input of a retry decision: an attempt whose exchange has ended. */
struct Attempt {
    ExchangeOutcome outcome{ExchangeOutcome::NotConnected};
    bool idempotent{false}; /**< The request may safely run more than once. */

    [[nodiscard]] bool operator==(const Attempt &) const = default;
};

/** @brief Decision about a request after one of its attempts. */
struct RetryDecision {
    /** @brief Next step of the request. */
    enum class Step : std::uint8_t {
        Deliver, /**< Forward the response. */
        Retry, /**< Retry on another upstream if time and budget allow, otherwise refuse. */
        Refuse, /**< Refuse without a retry. */
    };

    Step step{Step::Refuse};
    core::Outcome outcome{core::Outcome::Unknown}; /**< Outcome to report if the request is refused. */
    bool costsBudget{false}; /**< A retry is withdrawn from the retry budget. */
    bool countsAsFailure{false}; /**< The exchange counts as a failure of the upstream. */
    bool mayStillRun{false}; /**< The attempt may still run; its permits stay in use until the request's deadline. */

    [[nodiscard]] bool operator==(const RetryDecision &) const = default;
};

/**
 * @brief Decides whether to deliver, retry or refuse a request after an attempt.
 * @param attempt Attempt that ended.
 * @return Decision; a request that may have run is retried only if it is idempotent.
 */
[[nodiscard]] RetryDecision decideRetry(const Attempt &attempt) noexcept;

/**
 * @brief Returns whether an HTTP method is idempotent by its definition (RFC 9110).
 * @param method HTTP method in upper case.
 * @return True for GET, HEAD, OPTIONS, TRACE, PUT and DELETE.
 */
[[nodiscard]] bool isIdempotent(std::string_view method) noexcept;

} // namespace oleanderwick::routing

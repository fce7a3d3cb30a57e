#pragma once

#include <cstdint>
#include <string_view>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::routing
{

/** @brief How one exchange with an upstream ended. */
enum class ExchangeEnd : std::uint8_t {
    Whole, /**< A whole answer to this very request. */
    RefusedNotRun, /**< The upstream refused in the documented form: it has not run it. */
    NotConnected, /**< No connection was made. */
    NothingSent, /**< The connection broke before the first byte was sent. */
    PartSent, /**< The connection broke after a part of the request was sent. */
    NoAnswer, /**< The connection broke after the request was sent, before the answer. */
    PartAnswer, /**< The connection broke within the answer. */
    TimedOut, /**< No whole answer in time. */
    WrongAnswer, /**< The answer belongs to another request. */
    TooLarge, /**< The answer is longer than what is passed on. */
};

/** @brief Number of ends; sizes tables. */
inline constexpr std::size_t exchangeEnds = 10;

/**
 * @brief Gives the name of an end for logs and explanations.
 * @param end End to name.
 * @return Name in snake case.
 */
[[nodiscard]] std::string_view toText(ExchangeEnd end) noexcept;

/** @brief What is known of an attempt when its exchange has ended. */
struct Attempt {
    ExchangeEnd end{ExchangeEnd::NotConnected};
    bool idempotent{false}; /**< The request may run twice. */

    [[nodiscard]] bool operator==(const Attempt &) const = default;
};

/** @brief What follows from an attempt. */
struct Verdict {
    /** @brief Next step of the request. */
    enum class Step : std::uint8_t {
        Deliver, /**< Pass the answer on. */
        Retry, /**< Try another upstream if time and budget allow, else refuse. */
        Refuse, /**< Refuse at once. */
    };

    Step step{Step::Refuse};
    core::Outcome outcome{core::Outcome::Unknown}; /**< What a refusal says. */
    bool costsBudget{false}; /**< A retry draws from the budget. */
    bool blamesUpstream{false}; /**< Counts against the upstream. */
    bool mayStillRun{false}; /**< Rights of the attempt stay out until the request's deadline. */

    [[nodiscard]] bool operator==(const Verdict &) const = default;
};

/**
 * @brief Decides what follows from an attempt.
 * @param attempt Attempt that ended.
 * @return The verdict; a request that may have run is never retried unless it is idempotent.
 */
[[nodiscard]] Verdict judge(const Attempt &attempt) noexcept;

/**
 * @brief Tells whether a method may run twice by its definition (RFC 9110).
 * @param method HTTP method.
 * @return True for GET, HEAD, OPTIONS, TRACE, PUT and DELETE.
 */
[[nodiscard]] bool isIdempotent(std::string_view method) noexcept;

} // namespace oleanderwick::routing

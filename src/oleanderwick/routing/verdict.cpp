#include "verdict.hpp"

#include <algorithm>
#include <array>

namespace oleanderwick::routing
{

namespace internal
{

struct OutcomeTraits {
    std::string_view name;
    bool mayHaveRun; /**< The upstream may have run the request. */
    bool mayStillRun; /**< The upstream may continue to run it after the exchange. */
    bool countsAsFailure;
};

/** Indexed by `ExchangeOutcome`. Once a response has begun, the request no longer runs. */
constexpr std::array<OutcomeTraits, exchangeOutcomeCount> outcomeTraits{{
    {"whole", true, false, false},
    {"refused_not_run", false, false, false},
    {"not_connected", false, false, true},
    {"nothing_sent", false, false, false},
    {"part_sent", true, true, true},
    {"no_answer", true, true, true},
    {"part_answer", true, false, true},
    {"timed_out", true, true, true},
    {"wrong_answer", true, true, true},
    {"too_large", true, false, false},
}};

constexpr const OutcomeTraits &traitsOf(ExchangeOutcome outcome) noexcept
{
    return outcomeTraits.at(static_cast<std::size_t>(outcome));
}

constexpr std::array<std::string_view, 6> idempotentMethods{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

} // namespace internal

std::string_view toText(ExchangeOutcome outcome) noexcept
{
    return internal::traitsOf(outcome).name;
}

bool isUpstreamLost(ExchangeOutcome outcome) noexcept
{
    return outcome == ExchangeOutcome::PartSent || outcome == ExchangeOutcome::NoResponse || outcome == ExchangeOutcome::BrokenResponse;
}

RetryDecision decideRetry(const Attempt &attempt) noexcept
{
    const internal::OutcomeTraits &traits = internal::traitsOf(attempt.outcome);
    if (attempt.outcome == ExchangeOutcome::Complete) {
        return RetryDecision{RetryDecision::Step::Deliver, core::Outcome::Failed};
    }
    if (attempt.outcome == ExchangeOutcome::TooLarge) {
        return RetryDecision{RetryDecision::Step::Refuse, core::Outcome::Failed};
    }
    if (!traits.mayHaveRun) {
        const bool costsBudget = attempt.outcome != ExchangeOutcome::NothingSent;
        return RetryDecision{RetryDecision::Step::Retry, core::Outcome::NotRun, costsBudget, traits.countsAsFailure, false};
    }
    const RetryDecision::Step step = attempt.idempotent ? RetryDecision::Step::Retry : RetryDecision::Step::Refuse;
    return RetryDecision{step, core::Outcome::Unknown, true, traits.countsAsFailure, traits.mayStillRun};
}

bool isIdempotent(std::string_view method) noexcept
{
    const auto &methods = internal::idempotentMethods;
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

} // namespace oleanderwick::routing

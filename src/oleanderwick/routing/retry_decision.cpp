#include "retry_decision.hpp"

#include <algorithm>
#include <array>

namespace oleanderwick::routing
{

namespace internal
{

struct Row {
    std::string_view name;
    bool mayHaveRun; /**< The upstream may have run the request. */
    bool mayStillRun; /**< The upstream may continue to run it after the exchange. */
    bool blamesUpstream;
};

/** Indexed by `ExchangeOutcome`. Once a response has begun, the request no longer runs. */
constexpr std::array<Row, exchangeOutcomeCount> rows{{
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

constexpr const Row &rowOf(ExchangeOutcome end) noexcept
{
    return rows.at(static_cast<std::size_t>(end));
}

constexpr std::array<std::string_view, 6> idempotentMethods{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

} // namespace internal

std::string_view toText(ExchangeOutcome end) noexcept
{
    return internal::rowOf(end).name;
}

RetryDecision decideRetry(const Attempt &attempt) noexcept
{
    const internal::Row &row = internal::rowOf(attempt.outcome);
    if (attempt.outcome == ExchangeOutcome::Whole) {
        return RetryDecision{RetryDecision::Step::Deliver, core::Outcome::Failed};
    }
    if (attempt.outcome == ExchangeOutcome::TooLarge) {
        return RetryDecision{RetryDecision::Step::Refuse, core::Outcome::Failed};
    }
    if (!row.mayHaveRun) {
        const bool costsBudget = attempt.outcome != ExchangeOutcome::NothingSent;
        return RetryDecision{RetryDecision::Step::Retry, core::Outcome::NotRun, costsBudget, row.blamesUpstream, false};
    }
    const RetryDecision::Step step = attempt.idempotent ? RetryDecision::Step::Retry : RetryDecision::Step::Refuse;
    return RetryDecision{step, core::Outcome::Unknown, true, row.blamesUpstream, row.mayStillRun};
}

bool isIdempotent(std::string_view method) noexcept
{
    const auto &methods = internal::idempotentMethods;
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

} // namespace oleanderwick::routing

#include "verdict.hpp"

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

/** Indexed by `ExchangeEnd`. Once a response has begun, the request no longer runs. */
constexpr std::array<Row, exchangeEnds> rows{{
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

constexpr const Row &rowOf(ExchangeEnd end) noexcept
{
    return rows.at(static_cast<std::size_t>(end));
}

constexpr std::array<std::string_view, 6> idempotentMethods{"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"};

} // namespace internal

std::string_view toText(ExchangeEnd end) noexcept
{
    return internal::rowOf(end).name;
}

Verdict judge(const Attempt &attempt) noexcept
{
    const internal::Row &row = internal::rowOf(attempt.end);
    if (attempt.end == ExchangeEnd::Whole) {
        return Verdict{Verdict::Step::Deliver, core::Outcome::Failed};
    }
    if (attempt.end == ExchangeEnd::TooLarge) {
        return Verdict{Verdict::Step::Refuse, core::Outcome::Failed};
    }
    if (!row.mayHaveRun) {
        const bool costsBudget = attempt.end != ExchangeEnd::NothingSent;
        return Verdict{Verdict::Step::Retry, core::Outcome::NotRun, costsBudget, row.blamesUpstream, false};
    }
    const Verdict::Step step = attempt.idempotent ? Verdict::Step::Retry : Verdict::Step::Refuse;
    return Verdict{step, core::Outcome::Unknown, true, row.blamesUpstream, row.mayStillRun};
}

bool isIdempotent(std::string_view method) noexcept
{
    const auto &methods = internal::idempotentMethods;
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

} // namespace oleanderwick::routing

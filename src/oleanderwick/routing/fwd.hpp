#pragma once

#include <cstdint>

namespace oleanderwick::routing
{

enum class ExchangeOutcome : std::uint8_t;
struct Attempt;
struct RetryDecision;
class RetryBudget;
class UpstreamTable;

} // namespace oleanderwick::routing

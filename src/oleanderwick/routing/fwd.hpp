#pragma once

#include <cstdint>

namespace oleanderwick::routing
{

enum class ExchangeEnd : std::uint8_t;
struct Attempt;
struct Verdict;
class RetryBudget;
class UpstreamTable;

} // namespace oleanderwick::routing

#pragma once

#include <cstdint>
#include <map>

namespace oleanderwick::allotment
{

struct Unit;
struct Group;
struct Want;
struct TeamDemand;
struct Claimant;
struct PlanInput;
class Plan;
struct LedgerRead;
struct LedgerWrite;
class Ledger;
class Holder;

/** @brief Permits of one node, by resource. */
using Account = std::map<Unit, std::uint32_t>;

} // namespace oleanderwick::allotment

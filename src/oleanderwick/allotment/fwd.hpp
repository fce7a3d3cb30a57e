#pragma once

#include <cstdint>
#include <map>

namespace oleanderwick::allotment
{

struct LimitId;
struct Group;
struct PermitRequest;
struct TeamDemand;
struct Claimant;
struct PlanInput;
class Plan;
struct LedgerRead;
struct LedgerWrite;
class Ledger;
class PermitHolder;

/** @brief Permits of one node, by limit. */
using Account = std::map<LimitId, std::uint32_t>;

} // namespace oleanderwick::allotment

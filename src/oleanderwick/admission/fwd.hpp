#pragma once

#include <cstdint>

namespace oleanderwick::admission
{

class FairQueue;
class RunTimes;
struct Waiting;
struct TeamLoad;

/** @brief Number of a request within one node's run. */
using RequestNumber = std::uint64_t;

} // namespace oleanderwick::admission

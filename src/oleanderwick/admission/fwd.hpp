#pragma once

#include <cstdint>

namespace oleanderwick::admission
{

class FairQueue;
class RunTimes;
class JobAdmission;
class OverloadControl;
class ReturnSchedule;
struct LoadFigures;
struct QueuedRequest;
struct TeamLoad;

/** @brief Number of a request, unique on one node until it restarts. */
using RequestNumber = std::uint64_t;

} // namespace oleanderwick::admission

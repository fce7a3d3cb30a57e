#pragma once

#include <cstdint>

namespace oleanderwick::jobs
{

enum class JobState : std::uint8_t;
enum class RunEndKind : std::uint8_t;
struct Resources;
struct Step;
struct Job;
struct TaskName;
struct TaskRecord;
struct JobRecord;
struct Worker;
struct WorkerReport;
struct FleetConfig;
class Scheduler;
class StateTable;
class CandidateOrder;
class MaintenanceController;

} // namespace oleanderwick::jobs

#pragma once

namespace oleanderwick::emulator
{

class Timeline;
class ProcessExecutor;
class StoreModel;
class WorkerModel;
class InstanceModel;
class AdviceModel;
class InvariantChecker;
class Simulation;
struct Deployment;
struct Fault;

} // namespace oleanderwick::emulator

#pragma once

namespace oleanderwick::emulator
{

class Timeline;
class ProcessExecutor;
class StoreModel;
class WorkerModel;
class InstanceModel;
class AdviceModel;
class Judge;
class World;
struct Deployment;
struct Trouble;

} // namespace oleanderwick::emulator

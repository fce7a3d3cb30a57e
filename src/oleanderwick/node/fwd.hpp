#pragma once

namespace oleanderwick::node
{

class CallerApi;
class ConfigKeeper;
class DecisionDuty;
class HeartbeatDuty;
class Node;
class OperatorApi;
class PeerDuty;
class StoreDuty;
class TelemetryDuty;
class WatchDuty;
class WaveDuty;
struct PatchTask;

} // namespace oleanderwick::node

#pragma once

namespace oleanderwick::telemetry
{

class Event;
class Metrics;

} // namespace oleanderwick::telemetry

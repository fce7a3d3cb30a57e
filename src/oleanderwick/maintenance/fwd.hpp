#pragma once

namespace oleanderwick::maintenance
{

enum class Health : unsigned char;
struct InstanceView;
struct PoolView;
struct Wave;
struct WaveList;

} // namespace oleanderwick::maintenance

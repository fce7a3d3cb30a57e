#pragma once

#include <cstdint>

namespace oleanderwick::core
{

template <typename Tag>
class Id;

struct TeamTag;
struct QueueTag;
struct PoolTag;
struct InstanceTag;
struct NodeTag;
struct KeyTag;

/** @brief Name of a team. */
using TeamId = Id<TeamTag>;
/** @brief Name of a queue. */
using QueueId = Id<QueueTag>;
/** @brief Name of a pool. */
using PoolId = Id<PoolTag>;
/** @brief Name of an instance that serves as an upstream. */
using InstanceId = Id<InstanceTag>;
/** @brief Name of a node that accepts requests, unique to one run of its process. */
using NodeId = Id<NodeTag>;
/** @brief Public part of a team's key. */
using KeyId = Id<KeyTag>;

enum class Outcome : std::uint8_t;
struct Refusal;
class Clock;
class Executor;
template <typename Type>
class BoundedRing;

} // namespace oleanderwick::core

#pragma once

#include <cstdint>
#include <memory>

namespace oleanderwick::config
{

struct Document;
struct Pool;
struct Instance;
struct Team;
struct TeamKey;
struct Queue;
struct Record;
struct Change;
struct Patch;
class Snapshot;

/** @brief Version of a configuration; each accepted patch increments it by one. */
using Version = std::uint64_t;
/** @brief Immutable configuration shared between threads. */
using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace oleanderwick::config

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

/** @brief Number of a configuration; each accepted patch makes the next one. */
using Version = std::uint64_t;
/** @brief Configuration shared by threads; never changed once made. */
using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace oleanderwick::config

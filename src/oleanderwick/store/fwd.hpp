#pragma once

#include <cstdint>

namespace oleanderwick::store
{

struct KeyValue;
struct SwapResult;
class Store;
class MemoryStore;

/** @brief Number that the store gives each change; zero means absent. */
using Revision = std::uint64_t;
/** @brief Number of a lease; zero means none. */
using LeaseId = std::uint64_t;

} // namespace oleanderwick::store

#pragma once

#include <cstdint>

namespace oleanderwick::store
{

struct KeyValue;
struct SwapResult;
class Store;
class MemoryStore;

/** @brief Number that the store assigns to each change; zero for an absent key. */
using Revision = std::uint64_t;
/** @brief Id of a lease; zero for none. */
using LeaseId = std::uint64_t;

} // namespace oleanderwick::store

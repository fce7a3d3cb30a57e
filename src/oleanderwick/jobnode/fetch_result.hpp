#pragma once

#include <cstdint>

namespace oleanderwick::jobnode
{

/** @brief Result of reading a key that a watch should have delivered. */
enum class FetchResult : std::uint8_t {
    Found,
    Absent, /**< The key is not in the store. */
    Failed, /**< The store refused the call, or did not reply in time. */
    Superseded, /**< The watch or a listing has delivered the key meanwhile; what was read is discarded. */
};

} // namespace oleanderwick::jobnode

#pragma once

/** @file
 * @brief Live nodes, digests between peers, and freshness.
 */

#include "digest.hpp"
#include "fwd.hpp"
#include "roster.hpp"

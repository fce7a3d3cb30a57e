#pragma once

/** @file
 * @brief Digests that nodes exchange, which nodes are alive, and whether this node may act.
 */

#include "digest.hpp"
#include "fwd.hpp"
#include "roster.hpp"

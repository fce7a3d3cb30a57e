#pragma once

/** @file
 * @brief Identifiers, clocks, the executor interface, outcomes of requests, limits of the process, the assertion macro and the bounded ring.
 */

#include "assert.hpp"
#include "clock.hpp"
#include "executor.hpp"
#include "fwd.hpp"
#include "id.hpp"
#include "outcome.hpp"
#include "process_limits.hpp"
#include "ring.hpp"

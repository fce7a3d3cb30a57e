#pragma once

/** @file
 * @brief Fair queue over teams and learned run times.
 */

#include "fair_queue.hpp"
#include "fwd.hpp"
#include "run_times.hpp"

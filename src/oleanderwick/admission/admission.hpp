#pragma once

/** @file
 * @brief Queue with fair shares for teams, and measured run times.
 */

#include "fair_queue.hpp"
#include "fwd.hpp"
#include "run_times.hpp"

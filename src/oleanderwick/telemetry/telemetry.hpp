#pragma once

/** @file
 * @brief Event log and metrics.
 */

#include "event_log.hpp"
#include "fwd.hpp"
#include "metrics.hpp"

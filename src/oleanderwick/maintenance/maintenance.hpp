#pragma once

/** @file
 * @brief Maintenance waves: their stored state, the planning of their next steps, and the interface to the platform's instances.
 */

#include "fwd.hpp"
#include "planner.hpp"
#include "platform.hpp"
#include "wave.hpp"

#pragma once

/** @file
 * @brief Maintenance waves: their record, the decision what comes next, and the port to the platform's instances.
 */

#include "fwd.hpp"
#include "planner.hpp"
#include "platform.hpp"
#include "wave.hpp"

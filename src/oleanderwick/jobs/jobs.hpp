#pragma once

/** @file
 * @brief Job records, placement of tasks, leases of workers, pool sizing and maintenance of instances; performs no I/O.
 */

#include "codec.hpp"
#include "commands.hpp"
#include "fwd.hpp"
#include "maintenance_controller.hpp"
#include "model.hpp"
#include "pool_balancer.hpp"
#include "scheduler.hpp"
#include "table.hpp"

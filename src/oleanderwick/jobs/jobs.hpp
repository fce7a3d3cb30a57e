#pragma once

/** @file
 * @brief Jobs on workers: their records, placement, leases on workers, and maintenance of instances; without I/O.
 */

#include "codec.hpp"
#include "fwd.hpp"
#include "model.hpp"
#include "orders.hpp"
#include "pool_balancer.hpp"
#include "scheduler.hpp"
#include "table.hpp"
#include "maintenance_controller.hpp"

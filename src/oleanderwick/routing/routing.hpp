#pragma once

/** @file
 * @brief Choice of upstream, retry budget, and retry decision for each outcome of an exchange.
 */

#include "fwd.hpp"
#include "retry_budget.hpp"
#include "upstream_table.hpp"
#include "verdict.hpp"

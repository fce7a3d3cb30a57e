#pragma once

/** @file
 * @brief Choice of upstream, retry budget, and what follows from each end of an exchange.
 */

#include "fwd.hpp"
#include "retry_budget.hpp"
#include "upstream_table.hpp"
#include "verdict.hpp"

#pragma once

/** @file
 * @brief Fleet-wide limits, divided among the nodes as permits.
 */

#include "fwd.hpp"
#include "holder.hpp"
#include "ledger.hpp"
#include "plan.hpp"

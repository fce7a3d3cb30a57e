#pragma once

/** @file
 * @brief Fleet-wide limits, divided among the nodes as permits.
 */

#include "fwd.hpp"
#include "ledger.hpp"
#include "permit_holder.hpp"
#include "plan.hpp"

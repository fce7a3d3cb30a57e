#pragma once

/** @file
 * @brief Bounds over the fleet, divided among nodes as rights.
 */

#include "fwd.hpp"
#include "holder.hpp"
#include "ledger.hpp"
#include "plan.hpp"

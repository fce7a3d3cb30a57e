#pragma once

/** @file
 * @brief Life of every request on one node, without I/O.
 */

#include "dispatcher.hpp"
#include "fwd.hpp"
#include "messages.hpp"

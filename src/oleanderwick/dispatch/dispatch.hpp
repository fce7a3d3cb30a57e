#pragma once

/** @file
 * @brief Life cycle of the requests on one node, without I/O.
 */

#include "dispatcher.hpp"
#include "fwd.hpp"
#include "messages.hpp"

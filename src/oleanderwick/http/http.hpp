#pragma once

/** @file
 * @brief HTTP/1.1: event loop, server, blocking client and connections to upstreams.
 */

#include "client.hpp"
#include "fwd.hpp"
#include "limits.hpp"
#include "listener_watch.hpp"
#include "loop.hpp"
#include "memory_budget.hpp"
#include "message.hpp"
#include "server.hpp"
#include "upstream_links.hpp"

#pragma once

/** @file
 * @brief Versioned configuration: document, validation, patches, API keys and snapshots.
 */

#include "codec.hpp"
#include "command/patch.hpp"
#include "command/zone_patch.hpp"
#include "document.hpp"
#include "fwd.hpp"
#include "keys.hpp"
#include "query/snapshot.hpp"
#include "query/zones.hpp"
#include "record.hpp"
#include "validation.hpp"

#pragma once

/** @file
 * @brief The numbered configuration: document, validation, patches, keys and views.
 */

#include "codec.hpp"
#include "command/patch.hpp"
#include "document.hpp"
#include "fwd.hpp"
#include "keys.hpp"
#include "query/snapshot.hpp"
#include "record.hpp"
#include "validation.hpp"

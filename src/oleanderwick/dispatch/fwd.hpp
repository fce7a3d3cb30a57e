#pragma once

#include <variant>
#include <vector>

namespace oleanderwick::dispatch
{

struct Arrival;
struct AttemptResult;
struct StartAttempt;
struct Refuse;
struct Deliver;
class Dispatcher;

/** @brief Action that the I/O layer has to perform. */
using Action = std::variant<StartAttempt, Refuse, Deliver>;
/** @brief Actions in the order in which they have to be performed. */
using Actions = std::vector<Action>;

} // namespace oleanderwick::dispatch

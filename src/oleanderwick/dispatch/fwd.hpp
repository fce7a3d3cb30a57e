#pragma once

#include <variant>
#include <vector>

namespace oleanderwick::dispatch
{

struct Arrival;
struct AttemptEnd;
struct StartAttempt;
struct Refuse;
struct Deliver;
class Dispatcher;

/** @brief What the I/O has to do next. */
using Action = std::variant<StartAttempt, Refuse, Deliver>;
/** @brief Actions in the order in which they are to be done. */
using Actions = std::vector<Action>;

} // namespace oleanderwick::dispatch

#pragma once

namespace oleanderwick::membership
{

struct Digest;
class Roster;

} // namespace oleanderwick::membership

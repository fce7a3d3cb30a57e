#pragma once

namespace oleanderwick::settings
{

struct Settings;
struct Operator;
struct StoreSettings;

} // namespace oleanderwick::settings

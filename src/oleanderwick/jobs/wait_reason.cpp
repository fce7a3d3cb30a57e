#include "wait_reason.hpp"

#include <array>

namespace oleanderwick::jobs
{

std::string_view toText(WaitReason reason) noexcept
{
    constexpr std::array<std::string_view, waitReasonCount> names{
        "not_due",   "unopened",    "command",      "former_runs",  "back_off",  "verdict",    "unsound_turn",  "team_limit", "no_worker",
        "unlisted",  "draining",    "zone_closed",  "cordoned",     "silent",    "unreported", "clock_unknown", "not_stored", "label",
        "too_small", "quarantined", "job_failures", "worker_limit", "spread",    "ticket",     "reserved",      "stray_runs", "promised",
        "no_room",   "gang_room",   "isolation",    "retry",        "rack_wait", "order"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace oleanderwick::jobs

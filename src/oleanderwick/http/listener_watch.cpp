#include "listener_watch.hpp"

#include <array>

#include <absl/strings/str_cat.h>

namespace oleanderwick::http
{

namespace internal
{

struct Counter {
    const char *name;
    std::uint64_t ServerFigures::*value;
};

constexpr std::array<Counter, 6> counters{{
    {"malformed", &ServerFigures::malformed},
    {"too_large", &ServerFigures::tooLarge},
    {"overloaded", &ServerFigures::overloaded},
    {"closed_for_room", &ServerFigures::closedForRoom},
    {"timed_out", &ServerFigures::timedOut},
    {"accept_failure", &ServerFigures::acceptFailures},
}};

struct Use {
    const char *name;
    std::size_t ServerFigures::*value;
};

constexpr std::array<Use, 3> uses{{
    {"connections", &ServerFigures::connections},
    {"serving", &ServerFigures::serving},
    {"held_bytes", &ServerFigures::heldBytes},
}};

} // namespace internal

void ListenerWatch::add(const std::string &name, const Server &server)
{
    m_listeners.push_back(Listener{name, &server, {}});
}

void ListenerWatch::exportGauges(const OnGauge &onGauge) const
{
    for (const Listener &listener : m_listeners) {
        const ServerFigures figures = listener.server->figures();
        for (const internal::Use &use : internal::uses) {
            onGauge(absl::StrCat("listener_", use.name, "{listener=\"", listener.name, "\"}"), static_cast<std::int64_t>(figures.*use.value));
        }
        for (const internal::Counter &counter : internal::counters) {
            onGauge(absl::StrCat("listener_refusals_total{listener=\"", listener.name, "\",reason=\"", counter.name, "\"}"),
                    static_cast<std::int64_t>(figures.*counter.value));
        }
    }
}

void ListenerWatch::report(const OnRefusals &onRefusals)
{
    for (Listener &listener : m_listeners) {
        const ServerFigures figures = listener.server->figures();
        for (const internal::Counter &counter : internal::counters) {
            const std::uint64_t added = figures.*counter.value - listener.reported.*counter.value;
            if (added > 0) {
                onRefusals(listener.name, counter.name, added);
            }
        }
        listener.reported = figures;
    }
}

} // namespace oleanderwick::http

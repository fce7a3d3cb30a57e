#include "owner_term_state.hpp"

#include <utility>

#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

/** Cancels wait for the end of a cycle. On a node with a small share of a core, cycles of 100 to 200 ms are usual without any overload. */
constexpr core::Duration maxCycleDuration = std::chrono::milliseconds{500};
/** Submitted jobs are taken in portions; an owner that has not got to the end of them for this long can't keep up. */
constexpr core::Duration maxIntakeDelay = std::chrono::milliseconds{500};
constexpr core::Duration loadWriteInterval = std::chrono::milliseconds{500};

} // namespace internal

bool OwnerTerm::State::isBehind(core::TimePoint now)
{
    if (intake.isEmpty() || intakeEmptyAt == core::TimePoint{}) {
        intakeEmptyAt = now;
    }
    return lastCycleDuration > internal::maxCycleDuration || now - intakeEmptyAt > internal::maxIntakeDelay;
}

void OwnerTerm::State::publishLoad(core::TimePoint now)
{
    if (!options.refuseJobs) {
        return;
    }
    const bool behind = isBehind(now);
    if (overloadControl.isDue(now)) {
        admission::FleetDemand demand = scheduler.fleetDemand(options.lateBoundFactor, executor.wallMs());
        demand.ownerOverloaded = behind;
        const std::optional<admission::LoadFigures> figures = overloadControl.update(demand, now, executor.wallMs());
        if (figures.has_value()) {
            unsavedLoad = admission::toText(*figures);
            telemetry::Event event{"load_published"};
            event.with("version", figures->version).with("overloaded", figures->overloaded ? 1 : 0);
            event.with("queues", static_cast<std::int64_t>(figures->queues.size())).with("bytes", static_cast<std::int64_t>(unsavedLoad.size()));
            event.with("owner_behind", behind ? 1 : 0);
            log.add("load_published", event);
        }
    }
    writeLoad();
}

void OwnerTerm::State::writeLoad()
{
    const core::TimePoint now = executor.now();
    if (unsavedLoad.empty() || loadSaveInFlight || now - loadSavedAt < internal::loadWriteInterval || !ownership.isHeld(now)) {
        return;
    }
    loadSaveInFlight = true;
    loadSavedAt = now;
    const std::string text = std::exchange(unsavedLoad, std::string{});
    write(keys::loadFigures, text, [this, text](bool stored) {
        loadSaveInFlight = false;
        // Newer figures replace what could not be written; the mark of the end has none after it and is tried again.
        if (!stored && unsavedLoad.empty()) {
            unsavedLoad = text;
        }
    });
}

void OwnerTerm::restoreLoad(const admission::LoadFigures &figures)
{
    m_state->overloadControl.restore(figures);
}

} // namespace oleanderwick::jobnode

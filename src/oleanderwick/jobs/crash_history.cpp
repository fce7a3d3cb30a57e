#include "crash_history.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace oleanderwick::jobs
{

namespace internal
{

/** Crashes that are older say little about the present rate. */
constexpr core::Duration historyWindow = std::chrono::seconds{30};
/** A shorter observation counts as this long, so that the first crash of a term does not make a high rate. */
constexpr core::Duration minObservation = std::chrono::seconds{10};
/** Added to the number of crashes, since a pool without crashes so far may have one. */
constexpr double priorCrashes = 0.5;
/** Resolution with which the time of a crash is known. */
constexpr core::Duration minAge = std::chrono::milliseconds{50};

double toSeconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace internal

void CrashHistory::add(const std::string &pool, std::map<TaskName, core::Duration> ages, core::TimePoint now)
{
    while (!m_crashes.empty() && now - m_crashes.front().at > internal::historyWindow) {
        m_crashes.pop_front();
    }
    m_crashes.push_back(Crash{pool, std::move(ages), now, false});
}

void CrashHistory::explain(const TaskName &task)
{
    for (Crash &crash : m_crashes) {
        const auto age = crash.ages.find(task);
        crash.explained = crash.explained || (age != crash.ages.end() && age->second <= promptAge);
    }
}

double CrashHistory::logCoincidence(Scope scope,
                                    const TaskName &task,
                                    const std::vector<core::Duration> &ages,
                                    const Circumstances &circumstances,
                                    core::TimePoint now) const
{
    std::size_t withoutTask = 0;
    std::size_t lateWithTask = 0;
    for (const Crash &crash : m_crashes) {
        if (crash.explained || crash.pool != circumstances.pool || now - crash.at > internal::historyWindow) {
            continue;
        }
        const auto age = crash.ages.find(task);
        withoutTask += age == crash.ages.end() ? 1 : 0;
        lateWithTask += age != crash.ages.end() && age->second > promptAge ? 1 : 0;
    }
    if (scope == Scope::All && withoutTask > 0) {
        return 0.0;
    }
    const double crashes = static_cast<double>(scope == Scope::All ? 0 : withoutTask + lateWithTask) + internal::priorCrashes;
    const double seconds = internal::toSeconds(std::clamp(circumstances.observed, internal::minObservation, internal::historyWindow));
    const double ratePerWorker = crashes / (seconds * static_cast<double>(std::max<std::size_t>(circumstances.workers, 1)));
    double sum = 0.0;
    for (const core::Duration age : ages) {
        if (scope == Scope::All || age <= promptAge) {
            sum += std::log(-std::expm1(-ratePerWorker * internal::toSeconds(std::max(age, internal::minAge))));
        }
    }
    return sum;
}

} // namespace oleanderwick::jobs

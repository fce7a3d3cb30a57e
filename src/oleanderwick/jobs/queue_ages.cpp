#include "queue_ages.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** The measurement examines each job; the alarm line is limited to one in this time for each queue. */
constexpr core::Duration ageInterval = std::chrono::seconds{1};
/** Nobody waits for an answer after this multiple of the objective. */
constexpr double longWaitFactor = 3.0;

/** Oldest unfinished occurrence of a queue. */
struct Oldest {
    const JobEntry *entry{nullptr};
    std::int64_t ageMs{0};
};

/** Continuous tasks run until their job is cancelled, so that its age is no wait. */
bool endsByItself(const Job &job)
{
    return std::none_of(job.steps.begin(), job.steps.end(), [](const Step &step) {
        return step.continuous;
    });
}

} // namespace internal

QueueAges::QueueAges(const StateTable &state, const JobEstimates &estimates, const PlacementDiagnosis &diagnosis, SchedulerOutput &output)
    : m_state{state}
    , m_estimates{estimates}
    , m_diagnosis{diagnosis}
    , m_output{output}
{
}

void QueueAges::advance(core::TimePoint now, std::int64_t wallMs)
{
    if (now - m_measuredAt < internal::ageInterval) {
        return;
    }
    m_measuredAt = now;
    std::map<std::string, internal::Oldest> oldest;
    for (const std::pair<const std::string, JobEntry> &item : m_state.jobs()) {
        const JobEntry &entry = item.second;
        if (isFinal(entry.state) || !internal::endsByItself(entry.job)) {
            continue;
        }
        for (const std::pair<const std::int64_t, Occurrence> &occurrence : entry.occurrences) {
            const std::int64_t ageMs = wallMs - JobEstimates::releaseMs(entry.job, occurrence.second);
            internal::Oldest &known = oldest[entry.job.queue];
            if (occurrence.second.remainingSteps > 0 && (known.entry == nullptr || ageMs > known.ageMs)) {
                known = internal::Oldest{&entry, ageMs};
            }
        }
    }
    for (std::pair<const std::string, std::int64_t> &age : m_agesMs) {
        age.second = 0;
    }
    for (const std::pair<const std::string, internal::Oldest> &item : oldest) {
        m_agesMs[item.first] = std::max<std::int64_t>(item.second.ageMs, 0);
        if (item.second.entry == nullptr) {
            continue;
        }
        const double objectiveMs = m_estimates.objectiveMs(*item.second.entry);
        if (static_cast<double>(item.second.ageMs) > internal::longWaitFactor * objectiveMs) {
            m_output.logDecision("job_waits_long",
                                 item.second.entry->job.id,
                                 "",
                                 absl::StrCat("queue=",
                                              item.first,
                                              " age_ms=",
                                              item.second.ageMs,
                                              " ",
                                              m_diagnosis.describeJob(*item.second.entry, now, wallMs),
                                              " objective_ms=",
                                              std::llround(objectiveMs)));
        }
    }
}

const std::map<std::string, std::int64_t> &QueueAges::agesMs() const noexcept
{
    return m_agesMs;
}

} // namespace oleanderwick::jobs

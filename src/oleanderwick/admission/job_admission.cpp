#include "job_admission.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace oleanderwick::admission
{

namespace internal
{

/** The owner publishes twice a second while the fleet is overloaded; older figures say that it can't. */
constexpr std::int64_t maxAgeMs = 3000;

/** Maps a job to 0 up to 1, for each version of the figures anew, so that no job is unlucky for long. */
double positionOf(const std::string &id, std::int64_t version)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(XXH3_64bits_withSeed(id.data(), id.size(), static_cast<XXH64_hash_t>(version))) / range;
}

/**
 * Raises the fraction with each second since the first refusal, so that jobs refused first are admitted first. The owner counts all admitted
 * jobs, so that the fraction for new jobs falls accordingly.
 */
double fractionFor(double admit, std::int64_t waitedMs)
{
    return std::min(1.0, admit * (1.0 + static_cast<double>(waitedMs) / 1000.0));
}

} // namespace internal

JobAdmission::JobAdmission(const JobAdmissionPolicy &policy)
    : m_policy{policy}
    , m_schedule{policy.nodes}
{
}

void JobAdmission::setFigures(LoadFigures figures, core::TimePoint now)
{
    if (!figures.overloaded) {
        m_schedule.clear();
    }
    m_figures = std::move(figures);
    m_receivedAt = now;
}

void JobAdmission::clear()
{
    m_figures.reset();
    m_schedule.clear();
}

std::int64_t JobAdmission::ageMs(core::TimePoint now, std::int64_t wallMs) const noexcept
{
    if (!m_figures.has_value() || !m_figures->overloaded) {
        return 0;
    }
    return std::max({std::int64_t{0}, core::milliseconds(now - m_receivedAt), wallMs - m_figures->wallMs});
}

bool JobAdmission::isStale(std::int64_t ageMs) noexcept
{
    return ageMs > internal::maxAgeMs;
}

bool JobAdmission::mayRefuse(const std::string &queue, const std::string &team, core::TimePoint now, std::int64_t wallMs) const
{
    if (!m_figures.has_value() || !m_figures->overloaded || isStale(ageMs(now, wallMs))) {
        return false;
    }
    const ShareFigures *share = m_figures->find(queue, team);
    return share != nullptr && share->admit < 1.0;
}

AdmissionDecision JobAdmission::decide(const JobRequest &request, core::TimePoint now, std::int64_t wallMs)
{
    AdmissionDecision decision;
    decision.ageMs = ageMs(now, wallMs);
    decision.isStale = isStale(decision.ageMs);
    if (!mayRefuse(request.queue, request.team, now, wallMs)) {
        return decision;
    }
    decision.share = *m_figures->find(request.queue, request.team);
    const bool isReturning = request.firstRefusedMs > 0;
    const std::int64_t waitedMs = isReturning ? std::max<std::int64_t>(0, wallMs - request.firstRefusedMs) : 0;
    if (internal::positionOf(request.id, m_figures->version) < internal::fractionFor(decision.share.admit, waitedMs)) {
        return decision;
    }
    const double endMs = static_cast<double>(waitedMs + decision.share.roomMs) + request.criticalPathMs;
    if (decision.share.beyondRate) {
        decision.verdict = AdmissionDecision::Verdict::BeyondRate;
    } else if (endMs > m_policy.lateBoundFactor * request.objectiveMs) {
        decision.verdict = AdmissionDecision::Verdict::TooLate;
    } else {
        return decision;
    }
    decision.retryAfterS = m_schedule.retryAfterS({request.queue, request.team, isReturning}, decision.share, now);
    return decision;
}

} // namespace oleanderwick::admission

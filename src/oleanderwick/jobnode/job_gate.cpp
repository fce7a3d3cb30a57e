#include "job_gate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "../jobs/job_estimates.hpp"
#include "keys.hpp"

namespace oleanderwick::jobnode
{

namespace internal
{

constexpr core::Duration staleLogInterval = std::chrono::seconds{1};

/** Returns whether a job may be refused: jobs that repeat or run until they are cancelled have no objective to miss. */
bool isRefusable(const jobs::Job &job)
{
    return job.repeatCount == 0 && std::none_of(job.steps.begin(), job.steps.end(), [](const jobs::Step &step) {
               return step.continuous || step.bestEffort;
           });
}

} // namespace internal

JobGate::JobGate(const core::Executor &executor, JobService &service, LogSink &log, const admission::JobAdmissionPolicy &policy)
    : m_executor{executor}
    , m_service{service}
    , m_log{log}
    , m_admission{policy}
{
}

void JobGate::handleItem(const jobs::StoreItem &item)
{
    if (item.key != keys::loadFigures) {
        return;
    }
    std::optional<admission::LoadFigures> figures = admission::figuresFromText(item.value);
    if (!figures.has_value()) {
        m_log.add("load_figures_unreadable", telemetry::Event{"load_figures_unreadable"}.with("revision", item.revision));
        return;
    }
    // A record that is listed again is not new.
    if (figures->version > m_figures.version) {
        m_figures = *figures;
        m_admission.setFigures(*std::move(figures), m_executor.now());
    }
}

void JobGate::handleRemoval(const std::string &key)
{
    if (key == keys::loadFigures) {
        m_figures = {};
        m_admission.clear();
    }
}

const admission::LoadFigures &JobGate::figures() const noexcept
{
    return m_figures;
}

void JobGate::updateMetrics()
{
    m_log.metrics().setGauge("load_figures_age_ms", m_admission.ageMs(m_executor.now(), m_executor.wallMs()));
}

void JobGate::submit(const jobs::Job &job, const jobs::QueuePolicy &policy, core::TimePoint deadline, JobService::OnReply onReply)
{
    const core::TimePoint now = m_executor.now();
    const std::int64_t wallMs = m_executor.wallMs();
    if (!internal::isRefusable(job)) {
        m_service.submit(job, deadline, std::move(onReply));
        return;
    }
    if (!m_admission.mayRefuse(job.queue, job.team, now, wallMs)) {
        const std::int64_t ageMs = m_admission.ageMs(now, wallMs);
        if (admission::JobAdmission::isStale(ageMs)) {
            logStale(ageMs);
        }
        m_service.submit(job, deadline, std::move(onReply));
        return;
    }
    const double objectiveMs = policy.criticalPathFactor * jobs::JobEstimates::criticalPathMs(job, nullptr) + static_cast<double>(policy.objectiveMs);
    m_service.findRefusal(job.id, [this, job, objectiveMs, deadline, reply = std::move(onReply)](const RefusalRecord &refusal) {
        decide(job, objectiveMs, deadline, refusal, reply);
    });
}

void JobGate::decide(const jobs::Job &job, double objectiveMs, core::TimePoint deadline, const RefusalRecord &refusal, JobService::OnReply onReply)
{
    const admission::JobRequest request{job.id, job.queue, job.team, jobs::JobEstimates::criticalPathMs(job, nullptr), objectiveMs, refusal.firstMs};
    const admission::AdmissionDecision decision = m_admission.decide(request, m_executor.now(), m_executor.wallMs());
    if (decision.verdict == admission::AdmissionDecision::Verdict::Accept) {
        m_service.submit(job, deadline, std::move(onReply), refusal);
        return;
    }
    const JobService::OnReply onRefused = [this, job, deadline, decision, refusal, reply = std::move(onReply)](const JobReply &result) {
        if (result.outcome == JobCallOutcome::NotRefused) {
            m_log.metrics().count("job_refusal_not_recorded");
            m_service.submit(job, deadline, reply, refusal);
            return;
        }
        JobReply answer = result;
        if (result.outcome == JobCallOutcome::Refused) {
            answer.retryAfterS = decision.retryAfterS;
            answer.beyondRate = decision.verdict == admission::AdmissionDecision::Verdict::BeyondRate;
            logRefusal(job, decision, refusal);
        }
        reply(answer);
    };
    m_service.refuse(job.id, deadline, onRefused, refusal);
}

void JobGate::logRefusal(const jobs::Job &job, const admission::AdmissionDecision &decision, const RefusalRecord &refusal)
{
    const bool beyondRate = decision.verdict == admission::AdmissionDecision::Verdict::BeyondRate;
    telemetry::Event event{"job_refused"};
    event.with("job", job.id).with("queue", job.queue).with("team", job.team).with("reason", beyondRate ? "beyond_rate" : "too_late");
    event.with("retry_after_s", decision.retryAfterS).with("version", m_figures.version).with("age_ms", decision.ageMs);
    event.with("admit_permille", static_cast<std::int64_t>(std::llround(decision.share.admit * 1000.0)))
        .with("room_ms", decision.share.roomMs)
        .with("first_refused_ms", refusal.firstMs);
    m_log.add("job_refused", event);
    m_log.metrics().count(beyondRate ? "job_refused_beyond_rate" : "job_refused_too_late");
}

void JobGate::logStale(std::int64_t ageMs)
{
    const core::TimePoint now = m_executor.now();
    m_log.metrics().count("job_accepted_by_stale_figures");
    if (now - m_staleLoggedAt >= internal::staleLogInterval) {
        m_staleLoggedAt = now;
        m_log.add("load_figures_stale", telemetry::Event{"load_figures_stale"}.with("version", m_figures.version).with("age_ms", ageMs));
    }
}

} // namespace oleanderwick::jobnode

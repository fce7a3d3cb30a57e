#pragma once

#include <cstdint>

#include "../admission/job_admission.hpp"
#include "job_service.hpp"

namespace oleanderwick::jobnode
{

/** @brief Accepts or refuses submitted jobs on one node: decides by the published load figures, and records each refusal before it is told. */
class JobGate
{
public:
    /**
     * @brief Creates the gate, which accepts everything until it gets figures; all references have to outlive it.
     * @param executor Clock.
     * @param service Stores jobs and refusals; must heed refusals.
     * @param log Receives the log events and metrics.
     * @param policy Parameters of the decision.
     */
    JobGate(const core::Executor &executor, JobService &service, LogSink &log, const admission::JobAdmissionPolicy &policy);

    /**
     * @brief Takes an item of the published records.
     * @param item Item of the store; ignored unless it has load figures that are newer than those known.
     */
    void handleItem(const jobs::StoreItem &item);

    /**
     * @brief Takes the removal of a published record.
     * @param key Key of the record.
     */
    void handleRemoval(const std::string &key);

    /**
     * @brief Submits a job, or refuses it. A refusal that can't be recorded becomes a submission.
     * @param job Job to store.
     * @param policy Policy of its queue, for the objective.
     * @param deadline Time at which the submitter gives up.
     * @param onReply Called once with the reply.
     */
    void submit(const jobs::Job &job, const jobs::QueuePolicy &policy, core::TimePoint deadline, JobService::OnReply onReply);

    /** @return Newest load figures; without a version if there are none. */
    [[nodiscard]] const admission::LoadFigures &figures() const noexcept;

    /** @brief Updates the metric of the age of the figures. */
    void updateMetrics();

private:
    void decide(const jobs::Job &job, double objectiveMs, core::TimePoint deadline, const RefusalRecord &refusal, JobService::OnReply onReply);
    void logRefusal(const jobs::Job &job, const admission::AdmissionDecision &decision, const RefusalRecord &refusal);
    void logStale(std::int64_t ageMs);

    const core::Executor &m_executor;
    JobService &m_service;
    LogSink &m_log;
    admission::JobAdmission m_admission;
    admission::LoadFigures m_figures;
    core::TimePoint m_staleLoggedAt;
};

} // namespace oleanderwick::jobnode

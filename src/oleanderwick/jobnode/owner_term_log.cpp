#include "owner_term_state.hpp"

#include "queue_age_gauges.hpp"

namespace oleanderwick::jobnode
{

void OwnerTerm::State::logDecisions()
{
    for (const jobs::Decision &decision : scheduler.takeDecisions()) {
        const jobs::JobEntry *entry = decision.event == "job_ended" ? scheduler.findJob(decision.job) : nullptr;
        if (entry != nullptr) {
            log.metrics().recordJob(entry->job.team, entry->job.queue, std::chrono::milliseconds{entry->endedMs - entry->job.submittedMs});
        }
        logDecision(decision);
    }
    for (const jobs::Decision &decision : balancer.takeDecisions()) {
        logDecision(decision);
    }
    for (const jobs::Decision &decision : maintenance.takeDecisions()) {
        logDecision(decision);
    }
    log.metrics().countWaits(scheduler.takeWaitCounts());
    setQueueAges(log.metrics(), scheduler.queueAgesMs());
}

void OwnerTerm::State::logDecision(const jobs::Decision &decision)
{
    telemetry::Event event{decision.event};
    if (!decision.job.empty()) {
        event.with("job", decision.job);
    }
    if (!decision.worker.empty()) {
        event.with("worker", decision.worker);
    }
    event.append(decision.detail);
    log.add(decision.event, event);
}

} // namespace oleanderwick::jobnode

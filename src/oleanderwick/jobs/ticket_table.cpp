#include "ticket_table.hpp"

namespace oleanderwick::jobs
{

namespace internal
{

/** A ticket is treated as expired this much early, since it must still be valid when the start arrives. */
constexpr core::Duration ticketMargin = std::chrono::milliseconds{200};
/** Limits the duration of a request to the advice service, which grows with the number of workers. */
constexpr std::size_t maxWorkersPerRequest = 30;

} // namespace internal

TicketTable::TicketTable(const StateTable &state)
    : m_state{state}
{
}

const std::string *TicketTable::find(const StepName &step, const std::string &worker, core::TimePoint now) const
{
    const auto advice = m_advice.find(step);
    if (advice == m_advice.end()) {
        return nullptr;
    }
    const auto validity = advice->second.validUntil.find(worker);
    const auto ticket = advice->second.tickets.find(worker);
    const bool valid = validity != advice->second.validUntil.end() && ticket != advice->second.tickets.end() && now < validity->second;
    return valid ? &ticket->second : nullptr;
}

std::optional<AdviceRequest> TicketTable::makeRequest(const StepName &step, const std::string &pool, core::TimePoint now)
{
    Advice &advice = m_advice[step];
    if (advice.requestInFlight) {
        return std::nullopt;
    }
    AdviceRequest request{step, {}};
    for (const std::pair<const std::string, Worker> &item : m_state.workers()) {
        const Worker &worker = item.second;
        const auto validity = advice.validUntil.find(item.first);
        const bool known = validity != advice.validUntil.end() && validity->second > now;
        const bool usable = worker.isSchedulable() && worker.entry.pool == pool;
        if (usable && !known && request.workers.size() < internal::maxWorkersPerRequest) {
            request.workers.push_back(item.first);
        }
    }
    if (request.workers.empty()) {
        return std::nullopt;
    }
    advice.requestInFlight = true;
    return request;
}

void TicketTable::handleAdvice(const AdviceRequest &request,
                               const std::optional<std::map<std::string, std::string>> &tickets,
                               core::Duration validFor,
                               core::TimePoint now)
{
    Advice &advice = m_advice[request.step];
    advice.requestInFlight = false;
    if (!tickets.has_value()) {
        return;
    }
    for (const std::string &worker : request.workers) {
        const auto ticket = tickets->find(worker);
        if (ticket != tickets->end()) {
            advice.tickets[worker] = ticket->second;
        }
        // A worker that was refused for the step stays refused, because the step does not change.
        advice.validUntil[worker] = ticket != tickets->end() ? now + validFor - internal::ticketMargin : core::TimePoint::max();
    }
}

void TicketTable::remove(const StepName &step)
{
    m_advice.erase(step);
}

void TicketTable::removeJob(const std::string &job)
{
    m_advice.erase(m_advice.lower_bound(StepName{job, 0, 0}), m_advice.upper_bound(StepName{job, INT64_MAX, SIZE_MAX}));
}

} // namespace oleanderwick::jobs

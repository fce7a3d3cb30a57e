#pragma once

#include <map>
#include <optional>
#include <string>

#include "commands.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/** @brief Tickets of the advice service, which say which workers may run a step, and the requests for them. */
class TicketTable
{
public:
    /**
     * @brief Creates an empty table.
     * @param state State of the scheduler; must outlive this object.
     */
    explicit TicketTable(const StateTable &state);

    /**
     * @brief Finds the ticket for running a step on a worker.
     * @param step Name of the step.
     * @param worker Name of the worker.
     * @param now Current time of the monotonic clock.
     * @return The ticket, or null if there is no valid one; valid until the next change of the table.
     */
    [[nodiscard]] const std::string *find(const StepName &step, const std::string &worker, core::TimePoint now) const;

    /**
     * @brief Determines for which workers tickets have to be requested; the result must be passed to `handleAdvice`.
     * @param step Name of the step.
     * @param pool Pool of its job.
     * @param now Current time of the monotonic clock.
     * @return The request; `std::nullopt` if one is in flight or there is nothing to request.
     */
    [[nodiscard]] std::optional<AdviceRequest> makeRequest(const StepName &step, const std::string &pool, core::TimePoint now);

    /**
     * @brief Handles a reply of the advice service.
     * @param request Request that was sent.
     * @param tickets Tickets of the workers that may run the step, by worker; `std::nullopt` if the request failed.
     * @param validFor Time for which the tickets are valid.
     * @param now Current time of the monotonic clock.
     */
    void handleAdvice(const AdviceRequest &request,
                      const std::optional<std::map<std::string, std::string>> &tickets,
                      core::Duration validFor,
                      core::TimePoint now);

    /**
     * @brief Removes the tickets of a step.
     * @param step Name of the step.
     */
    void remove(const StepName &step);

    /**
     * @brief Removes the tickets of all steps of a job.
     * @param job Name of the job.
     */
    void removeJob(const std::string &job);

private:
    const StateTable &m_state;
    std::map<StepName, Advice> m_advice;
};

} // namespace oleanderwick::jobs

#pragma once

#include <string>

#include "oleanderwick/http/server.hpp"
#include "oleanderwick/jobnode/job_node.hpp"
#include "store_translator.hpp"

namespace oleanderwick::platform
{

/** @brief Serves the platform's HTTP API, with which submitters submit, query and cancel jobs. */
class Ingress
{
public:
    /**
     * @brief Constructs an ingress; all arguments have to outlive it.
     * @param clock Clock for the deadlines of calls and the submission times of jobs.
     * @param node Node that executes the calls.
     * @param translator Provides the routes, keys and queue policies.
     * @param log Receives an event for each rejected call.
     */
    Ingress(const core::Executor &clock, jobnode::JobNode &node, const StoreTranslator &translator, jobnode::LogSink &log);

    /**
     * @brief Handles a call, or rejects it with an HTTP error.
     * @param request Call of a submitter.
     * @param respond Called once with the response.
     */
    void handle(const http::Request &request, http::Responder respond);

private:
    void submit(const http::Request &request,
                const Route &route,
                const std::string &team,
                const std::string &id,
                core::TimePoint deadline,
                http::Responder respond);
    void status(const std::string &id, const std::string &team, core::TimePoint deadline, const http::Responder &respond);
    void cancel(const std::string &id, const std::string &team, core::TimePoint deadline, const http::Responder &respond);
    void pending(const std::string &queue, core::TimePoint deadline, const http::Responder &respond);
    void reject(const http::Request &request, int status, const char *reason, const http::Responder &respond);

    const core::Executor &m_clock;
    jobnode::JobNode &m_node;
    const StoreTranslator &m_translator;
    jobnode::LogSink &m_log;
};

/**
 * @brief Parses a submission.
 * @param text JSON body of the call.
 * @return The job with its spec, steps and repetition, or `InvalidArgument`. The caller fills in the id, queue, team and policy.
 */
[[nodiscard]] absl::StatusOr<jobs::Job> parseSubmission(const std::string &text);

} // namespace oleanderwick::platform

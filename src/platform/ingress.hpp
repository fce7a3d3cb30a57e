#pragma once

#include <string>

#include "oleanderwick/http/server.hpp"
#include "oleanderwick/jobnode/job_node.hpp"
#include "store_translator.hpp"

namespace oleanderwick::platform
{

/** @brief Calls of submitters in the platform's form. */
class Ingress
{
public:
    /**
     * @brief Opens the ingress.
     * @param clock Tells the time of calls.
     * @param node Node that serves it.
     * @param translator Knows the routes.
     * @param log Takes the log lines.
     */
    Ingress(const core::Executor &clock, jobnode::JobNode &node, const StoreTranslator &translator, jobnode::LogSink &log);

    /**
     * @brief Takes a call.
     * @param request The call.
     * @param respond Takes the answer, once.
     */
    void handle(const http::Request &request, http::Responder respond);

private:
    void submit(const http::Request &request,
                const Route &route,
                const std::string &team,
                const std::string &id,
                core::TimePoint deadline,
                http::Responder respond);
    void status(const std::string &id, core::TimePoint deadline, const http::Responder &respond);
    void cancel(const std::string &id, core::TimePoint deadline, const http::Responder &respond);
    void pending(const std::string &queue, core::TimePoint deadline, const http::Responder &respond);
    void refuse(const http::Request &request, int status, const char *reason, const http::Responder &respond);

    const core::Executor &m_clock;
    jobnode::JobNode &m_node;
    const StoreTranslator &m_translator;
    jobnode::LogSink &m_log;
};

/**
 * @brief Reads a submission.
 * @param text Body of the call.
 * @return The job without its names, or `InvalidArgument`.
 */
[[nodiscard]] absl::StatusOr<jobs::Job> readSubmission(const std::string &text);

} // namespace oleanderwick::platform

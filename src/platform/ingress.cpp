#include "ingress.hpp"

#include <algorithm>
#include <charconv>

#include <absl/strings/str_cat.h>

#include "field_reader.hpp"
#include "wire.hpp"

namespace oleanderwick::platform
{

namespace internal
{

constexpr std::int64_t defaultTimeoutMs = 3000;
constexpr std::int64_t maxTimeoutMs = 60'000;
constexpr std::size_t jobIdDigits = 16;
constexpr std::size_t maxSpecBytes = 4000;
constexpr std::size_t maxSteps = 256;
/** Tasks of all steps and occurrences of a job; their states are one record, which has to fit into a value of the store. */
constexpr std::int64_t maxTasksPerJob = 10'000;

http::Response jsonResponse(int status, const json &body)
{
    return http::Response{status, {{"Content-Type", "application/json"}}, body.is_null() ? std::string{} : body.dump()};
}

http::Response unavailableResponse(int status, std::int64_t retryAfterS = 1)
{
    http::Response response = jsonResponse(status, json{{"error", status == 504 ? "unknown" : "not run"}});
    if (status != 504) {
        response.headers.push_back({"Retry-After", absl::StrCat(std::max<std::int64_t>(retryAfterS, 1))});
    }
    return response;
}

http::Response refusalResponse(const jobnode::JobReply &result)
{
    http::Response response = jsonResponse(result.beyondRate ? 429 : 503, json{{"error", result.beyondRate ? "beyond rate" : "no room in time"}});
    response.headers.push_back({"Retry-After", absl::StrCat(std::max<std::int64_t>(result.retryAfterS, 1))});
    return response;
}

/** Converts the outcome of a job call to a response; `successBody` is the body of a 200. */
http::Response toResponse(const jobnode::JobReply &result, const json &successBody)
{
    switch (result.outcome) {
    case jobnode::JobCallOutcome::Done:
        return jsonResponse(200, successBody);
    case jobnode::JobCallOutcome::NotFound:
        return jsonResponse(410, {});
    case jobnode::JobCallOutcome::NotStored:
        return unavailableResponse(503, result.retryAfterS);
    case jobnode::JobCallOutcome::OtherTeam:
        return jsonResponse(409, json{{"error", "the id is in use"}});
    case jobnode::JobCallOutcome::Withdrawn: {
        http::Response response = jsonResponse(503, json{{"error", "cancelled"}});
        response.headers.push_back({"Retry-After", absl::StrCat(result.retryAfterS)});
        return response;
    }
    case jobnode::JobCallOutcome::Refused:
        return refusalResponse(result);
    case jobnode::JobCallOutcome::NotRefused:
    case jobnode::JobCallOutcome::Unknown:
        break;
    }
    return unavailableResponse(504);
}

std::int64_t timeoutMsOf(const http::Request &request)
{
    const std::string *text = http::findHeader(request.headers, timeoutHeader);
    std::int64_t value = 0;
    if (text == nullptr || std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc{} || value <= 0) {
        return defaultTimeoutMs;
    }
    return std::min(value, maxTimeoutMs);
}

bool isJobId(std::string_view text)
{
    return text.size() == jobIdDigits && std::all_of(text.begin(), text.end(), [](char character) {
               return std::isxdigit(static_cast<unsigned char>(character)) != 0;
           });
}

/** Reads the numbers of the steps on which a step depends; `position` is its own number. */
std::vector<std::size_t> readDependencies(FieldReader &fields, std::size_t position)
{
    std::vector<std::size_t> dependencies;
    const json *rows = fields.find("after", json::value_t::array);
    if (rows == nullptr) {
        return dependencies;
    }
    if (rows->size() > position) {
        fields.fail("after", "has more entries than there are earlier steps");
        return {};
    }
    for (const json &row : *rows) {
        if (!row.is_number_unsigned() || row.get<std::size_t>() >= position) {
            fields.fail("after", "names a step that is not an earlier one");
            return {};
        }
        dependencies.push_back(row.get<std::size_t>());
    }
    return dependencies;
}

absl::StatusOr<jobs::Step> readStep(const json &row, std::size_t position)
{
    if (!row.is_object()) {
        return absl::InvalidArgumentError("not a JSON object");
    }
    FieldReader fields{row};
    jobs::Step step;
    step.count = fields.integer("count", {1, maxTasksPerJob}, 1);
    step.each = fields.resources();
    step.estimateMs = fields.integer("estimate_ms", durationRange);
    step.after = readDependencies(fields, position);
    step.savesProgress = fields.boolean("saves_progress");
    step.gang = fields.boolean("gang");
    step.sameRack = fields.boolean("same_rack");
    step.speculative = fields.boolean("speculative");
    step.continuous = fields.boolean("long_running");
    step.bestEffort = fields.boolean("fills");
    step.requiredLabel = fields.string("requires");
    step.affinityRack = fields.string("affinity");
    step.maxPerWorker = fields.integer("max_per_server", counterRange);
    step.image = fields.string("image");
    step.targetMs = fields.integer("target_ms", durationRange);
    step.maxUnavailable = fields.integer("max_unavailable", counterRange);
    if (!fields.error().empty()) {
        return absl::InvalidArgumentError(fields.error());
    }
    return step;
}

} // namespace internal

absl::StatusOr<jobs::Job> parseSubmission(const std::string &text)
{
    const absl::StatusOr<json> body = readObject(text);
    if (!body.ok()) {
        return body.status();
    }
    FieldReader fields{*body};
    const json *spec = fields.find("spec", json::value_t::string);
    const json *steps = fields.find("steps", json::value_t::array);
    jobs::Job job;
    job.repeatCount = fields.integer("repeat_count", {0, internal::maxTasksPerJob});
    job.firstRunMs = fields.integer("first_run_ms", unixTimeRange);
    job.intervalMs = fields.integer("interval_ms", durationRange);
    if (!fields.error().empty()) {
        return absl::InvalidArgumentError(fields.error());
    }
    if (spec == nullptr || steps == nullptr) {
        return absl::InvalidArgumentError("a job has a spec and steps");
    }
    job.spec = spec->get<std::string>();
    if (job.spec.size() > internal::maxSpecBytes || steps->empty() || steps->size() > internal::maxSteps) {
        return absl::InvalidArgumentError("the spec is too long, or the number of steps is out of bounds");
    }
    std::int64_t tasks = 0;
    for (const json &row : *steps) {
        absl::StatusOr<jobs::Step> step = internal::readStep(row, job.steps.size());
        if (!step.ok()) {
            return absl::InvalidArgumentError(absl::StrCat("step ", job.steps.size(), ": ", step.status().message()));
        }
        tasks += step->count;
        job.steps.push_back(*std::move(step));
    }
    if (tasks > internal::maxTasksPerJob || std::max<std::int64_t>(job.repeatCount, 1) > internal::maxTasksPerJob / tasks) {
        return absl::InvalidArgumentError(absl::StrCat("all occurrences together have more than ", internal::maxTasksPerJob, " tasks"));
    }
    return job;
}

Ingress::Ingress(const core::Executor &clock, jobnode::JobNode &node, const StoreTranslator &translator, jobnode::LogSink &log)
    : m_clock{clock}
    , m_node{node}
    , m_translator{translator}
    , m_log{log}
{
}

void Ingress::reject(const http::Request &request, int status, const char *reason, const http::Responder &respond)
{
    m_log.add("refused",
              telemetry::Event{"refused"}
                  .with("method", request.method)
                  .with("target", request.target)
                  .with("status", status)
                  .with("reason", reason)
                  .with("config", m_node.configVersion()));
    respond(status == 503 ? internal::unavailableResponse(status) : internal::jsonResponse(status, json{{"error", reason}}));
}

void Ingress::handle(const http::Request &request, http::Responder respond)
{
    const core::TimePoint deadline = m_clock.now() + std::chrono::milliseconds{internal::timeoutMsOf(request)};
    if (m_node.configVersion() == 0) {
        reject(request, 503, "no_configuration", respond);
        return;
    }
    const std::string *host = http::findHeader(request.headers, "Host");
    const std::string path = request.target.substr(0, request.target.find('?'));
    const Route *route = m_translator.routes().find(host == nullptr ? std::string{} : *host, path);
    if (route == nullptr) {
        reject(request, 404, "no_queue", respond);
        return;
    }
    const std::string *key = http::findHeader(request.headers, apiKeyHeader);
    const std::string *team = key == nullptr ? nullptr : m_translator.routes().teamOf(*key);
    if (team == nullptr && !route->open) {
        reject(request, 401, key == nullptr ? "no_key" : "unknown_key", respond);
        return;
    }
    const std::string id = path.substr(route->prefix.size());
    // Jobs of an open queue have no team, also where a call carries a key that the queue does not need.
    const std::string caller = team == nullptr || route->open ? std::string{} : *team;
    if (id.empty() && request.method == "GET") {
        pending(route->queue, deadline, respond);
    } else if (!internal::isJobId(id)) {
        reject(request, 404, "no_such_path", respond);
    } else if (request.method == "POST") {
        submit(request, *route, caller, id, deadline, std::move(respond));
    } else if (request.method == "GET") {
        status(id, caller, deadline, respond);
    } else if (request.method == "DELETE") {
        cancel(id, caller, deadline, respond);
    } else {
        reject(request, 405, "method", respond);
    }
}

void Ingress::submit(const http::Request &request,
                     const Route &route,
                     const std::string &team,
                     const std::string &id,
                     core::TimePoint deadline,
                     http::Responder respond)
{
    absl::StatusOr<jobs::Job> job = parseSubmission(request.body);
    if (!job.ok()) {
        m_log.add("bad_job", telemetry::Event{"bad_job"}.with("job", id).with("queue", route.queue).with("error", std::string{job.status().message()}));
        respond(internal::jsonResponse(400, json{{"error", std::string{job.status().message()}}}));
        return;
    }
    job->id = id;
    job->queue = route.queue;
    const jobs::QueuePolicy policy = m_translator.routes().policyOf(route.queue);
    job->pool = policy.pool;
    job->maxAttempts = policy.maxAttempts;
    job->team = team;
    job->submittedMs = m_clock.wallMs();
    m_node.submit(*job, policy, deadline, [answer = std::move(respond)](const jobnode::JobReply &result) {
        answer(internal::toResponse(result, json::object()));
    });
}

void Ingress::status(const std::string &id, const std::string &team, core::TimePoint deadline, const http::Responder &respond)
{
    m_node.jobService().status(id, team, deadline, [respond](const jobnode::JobReply &result) {
        json body{{"state", jobs::toText(result.state)}};
        if (!result.reason.empty()) {
            body["reason"] = result.reason;
        }
        respond(internal::toResponse(result, body));
    });
}

void Ingress::cancel(const std::string &id, const std::string &team, core::TimePoint deadline, const http::Responder &respond)
{
    m_node.jobService().cancel(id, team, deadline, [respond](const jobnode::JobReply &result) {
        respond(internal::toResponse(result, json::object()));
    });
}

void Ingress::pending(const std::string &queue, core::TimePoint deadline, const http::Responder &respond)
{
    m_node.jobService().pending(queue, deadline, [respond](const jobnode::JobReply &result) {
        respond(internal::toResponse(result, json{{"pending", result.pending}}));
    });
}

} // namespace oleanderwick::platform

#include "operator_api.hpp"

#include <array>
#include <charconv>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>
#include <sodium.h>

#include "../core/json_reading.hpp"
#include "problem.hpp"

namespace oleanderwick::node
{

namespace internal
{

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusPreconditionFailed = 412;
constexpr int statusUnsupportedMediaType = 415;
constexpr int statusUnprocessable = 422;
constexpr int statusPreconditionRequired = 428;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr int statusConflict = 409;
constexpr std::size_t maxPatchIdLength = 128;
constexpr std::size_t waveIdLength = 12;
/** Number of parts into which slashes split `/v1/waves/{id}/{action}`. */
constexpr std::size_t wavePathParts = 5;

http::Response waveProblem(const absl::Status &status)
{
    const std::string detail{status.message()};
    switch (status.code()) {
    case absl::StatusCode::kNotFound:
        return operatorProblem(statusNotFound, "no_such_wave", detail);
    case absl::StatusCode::kAlreadyExists:
    case absl::StatusCode::kFailedPrecondition:
        return operatorProblem(statusConflict, "wave_conflict", detail);
    case absl::StatusCode::kUnavailable:
        return operatorProblem(statusUnavailable, "store_unavailable", "not done: " + detail);
    default:
        return operatorProblem(statusGatewayTimeout, "outcome_unknown", "the change may have been made: " + detail);
    }
}

std::optional<config::Version> parseVersion(std::string_view text)
{
    config::Version version = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), version);
    if (text.empty() || result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return version;
}

/** Parses the entity tag `"N"`. */
std::optional<config::Version> parseTag(const std::string &tag)
{
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
        return std::nullopt;
    }
    return parseVersion(std::string_view{tag}.substr(1, tag.size() - 2));
}

std::string makeTag(config::Version version)
{
    return absl::StrCat("\"", version, "\"");
}

std::optional<config::PatchFormat> parseFormat(const http::Request &request)
{
    const std::string *type = http::findHeader(request.headers, "Content-Type");
    if (type != nullptr && absl::StartsWithIgnoreCase(*type, "application/json-patch+json")) {
        return config::PatchFormat::JsonPatch;
    }
    if (type != nullptr && absl::StartsWithIgnoreCase(*type, "application/merge-patch+json")) {
        return config::PatchFormat::MergePatch;
    }
    return std::nullopt;
}

http::Response patchResponse(const PatchOutcome &outcome, const std::string &id)
{
    using Kind = PatchOutcome::Kind;
    const std::string retryHint = absl::StrCat("the patch may have been applied; send it again with Oleanderwick-Patch-Id: ", id);
    switch (outcome.kind) {
    case Kind::Accepted: {
        const nlohmann::json body = {{"version", outcome.version}, {"patchId", id}};
        http::Response response = jsonResponse(body.dump());
        response.headers.push_back(http::Header{"ETag", makeTag(outcome.version)});
        return response;
    }
    case Kind::Conflict: {
        http::Response response = operatorProblem(statusPreconditionFailed, "version_conflict", outcome.detail);
        response.headers.push_back(http::Header{"ETag", makeTag(outcome.version)});
        return response;
    }
    case Kind::Invalid:
        return operatorProblem(statusUnprocessable, "invalid_patch", outcome.detail);
    case Kind::NotApplied:
        return operatorProblem(statusUnavailable, "store_unavailable", "not applied: " + outcome.detail);
    case Kind::Unknown:
        break;
    }
    return operatorProblem(statusGatewayTimeout, "outcome_unknown", retryHint);
}

} // namespace internal

OperatorApi::OperatorApi(const settings::Settings &settings,
                         ConfigKeeper &keeper,
                         DigestSlot &digest,
                         StoreRing &storeTasks,
                         DecisionRing &decisions,
                         telemetry::Metrics &metrics,
                         std::function<bool()> ready)
    : m_settings{settings}
    , m_keeper{keeper}
    , m_digest{digest}
    , m_storeTasks{storeTasks}
    , m_decisions{decisions}
    , m_metrics{metrics}
    , m_ready{std::move(ready)}
    , m_peerEndpoint{*this}
{
}

const OperatorApi::RouteEntry *OperatorApi::findRoute(const http::Request &request, const std::string &path)
{
    static constexpr std::array<RouteEntry, 11> routes{{
        {"GET", "/v1/config", false, false, &OperatorApi::showConfig},
        {"PATCH", "/v1/config", false, false, &OperatorApi::patchConfig},
        {"GET", "/v1/config/history", false, false, &OperatorApi::showHistory},
        {"GET", "/v1/status", false, false, &OperatorApi::showStatus},
        {"GET", "/v1/waves", false, false, &OperatorApi::showWaves},
        {"POST", "/v1/waves", false, false, &OperatorApi::startWave},
        {"POST", "/v1/waves/", true, false, &OperatorApi::changeWave},
        {"GET", "/metrics", false, true, &OperatorApi::showMetrics},
        {"GET", "/healthz", false, true, &OperatorApi::showHealth},
        {"GET", "/readyz", false, true, &OperatorApi::showReady},
        {"POST", peer::peerPath, false, true, &OperatorApi::servePeer},
    }};
    for (const RouteEntry &entry : routes) {
        const bool matches = entry.prefix ? path.starts_with(entry.path) : path == entry.path;
        if (request.method == entry.method && matches) {
            return &entry;
        }
    }
    return nullptr;
}

std::string OperatorApi::operatorOf(const http::Request &request) const
{
    const std::string *authorization = http::findHeader(request.headers, "Authorization");
    if (authorization == nullptr || !authorization->starts_with(internal::bearerPrefix)) {
        return {};
    }
    const std::string_view key = std::string_view{*authorization}.substr(internal::bearerPrefix.size());
    std::string name;
    for (const settings::Operator &candidate : m_settings.operators) {
        if (config::matchesHash(key, candidate.keyHash)) {
            name = candidate.name;
        }
    }
    return name;
}

bool OperatorApi::isPeer(const http::Request &request) const
{
    const std::string *secret = http::findHeader(request.headers, peer::secretHeader);
    const std::string &own = m_settings.clusterSecret;
    return secret != nullptr && !own.empty() && secret->size() == own.size() && sodium_memcmp(secret->data(), own.data(), own.size()) == 0;
}

void OperatorApi::handle(const http::Request &request, const http::Responder &respond)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    const RouteEntry *entry = findRoute(request, path);
    if (entry == nullptr) {
        respond(operatorProblem(internal::statusNotFound, "no_such_path", request.method + " " + path));
        return;
    }
    const std::string author = operatorOf(request);
    if (!entry->open && author.empty()) {
        respond(operatorProblem(internal::statusUnauthorized, "operator_key_needed", "an operator's key is required as Authorization: Bearer KEY"));
        return;
    }
    (this->*entry->route)(request, respond, author);
}

void OperatorApi::showConfig(const http::Request &request, const http::Responder &respond, const std::string &)
{
    const config::SnapshotPtr current = m_keeper.current();
    constexpr std::string_view versionQuery = "?version=";
    const std::size_t query = request.target.find(versionQuery);
    if (query != std::string::npos) {
        const std::optional<config::Version> requested = internal::parseVersion(std::string_view{request.target}.substr(query + versionQuery.size()));
        if (!requested || *requested != current->version()) {
            respond(operatorProblem(internal::statusNotFound, "version_not_kept", absl::StrCat("the current version is ", current->version())));
            return;
        }
    }
    const nlohmann::json body = {{"version", current->version()}, {"document", config::toJson(current->document())}};
    http::Response response = jsonResponse(body.dump());
    response.headers.push_back(http::Header{"ETag", internal::makeTag(current->version())});
    respond(std::move(response));
}

void OperatorApi::patchConfig(const http::Request &request, const http::Responder &respond, const std::string &author)
{
    const std::string *match = http::findHeader(request.headers, "If-Match");
    const std::optional<config::Version> base = match == nullptr ? std::nullopt : internal::parseTag(*match);
    if (!base) {
        respond(
            operatorProblem(internal::statusPreconditionRequired, "if_match_needed", "If-Match has to contain the configuration version, for example \"7\""));
        return;
    }
    const std::optional<config::PatchFormat> format = internal::parseFormat(request);
    if (!format) {
        const char *detail = "Content-Type has to be application/json-patch+json or application/merge-patch+json";
        respond(operatorProblem(internal::statusUnsupportedMediaType, "unknown_format", detail));
        return;
    }
    const std::string *suppliedId = http::findHeader(request.headers, "Oleanderwick-Patch-Id");
    if (suppliedId != nullptr && (suppliedId->empty() || suppliedId->size() > internal::maxPatchIdLength)) {
        respond(operatorProblem(internal::statusBadRequest, "bad_patch_id", "a patch id has 1 to 128 characters"));
        return;
    }
    const std::string id = suppliedId == nullptr ? config::randomHex() : *suppliedId;
    PatchTask task{config::Patch{id, author, *base, *format, request.body}, [respond, id](const PatchOutcome &outcome) {
                       respond(internal::patchResponse(outcome, id));
                   }};
    if (!m_storeTasks.tryPush(std::move(task))) {
        respond(operatorProblem(internal::statusUnavailable, "node_full", "not applied: too many patches are queued"));
    }
}

void OperatorApi::showHistory(const http::Request &, const http::Responder &respond, const std::string &)
{
    respond(jsonResponse(config::historyToJson(m_keeper.current()->record()).dump()));
}

void OperatorApi::showStatus(const http::Request &, const http::Responder &respond, const std::string &)
{
    const membership::Digest digest = m_digest.read();
    nlohmann::json alive = nlohmann::json::array();
    for (const core::NodeId &node : digest.alive) {
        alive.push_back(node.text());
    }
    nlohmann::json demands = nlohmann::json::array();
    for (const allotment::TeamDemand &demand : digest.demands) {
        demands.push_back({{"pool", demand.pool.text()}, {"team", demand.team.text()}, {"running", demand.running}, {"waiting", demand.waiting}});
    }
    const nlohmann::json body = {{"node", digest.node.text()},
                                 {"zone", m_settings.zone},
                                 {"ready", m_ready()},
                                 {"version", m_keeper.current()->version()},
                                 {"storeAgeMs", digest.storeAgeMs},
                                 {"alive", std::move(alive)},
                                 {"demands", std::move(demands)}};
    respond(jsonResponse(body.dump()));
}

void OperatorApi::changeWaveList(WaveTask task, const http::Responder &respond)
{
    task.done = [respond](const absl::StatusOr<maintenance::WaveList> &list) {
        respond(list.ok() ? jsonResponse(maintenance::toJson(*list).dump()) : internal::waveProblem(list.status()));
    };
    if (!m_storeTasks.tryPush(std::move(task))) {
        respond(operatorProblem(internal::statusUnavailable, "node_full", "not done: too many changes are queued"));
    }
}

void OperatorApi::showWaves(const http::Request &, const http::Responder &respond, const std::string &)
{
    changeWaveList(WaveTask{[](const maintenance::WaveList &list) {
                                return absl::StatusOr<maintenance::WaveList>{list};
                            },
                            nullptr},
                   respond);
}

void OperatorApi::startWave(const http::Request &request, const http::Responder &respond, const std::string &)
{
    const nlohmann::json body = core::parseJsonOrDiscard(request.body);
    const nlohmann::json pool = body.is_object() ? body.value("pool", nlohmann::json()) : nlohmann::json();
    const nlohmann::json suppliedId = body.is_object() ? body.value("id", nlohmann::json()) : nlohmann::json();
    if (!pool.is_string() || !m_keeper.current()->document().pools.contains(core::PoolId{pool.get<std::string>()})) {
        respond(operatorProblem(internal::statusUnprocessable, "no_such_pool", "the body has to be {\"pool\": NAME, \"id\": ID}"));
        return;
    }
    const std::string id = suppliedId.is_string() ? suppliedId.get<std::string>() : config::randomHex().substr(0, internal::waveIdLength);
    const core::PoolId name{pool.get<std::string>()};
    changeWaveList(WaveTask{[id, name](maintenance::WaveList list) {
                                return maintenance::startWave(std::move(list), id, name);
                            },
                            nullptr},
                   respond);
}

void OperatorApi::changeWave(const http::Request &request, const http::Responder &respond, const std::string &)
{
    using maintenance::WaveStatus;
    const std::vector<std::string> parts = absl::StrSplit(request.target, '/');
    const std::string id = parts.size() == internal::wavePathParts ? parts[3] : "";
    const std::string action = parts.size() == internal::wavePathParts ? parts[4] : "";
    const std::optional<WaveStatus> status = action == "pause" ? std::optional{WaveStatus::Paused}
        : action == "resume"                                   ? std::optional{WaveStatus::Running}
        : action == "stop"                                     ? std::optional{WaveStatus::Stopped}
                                                               : std::nullopt;
    if (!status) {
        respond(operatorProblem(internal::statusNotFound, "no_such_path", "/v1/waves/{id}/pause, resume or stop"));
        return;
    }
    changeWaveList(WaveTask{[id, chosen = *status](maintenance::WaveList list) {
                                return maintenance::changeWave(std::move(list), id, chosen);
                            },
                            nullptr},
                   respond);
}

void OperatorApi::showMetrics(const http::Request &, const http::Responder &respond, const std::string &)
{
    const config::SnapshotPtr current = m_keeper.current();
    m_metrics.setGauge("config_version", static_cast<double>(current->version()));
    m_metrics.setGauge("closed_zones", static_cast<double>(current->document().closedZones.size()));
    respond(http::Response{200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_metrics.toText()});
}

void OperatorApi::showHealth(const http::Request &, const http::Responder &respond, const std::string &)
{
    respond(http::Response{200, {{"Content-Type", "text/plain"}}, "ok\n"});
}

void OperatorApi::showReady(const http::Request &, const http::Responder &respond, const std::string &)
{
    const bool ready = m_ready();
    respond(http::Response{ready ? 200 : internal::statusUnavailable, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n"});
}

void OperatorApi::servePeer(const http::Request &request, const http::Responder &respond, const std::string &)
{
    if (!isPeer(request)) {
        respond(operatorProblem(internal::statusForbidden, "cluster_secret_needed", "reserved for nodes of the fleet"));
        return;
    }
    respond(jsonResponse(m_peerEndpoint.handle(request.body)));
}

membership::Digest OperatorApi::exchange(const membership::Digest &digest)
{
    (void)m_decisions.tryPushBelow(PeerDigestReceived{digest}, maxQueuedBeforeDrop);
    return m_digest.read();
}

std::string OperatorApi::configRecord()
{
    return config::toText(m_keeper.current()->record());
}

} // namespace oleanderwick::node

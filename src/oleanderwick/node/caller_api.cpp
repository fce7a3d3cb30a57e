#include "caller_api.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "problem.hpp"

namespace oleanderwick::node
{

namespace internal
{

constexpr std::string_view queuePrefix = "/q/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr absl::string_view ownHeaderPrefix = "oleanderwick-";
constexpr core::Duration defaultRetryAfter = std::chrono::seconds{1};
constexpr int statusNotFound = 404;
constexpr int statusUnprocessable = 422;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
constexpr core::Duration claimRetryDelay = std::chrono::milliseconds{200};
constexpr core::Duration maxClaimWait = std::chrono::seconds{10};

/** @brief Parts of `/q/{queue}/{path}`. */
struct QueueTarget {
    std::string queue;
    std::string path;
};

std::optional<QueueTarget> parseTarget(const std::string &target)
{
    if (!target.starts_with(queuePrefix)) {
        return std::nullopt;
    }
    const std::size_t end = std::min(target.find_first_of("/?", queuePrefix.size()), target.size());
    QueueTarget parts{target.substr(queuePrefix.size(), end - queuePrefix.size()), target.substr(end)};
    if (parts.queue.empty()) {
        return std::nullopt;
    }
    if (parts.path.empty() || parts.path.front() != '/') {
        parts.path = absl::StrCat("/", parts.path);
    }
    return parts;
}

core::Duration parseTimeout(const http::Request &request)
{
    const std::string *text = http::findHeader(request.headers, "Oleanderwick-Timeout-Ms");
    std::uint32_t value = 0;
    if (text != nullptr) {
        std::from_chars(text->data(), text->data() + text->size(), value);
    }
    return std::chrono::milliseconds{value};
}

bool headerEquals(const http::Request &request, std::string_view name, std::string_view value)
{
    const std::string *found = http::findHeader(request.headers, name);
    return found != nullptr && *found == value;
}

/** Removes headers that must not be forwarded: hop-by-hop headers, `Authorization` and `Oleanderwick-*`. */
void removeInternalHeaders(std::vector<http::Header> &headers)
{
    http::removeHopByHop(headers);
    std::erase_if(headers, [](const http::Header &header) {
        return absl::EqualsIgnoreCase(header.name, "authorization") || absl::StartsWithIgnoreCase(header.name, ownHeaderPrefix);
    });
}

} // namespace internal

CallerApi::CallerApi(core::NodeId node,
                     http::Loop &loop,
                     http::UpstreamConnections &upstreams,
                     DecisionRing &decisions,
                     IdempotencyRing &idempotencyRing,
                     ConfigKeeper &keeper,
                     std::size_t fleetSize,
                     std::size_t maxRequests,
                     std::size_t maxAnswerBytes)
    : m_node{std::move(node)}
    , m_loop{loop}
    , m_upstreams{upstreams}
    , m_decisions{decisions}
    , m_idempotencyRing{idempotencyRing}
    , m_keeper{keeper}
    , m_fleetSize{fleetSize}
    , m_maxRequests{maxRequests}
    , m_maxAnswerBytes{maxAnswerBytes}
{
}

std::size_t CallerApi::size() const noexcept
{
    return m_pending.size();
}

dispatch::Arrival CallerApi::makeArrival(const http::Request &request, const std::string &queue) const
{
    dispatch::Arrival arrival;
    arrival.number = m_lastNumber;
    arrival.queue = core::QueueId{queue};
    const std::string *authorization = http::findHeader(request.headers, "Authorization");
    if (authorization != nullptr && authorization->starts_with(internal::bearerPrefix)) {
        arrival.key = config::parseKey(std::string_view{*authorization}.substr(internal::bearerPrefix.size()));
    }
    arrival.idempotent = routing::isIdempotent(request.method) || internal::headerEquals(request, "Oleanderwick-Idempotent", "true");
    arrival.urgent = internal::headerEquals(request, "Oleanderwick-Priority", "urgent");
    arrival.timeout = internal::parseTimeout(request);
    return arrival;
}

void CallerApi::handle(http::Request request, http::Responder respond)
{
    std::optional<internal::QueueTarget> target = internal::parseTarget(request.target);
    if (!target) {
        respond(problem(core::Refusal{internal::statusNotFound, core::Outcome::NotRun, "no_such_path", core::Duration::zero()}));
        return;
    }
    const core::Refusal full{internal::statusUnavailable, core::Outcome::NotRun, "node_full", internal::defaultRetryAfter};
    if (m_pending.size() >= m_maxRequests) {
        respond(problem(full));
        return;
    }
    ++m_lastNumber;
    PendingRequest pending;
    pending.respond = std::move(respond);
    pending.id = absl::StrCat(m_node.text(), "-", m_lastNumber);
    pending.arrival = makeArrival(request, target->queue);
    const std::string *key = http::findHeader(request.headers, "Idempotency-Key");
    if (key != nullptr && !key->empty()) {
        const std::optional<core::TeamId> team = pending.arrival.key ? m_keeper.current()->teamOf(*pending.arrival.key) : std::nullopt;
        pending.idempotencyRecordName = idempotencyRecordName(team.value_or(config::openTeam()), pending.arrival.queue, *key);
        pending.fingerprint = fingerprintOf(request);
        pending.claimDeadline = core::BootClock::now() + internal::maxClaimWait;
    }
    request.target = std::move(target->path);
    internal::removeInternalHeaders(request.headers);
    pending.request = std::move(request);
    PendingRequest &stored = m_pending.emplace(m_lastNumber, std::move(pending)).first->second;
    if (stored.idempotencyRecordName.empty()) {
        sendToDecisionDuty(stored);
    } else {
        claim(m_lastNumber);
    }
}

void CallerApi::sendToDecisionDuty(PendingRequest &pending)
{
    const admission::RequestNumber number = pending.arrival.number;
    if (!m_decisions.tryPush(pending.arrival)) {
        refuse(number, core::Refusal{internal::statusUnavailable, core::Outcome::NotRun, "node_full", internal::defaultRetryAfter});
    }
}

void CallerApi::claim(admission::RequestNumber number)
{
    const PendingRequest &pending = m_pending.at(number);
    IdempotencyClaim task{pending.idempotencyRecordName, pending.id, pending.fingerprint, [this, number](const ClaimResult &result) {
                              m_loop.post([this, number, result] {
                                  handleClaimResult(number, result);
                              });
                          }};
    if (!m_idempotencyRing.tryPush(std::move(task))) {
        handleClaimResult(number, ClaimResult{});
    }
}

void CallerApi::handleClaimResult(admission::RequestNumber number, const ClaimResult &result)
{
    using Kind = ClaimResult::Kind;
    PendingRequest &pending = m_pending.at(number);
    const bool mayWait = core::BootClock::now() < pending.claimDeadline;
    if (result.kind == Kind::Claimed) {
        sendToDecisionDuty(pending);
        return;
    }
    if (result.kind == Kind::Running && mayWait) {
        m_loop.after(internal::claimRetryDelay, [this, number] {
            claim(number);
        });
        return;
    }
    // The request did not claim the key itself, so it must not release it.
    pending.idempotencyRecordName.clear();
    switch (result.kind) {
    case Kind::Answered:
        sendResponse(number, result.answer, false);
        return;
    case Kind::Different:
        refuse(number, core::Refusal{internal::statusUnprocessable, core::Outcome::NotRun, "key_used_for_another_request", core::Duration::zero()});
        return;
    case Kind::Running:
        refuse(number, core::Refusal{internal::statusGatewayTimeout, core::Outcome::Unknown, "first_request_without_answer", internal::defaultRetryAfter});
        return;
    case Kind::Claimed:
    case Kind::NotAvailable:
        break;
    }
    refuse(number, core::Refusal{internal::statusUnavailable, core::Outcome::NotRun, "key_not_recorded", internal::defaultRetryAfter});
}

void CallerApi::refuse(admission::RequestNumber number, const core::Refusal &refusal)
{
    sendResponse(number, problem(refusal), refusal.outcome == core::Outcome::NotRun);
}

void CallerApi::sendResponse(admission::RequestNumber number, http::Response response, bool notRun)
{
    const auto entry = m_pending.find(number);
    OLEANDERWICK_ASSERT(entry != m_pending.end(), "a response belongs to a pending request");
    PendingRequest pending = std::move(entry->second);
    m_pending.erase(entry);
    http::Response stored = response;
    response.headers.push_back(http::Header{http::requestIdHeader, pending.id});
    if (pending.idempotencyRecordName.empty()) {
        pending.respond(std::move(response));
        return;
    }
    // The caller is answered after the record is written, so that a retry finds it.
    const std::function<void()> respond = [reply = pending.respond, response] {
        reply(response);
    };
    IdempotencyFinish finish{pending.idempotencyRecordName, pending.id, pending.fingerprint, notRun ? std::nullopt : std::optional{std::move(stored)}, respond};
    if (!m_idempotencyRing.tryPush(std::move(finish))) {
        respond();
    }
}

void CallerApi::execute(const dispatch::Actions &actions)
{
    for (const dispatch::Action &action : actions) {
        std::visit(
            [this](const auto &step) {
                execute(step);
            },
            action);
    }
}

void CallerApi::execute(const dispatch::StartAttempt &start)
{
    const auto pending = m_pending.find(start.number);
    OLEANDERWICK_ASSERT(pending != m_pending.end(), "an attempt is started for a pending request");
    if (core::BootClock::now() >= start.validUntil) {
        http::ExchangeResult result;
        result.outcome = routing::ExchangeOutcome::NothingSent;
        handleExchangeResult(start.number, std::move(result));
        return;
    }
    http::Exchange exchange;
    exchange.address = start.address;
    exchange.request = pending->second.request;
    exchange.request.headers.push_back(http::Header{"Oleanderwick-Timeout-Ms", std::to_string(core::milliseconds(start.remaining))});
    exchange.requestId = pending->second.id;
    exchange.timeout = start.timeout;
    exchange.freshConnection = start.freshConnection;
    exchange.maxResponseBytes = m_maxAnswerBytes;
    exchange.maxIdleConnections = start.idleConnections / m_fleetSize;
    const admission::RequestNumber number = start.number;
    m_upstreams.start(std::move(exchange), [this, number](http::ExchangeResult result) {
        handleExchangeResult(number, std::move(result));
    });
}

void CallerApi::handleExchangeResult(admission::RequestNumber number, http::ExchangeResult result)
{
    const auto pending = m_pending.find(number);
    OLEANDERWICK_ASSERT(pending != m_pending.end(), "a finished attempt belongs to a pending request");
    pending->second.answer = std::move(result.response);
    const bool pushed = m_decisions.tryPush(dispatch::AttemptResult{number, result.outcome, result.leaving});
    OLEANDERWICK_ASSERT(pushed, "the ring has room for one event per pending request");
}

void CallerApi::execute(const dispatch::Refuse &refused)
{
    refuse(refused.number, refused.refusal);
}

void CallerApi::execute(const dispatch::Deliver &deliver)
{
    http::Response response = std::move(m_pending.at(deliver.number).answer);
    internal::removeInternalHeaders(response.headers);
    sendResponse(deliver.number, std::move(response), false);
}

} // namespace oleanderwick::node

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
constexpr core::Duration fullRetryAfter = std::chrono::seconds{1};
constexpr int statusNotFound = 404;
constexpr int statusDifferent = 422;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
constexpr core::Duration claimPause = std::chrono::milliseconds{200};
constexpr core::Duration longestClaimWait = std::chrono::seconds{10};

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

bool hasValue(const http::Request &request, std::string_view name, std::string_view value)
{
    const std::string *found = http::findHeader(request.headers, name);
    return found != nullptr && *found == value;
}

/** Removes what is meant for this node and not for the upstream. */
void cleanHeaders(std::vector<http::Header> &headers)
{
    http::removeHopByHop(headers);
    std::erase_if(headers, [](const http::Header &header) {
        return absl::EqualsIgnoreCase(header.name, "authorization") || absl::StartsWithIgnoreCase(header.name, ownHeaderPrefix);
    });
}

} // namespace internal

CallerApi::CallerApi(core::NodeId node,
                     http::Loop &loop,
                     http::UpstreamConnections &links,
                     DecisionRing &decisions,
                     KeyedRing &keyed,
                     ConfigKeeper &keeper,
                     std::size_t fleetSize,
                     std::size_t maxRequests,
                     std::size_t maxAnswerBytes)
    : m_node{std::move(node)}
    , m_loop{loop}
    , m_links{links}
    , m_decisions{decisions}
    , m_keyed{keyed}
    , m_keeper{keeper}
    , m_fleetSize{fleetSize}
    , m_maxRequests{maxRequests}
    , m_maxAnswerBytes{maxAnswerBytes}
{
}

std::size_t CallerApi::size() const noexcept
{
    return m_held.size();
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
    arrival.idempotent = routing::isIdempotent(request.method) || internal::hasValue(request, "Oleanderwick-Idempotent", "true");
    arrival.urgent = internal::hasValue(request, "Oleanderwick-Priority", "urgent");
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
    const core::Refusal full{internal::statusUnavailable, core::Outcome::NotRun, "node_full", internal::fullRetryAfter};
    if (m_held.size() >= m_maxRequests) {
        respond(problem(full));
        return;
    }
    ++m_lastNumber;
    Held held;
    held.respond = std::move(respond);
    held.id = absl::StrCat(m_node.text(), "-", m_lastNumber);
    held.arrival = makeArrival(request, target->queue);
    const std::string *key = http::findHeader(request.headers, "Idempotency-Key");
    if (key != nullptr && !key->empty()) {
        const std::optional<core::TeamId> team = held.arrival.key ? m_keeper.current()->teamOf(*held.arrival.key) : std::nullopt;
        held.keyedName = keyedName(team.value_or(config::openTeam()), held.arrival.queue, *key);
        held.fingerprint = fingerprintOf(request);
        held.waitsUntil = core::BootClock::now() + internal::longestClaimWait;
    }
    request.target = std::move(target->path);
    internal::cleanHeaders(request.headers);
    held.request = std::move(request);
    Held &kept = m_held.emplace(m_lastNumber, std::move(held)).first->second;
    if (kept.keyedName.empty()) {
        admit(kept);
    } else {
        claim(m_lastNumber);
    }
}

void CallerApi::admit(Held &held)
{
    const admission::RequestNumber number = held.arrival.number;
    if (!m_decisions.tryPush(held.arrival)) {
        refuse(number, core::Refusal{internal::statusUnavailable, core::Outcome::NotRun, "node_full", internal::fullRetryAfter});
    }
}

void CallerApi::claim(admission::RequestNumber number)
{
    const Held &held = m_held.at(number);
    KeyedClaim task{held.keyedName, held.id, held.fingerprint, [this, number](const ClaimResult &result) {
                        m_loop.post([this, number, result] {
                            claimed(number, result);
                        });
                    }};
    if (!m_keyed.tryPush(std::move(task))) {
        claimed(number, ClaimResult{});
    }
}

void CallerApi::claimed(admission::RequestNumber number, const ClaimResult &result)
{
    using Kind = ClaimResult::Kind;
    Held &held = m_held.at(number);
    const bool mayWait = core::BootClock::now() < held.waitsUntil;
    if (result.kind == Kind::Claimed) {
        admit(held);
        return;
    }
    // From here on the request has no claim of its own to finish.
    if (result.kind == Kind::Running && mayWait) {
        m_loop.after(internal::claimPause, [this, number] {
            claim(number);
        });
        return;
    }
    held.keyedName.clear();
    switch (result.kind) {
    case Kind::Answered:
        answer(number, result.answer, false);
        return;
    case Kind::Different:
        refuse(number, core::Refusal{internal::statusDifferent, core::Outcome::NotRun, "key_used_for_another_request", core::Duration::zero()});
        return;
    case Kind::Running:
        refuse(number, core::Refusal{internal::statusTimeout, core::Outcome::Unknown, "first_request_without_answer", internal::fullRetryAfter});
        return;
    case Kind::Claimed:
    case Kind::NotAvailable:
        break;
    }
    refuse(number, core::Refusal{internal::statusUnavailable, core::Outcome::NotRun, "key_not_recorded", internal::fullRetryAfter});
}

void CallerApi::refuse(admission::RequestNumber number, const core::Refusal &refusal)
{
    answer(number, problem(refusal), refusal.outcome == core::Outcome::NotRun);
}

void CallerApi::answer(admission::RequestNumber number, http::Response response, bool notRun)
{
    const auto entry = m_held.find(number);
    OLEANDERWICK_ASSERT(entry != m_held.end(), "an answer is for a request that is held");
    Held held = std::move(entry->second);
    m_held.erase(entry);
    http::Response kept = response;
    response.headers.push_back(http::Header{http::requestIdHeader, held.id});
    if (held.keyedName.empty()) {
        held.respond(std::move(response));
        return;
    }
    // Answered once the record is written, so that a repeat finds it.
    const std::function<void()> respond = [reply = held.respond, response] {
        reply(response);
    };
    KeyedFinish finish{held.keyedName, held.id, held.fingerprint, notRun ? std::nullopt : std::optional{std::move(kept)}, respond};
    if (!m_keyed.tryPush(std::move(finish))) {
        respond();
    }
}

void CallerApi::act(const dispatch::Actions &actions)
{
    for (const dispatch::Action &action : actions) {
        std::visit(
            [this](const auto &step) {
                act(step);
            },
            action);
    }
}

void CallerApi::act(const dispatch::StartAttempt &start)
{
    const auto held = m_held.find(start.number);
    OLEANDERWICK_ASSERT(held != m_held.end(), "an attempt is made for a request that is held");
    if (core::BootClock::now() >= start.validUntil) {
        http::ExchangeResult result;
        result.outcome = routing::ExchangeOutcome::NothingSent;
        ended(start.number, std::move(result));
        return;
    }
    http::Exchange exchange;
    exchange.address = start.address;
    exchange.request = held->second.request;
    exchange.request.headers.push_back(http::Header{"Oleanderwick-Timeout-Ms", std::to_string(core::milliseconds(start.remaining))});
    exchange.requestId = held->second.id;
    exchange.timeout = start.timeout;
    exchange.freshConnection = start.freshConnection;
    exchange.maxResponseBytes = m_maxAnswerBytes;
    exchange.maxIdleConnections = start.idleConnections / m_fleetSize;
    const admission::RequestNumber number = start.number;
    m_links.start(std::move(exchange), [this, number](http::ExchangeResult result) {
        ended(number, std::move(result));
    });
}

void CallerApi::ended(admission::RequestNumber number, http::ExchangeResult result)
{
    const auto held = m_held.find(number);
    OLEANDERWICK_ASSERT(held != m_held.end(), "an attempt ends for a request that is held");
    held->second.answer = std::move(result.response);
    const bool pushed = m_decisions.tryPush(dispatch::AttemptResult{number, result.outcome, result.leaving});
    OLEANDERWICK_ASSERT(pushed, "the ring has room for one event of each request");
}

void CallerApi::act(const dispatch::Refuse &refused)
{
    refuse(refused.number, refused.refusal);
}

void CallerApi::act(const dispatch::Deliver &deliver)
{
    http::Response response = std::move(m_held.at(deliver.number).answer);
    internal::cleanHeaders(response.headers);
    answer(deliver.number, std::move(response), false);
}

} // namespace oleanderwick::node

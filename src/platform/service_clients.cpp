#include "service_clients.hpp"

#include <absl/strings/str_cat.h>

#include "wire.hpp"

namespace oleanderwick::platform
{

namespace internal
{

constexpr core::Duration listTimeout = std::chrono::milliseconds{1500};
constexpr core::Duration commandTimeout = std::chrono::milliseconds{1500};
/** Longer than the others, because the service takes time for each worker of the request. */
constexpr core::Duration adviceTimeout = std::chrono::milliseconds{3000};
constexpr std::size_t maxCommandReplyBytes = 64U << 10U;
/** A request names at most 100 workers, each of which gets one ticket. */
constexpr std::size_t maxAdviceBytes = 256U << 10U;

jobs::InstanceState instanceState(const std::string &text)
{
    static const std::map<std::string, jobs::InstanceState> states{
        {"up", jobs::InstanceState::Up},
        {"moving", jobs::InstanceState::Moving},
        {"upkeep", jobs::InstanceState::UnderMaintenance},
        {"down", jobs::InstanceState::Down},
    };
    const auto found = states.find(text);
    return found == states.end() ? jobs::InstanceState::Down : found->second;
}

jobs::InstanceOutcome instanceOutcome(const http::ExchangeResult &result)
{
    if (result.outcome != routing::ExchangeOutcome::Complete) {
        return certainlyNotSent(result.outcome) ? jobs::InstanceOutcome::Refused : jobs::InstanceOutcome::Unknown;
    }
    const std::string reason = readString(parseObject(result.response.body), "reason");
    switch (result.response.status) {
    case 200:
        return jobs::InstanceOutcome::Done;
    case 400:
        return jobs::InstanceOutcome::NoSuchInstance;
    case 409:
        return reason == "fence" ? jobs::InstanceOutcome::Fenced : reason == "wave" ? jobs::InstanceOutcome::NotInWave : jobs::InstanceOutcome::Busy;
    case 429:
    case 503:
        return jobs::InstanceOutcome::Refused;
    default:
        return jobs::InstanceOutcome::Unknown;
    }
}

} // namespace internal

InstanceClient::InstanceClient(http::UpstreamConnections &connections, std::string address, std::string holder)
    : m_connections{connections}
    , m_address{std::move(address)}
    , m_holder{std::move(holder)}
{
}

void InstanceClient::list(std::function<void(std::optional<Instances>)> onReply)
{
    listPage({}, std::make_shared<Instances>(), std::move(onReply));
}

void InstanceClient::listPage(const std::string &page, const std::shared_ptr<Instances> &found, std::function<void(std::optional<Instances>)> onReply)
{
    std::string target = "/v1/machines";
    if (!page.empty()) {
        absl::StrAppend(&target, "?page_token=", page);
    }
    http::Exchange exchange = makeExchange(m_address, "GET", std::move(target), {}, internal::listTimeout);
    exchange.mayUseReserve = true;
    m_connections.start(std::move(exchange), [this, found, reply = std::move(onReply)](const http::ExchangeResult &result) {
        const json body = parseObject(result.response.body);
        if (result.outcome != routing::ExchangeOutcome::Complete || result.response.status != 200 || !body.contains("machines")
            || !body["machines"].is_array()) {
            reply(std::nullopt);
            return;
        }
        for (const json &row : body["machines"]) {
            if (row.is_object()) {
                const std::string id = readString(row, "machine");
                // `machine` is the id of the instance, `id` that of the worker on it.
                const json capacity = row.value("capacity", json::object());
                (*found)[id] = jobs::InstanceEntry{id,
                                                   readString(row, "pool"),
                                                   readString(row, "id"),
                                                   internal::instanceState(readString(row, "state")),
                                                   capacity.is_object() ? readResources(capacity) : jobs::Resources{},
                                                   readString(row, "zone")};
            }
        }
        const json next = body.value("next_token", json{});
        if (next.is_null()) {
            reply(std::move(*found));
            return;
        }
        listPage(next.is_string() ? next.get<std::string>() : next.dump(), found, reply);
    });
}

void InstanceClient::sendCommand(const char *target,
                                 const std::string &body,
                                 const jobs::CommandPermit &permit,
                                 std::function<void(jobs::InstanceOutcome)> onReply)
{
    http::Exchange exchange = makeExchange(m_address, "POST", target, parseObject(body), internal::commandTimeout);
    exchange.maxResponseBytes = internal::maxCommandReplyBytes;
    exchange.sendBefore = permit.sendBefore;
    exchange.request.headers.push_back({leaseHolderHeader, m_holder});
    exchange.request.headers.push_back({fencingTokenHeader, absl::StrCat(permit.token)});
    m_connections.start(std::move(exchange), [reply = std::move(onReply)](const http::ExchangeResult &result) {
        reply(internal::instanceOutcome(result));
    });
}

void InstanceClient::maintain(const jobs::MaintainCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::InstanceOutcome)> onReply)
{
    this->sendCommand("/v1/machine-upkeep", json{{"machine", command.instance}, {"wave", command.wave}}.dump(), permit, std::move(onReply));
}

void InstanceClient::move(const jobs::MoveCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::InstanceOutcome)> onReply)
{
    this->sendCommand("/v1/machine-move", json{{"machine", command.instance}, {"pool", command.pool}}.dump(), permit, std::move(onReply));
}

AdviceClient::AdviceClient(http::UpstreamConnections &connections, std::string address)
    : m_connections{connections}
    , m_address{std::move(address)}
{
}

void AdviceClient::request(const jobs::AdviceRequest &request, std::function<void(std::optional<jobs::AdviceReply>)> onReply)
{
    const std::string step = absl::StrCat(request.step.job, ".", request.step.occurrence, ".", request.step.step);
    const json body{{"step", step}, {"workers", request.workers}};
    http::Exchange exchange = makeExchange(m_address, "POST", "/v1/advise", body, internal::adviceTimeout);
    exchange.maxResponseBytes = internal::maxAdviceBytes;
    m_connections.start(std::move(exchange), [reply = std::move(onReply)](const http::ExchangeResult &result) {
        const json replyBody = parseObject(result.response.body);
        if (result.outcome != routing::ExchangeOutcome::Complete || result.response.status != 200 || !replyBody.contains("good")
            || !replyBody["good"].is_array()) {
            reply(std::nullopt);
            return;
        }
        jobs::AdviceReply advice;
        for (const json &row : replyBody["good"]) {
            if (row.is_array() && row.size() >= 2 && row[0].is_string() && row[1].is_string()) {
                advice.tickets[row[0].get<std::string>()] = row[1].get<std::string>();
            }
        }
        advice.validFor = std::chrono::milliseconds{readInteger(replyBody, "valid_ms")};
        reply(std::move(advice));
    });
}

} // namespace oleanderwick::platform

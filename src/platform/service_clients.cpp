#include "service_clients.hpp"

#include <absl/strings/str_cat.h>

#include "wire.hpp"

namespace oleanderwick::platform
{

namespace internal
{

constexpr core::Duration listTimeout = std::chrono::milliseconds{1500};
constexpr core::Duration orderTimeout = std::chrono::milliseconds{1500};
/** The service takes time for each worker that is named. */
constexpr core::Duration adviceTimeout = std::chrono::milliseconds{3000};

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

jobs::InstanceResult instanceAnswer(const http::ExchangeResult &result)
{
    if (result.end != routing::ExchangeEnd::Whole) {
        return nothingSent(result.end) ? jobs::InstanceResult::Refused : jobs::InstanceResult::Unknown;
    }
    const std::string reason = textIn(parseObject(result.response.body), "reason");
    switch (result.response.status) {
    case 200:
        return jobs::InstanceResult::Done;
    case 400:
        return jobs::InstanceResult::NoSuchInstance;
    case 409:
        return reason == "fence" ? jobs::InstanceResult::Fenced : reason == "wave" ? jobs::InstanceResult::NotInWave : jobs::InstanceResult::Busy;
    case 429:
    case 503:
        return jobs::InstanceResult::Refused;
    default:
        return jobs::InstanceResult::Unknown;
    }
}

} // namespace internal

InstanceClient::InstanceClient(http::UpstreamLinks &links, std::string address, std::string holder)
    : m_links{links}
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
    m_links.start(makeExchange(m_address, "GET", std::move(target), {}, internal::listTimeout),
                  [this, found, reply = std::move(onReply)](const http::ExchangeResult &result) {
                      const json body = parseObject(result.response.body);
                      if (result.end != routing::ExchangeEnd::Whole || result.response.status != 200 || !body.contains("machines")
                          || !body["machines"].is_array()) {
                          reply(std::nullopt);
                          return;
                      }
                      for (const json &row : body["machines"]) {
                          if (row.is_object()) {
                              const std::string id = textIn(row, "machine");
                              // The platform's `id` is that of the worker which runs on the instance.
                              const json capacity = row.value("capacity", json::object());
                              (*found)[id] = jobs::InstanceEntry{id,
                                                                 textIn(row, "pool"),
                                                                 textIn(row, "id"),
                                                                 internal::instanceState(textIn(row, "state")),
                                                                 capacity.is_object() ? resourcesIn(capacity) : jobs::Resources{}};
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

void InstanceClient::order(const char *target, const std::string &body, std::int64_t token, std::function<void(jobs::InstanceResult)> onReply)
{
    http::Exchange exchange = makeExchange(m_address, "POST", target, parseObject(body), internal::orderTimeout);
    exchange.request.headers.push_back({holderHeader, m_holder});
    exchange.request.headers.push_back({tokenHeader, absl::StrCat(token)});
    m_links.start(std::move(exchange), [reply = std::move(onReply)](const http::ExchangeResult &result) {
        reply(internal::instanceAnswer(result));
    });
}

void InstanceClient::maintain(const jobs::MaintainCommand &order, std::int64_t token, std::function<void(jobs::InstanceResult)> onReply)
{
    this->order("/v1/machine-upkeep", json{{"machine", order.instance}, {"wave", order.wave}}.dump(), token, std::move(onReply));
}

void InstanceClient::move(const jobs::MoveCommand &order, std::int64_t token, std::function<void(jobs::InstanceResult)> onReply)
{
    this->order("/v1/machine-move", json{{"machine", order.instance}, {"pool", order.pool}}.dump(), token, std::move(onReply));
}

AdviceClient::AdviceClient(http::UpstreamLinks &links, std::string address)
    : m_links{links}
    , m_address{std::move(address)}
{
}

void AdviceClient::ask(const jobs::AdviceOrder &order, std::function<void(std::optional<jobs::AdviceReply>)> onReply)
{
    const std::string step = absl::StrCat(order.step.job, ".", order.step.occurrence, ".", order.step.step);
    const json body{{"step", step}, {"workers", order.workers}};
    m_links.start(
        makeExchange(m_address, "POST", "/v1/advise", body, internal::adviceTimeout), [reply = std::move(onReply)](const http::ExchangeResult &result) {
            const json answer = parseObject(result.response.body);
            if (result.end != routing::ExchangeEnd::Whole || result.response.status != 200 || !answer.contains("good") || !answer["good"].is_array()) {
                reply(std::nullopt);
                return;
            }
            jobs::AdviceReply advice;
            for (const json &row : answer["good"]) {
                if (row.is_array() && row.size() >= 2 && row[0].is_string() && row[1].is_string()) {
                    advice.tickets[row[0].get<std::string>()] = row[1].get<std::string>();
                }
            }
            advice.validFor = std::chrono::milliseconds{numberIn(answer, "valid_ms")};
            reply(std::move(advice));
        });
}

} // namespace oleanderwick::platform

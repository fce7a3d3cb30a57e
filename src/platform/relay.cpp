#include "relay.hpp"

#include <string_view>

#include "wire.hpp"

namespace oleanderwick::platform
{

namespace internal
{

/** Covers the longest relayed call, a watch with its wait. The caller's own timeout may be shorter. */
constexpr core::Duration relayTimeout = std::chrono::milliseconds{4000};

} // namespace internal

StoreRelay::StoreRelay(http::UpstreamConnections &connections, std::string store)
    : m_connections{connections}
    , m_store{std::move(store)}
{
}

void StoreRelay::handle(const http::Request &request, const http::Responder &respond)
{
    http::Exchange exchange = makeExchange(m_store, "GET", request.target.substr(std::string_view{relayPrefix}.size()), {}, internal::relayTimeout);
    exchange.request.method = request.method;
    exchange.request.body = request.body;
    if (!request.body.empty()) {
        exchange.request.headers.push_back({"Content-Type", "application/json"});
    }
    exchange.mayUseReserve = true;
    m_connections.start(std::move(exchange), [respond](const http::ExchangeResult &result) {
        if (result.outcome == routing::ExchangeOutcome::Complete) {
            respond(http::Response{result.response.status, {{"Content-Type", "application/json"}}, result.response.body, result.response.memory});
        } else {
            respond(http::Response{certainlyNotSent(result.outcome) ? 503 : 504, {}, {}});
        }
    });
}

} // namespace oleanderwick::platform

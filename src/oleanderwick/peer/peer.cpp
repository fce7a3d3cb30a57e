#include "peer.hpp"

#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::peer
{

namespace internal
{

constexpr const char *exchangeMethod = "exchange";
constexpr const char *recordMethod = "record";
constexpr const char *recordField = "record";
constexpr int statusOk = 200;

} // namespace internal

Endpoint::Endpoint(Service &service)
{
    m_server.add(internal::exchangeMethod, [&service](const std::string &parameter) {
        const absl::StatusOr<membership::Digest> digest = digestFromText(parameter);
        return digest.ok() ? toText(service.exchange(*digest)) : std::string{"{}"};
    });
    m_server.add(internal::recordMethod, [&service](const std::string &) {
        const nlohmann::json json = {{internal::recordField, service.configRecord()}};
        return json.dump();
    });
}

std::string Endpoint::handle(const std::string &message) const
{
    return m_server.handle(message);
}

Link::Link(http::Endpoint endpoint, std::string secret, core::Duration timeout)
    : m_client{std::move(endpoint)}
    , m_secret{std::move(secret)}
    , m_timeout{timeout}
{
}

absl::StatusOr<std::string> Link::call(const std::string &method, const std::string &parameter)
{
    const RpcTransport transport = [this](const std::string &message, std::string &reply) {
        const http::Request request{"POST", peerPath, {{"Content-Type", "application/json"}, {secretHeader, m_secret}}, message};
        const absl::StatusOr<http::Response> response = m_client.exchange(request, m_timeout);
        if (!response.ok() || response->status != internal::statusOk) {
            return false;
        }
        reply = response->body;
        return true;
    };
    RpcResult result = rpcCall(transport, method, parameter);
    if (!result.ok) {
        return absl::UnavailableError(result.text);
    }
    return std::move(result.text);
}

absl::StatusOr<membership::Digest> Link::exchange(const membership::Digest &digest)
{
    const absl::StatusOr<std::string> reply = call(internal::exchangeMethod, toText(digest));
    if (!reply.ok()) {
        return reply.status();
    }
    return digestFromText(*reply);
}

absl::StatusOr<config::Record> Link::configRecord()
{
    const absl::StatusOr<std::string> reply = call(internal::recordMethod, "{}");
    if (!reply.ok()) {
        return reply.status();
    }
    const nlohmann::json json = core::parseJsonOrDiscard(*reply);
    if (!json.is_object() || !json.contains(internal::recordField) || !json[internal::recordField].is_string()) {
        return absl::InvalidArgumentError("the peer's reply contains no record");
    }
    return config::recordFromText(json[internal::recordField].get<std::string>());
}

} // namespace oleanderwick::peer

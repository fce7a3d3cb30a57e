#include "wire.hpp"

#include <cmath>

#include "oleanderwick/core/json_reading.hpp"

namespace oleanderwick::platform
{

json parseObject(std::string_view text)
{
    json value = core::parseJsonOrDiscard(text);
    return value.is_object() ? std::move(value) : json{};
}

absl::StatusOr<json> readObject(std::string_view text)
{
    absl::StatusOr<json> value = core::parseJson(text);
    if (value.ok() && !value->is_object()) {
        return absl::InvalidArgumentError("not a JSON object");
    }
    return value;
}

std::int64_t readInteger(const json &object, const char *name, std::int64_t fallback)
{
    const auto field = object.find(name);
    if (field == object.end() || !field->is_number()) {
        return fallback;
    }
    return field->is_number_float() ? std::llround(field->get<double>()) : field->get<std::int64_t>();
}

std::string readString(const json &object, const char *name)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_string() ? field->get<std::string>() : std::string{};
}

bool readBool(const json &object, const char *name, bool fallback)
{
    const auto field = object.find(name);
    return field != object.end() && field->is_boolean() ? field->get<bool>() : fallback;
}

jobs::Resources readResources(const json &object)
{
    return {readInteger(object, "cpu"), readInteger(object, "mem_mb"), readInteger(object, "gpu")};
}

http::Exchange makeExchange(const std::string &address, const char *method, std::string target, const json &body, core::Duration timeout)
{
    constexpr std::size_t maxIdleConnections = 6;
    http::Exchange exchange;
    exchange.address = address;
    exchange.request.method = method;
    exchange.request.target = std::move(target);
    if (!body.is_null()) {
        exchange.request.headers.push_back({"Content-Type", "application/json"});
        exchange.request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    exchange.timeout = timeout;
    exchange.maxIdleConnections = maxIdleConnections;
    return exchange;
}

bool certainlyNotSent(routing::ExchangeOutcome outcome) noexcept
{
    return outcome == routing::ExchangeOutcome::NotConnected || outcome == routing::ExchangeOutcome::NothingSent;
}

} // namespace oleanderwick::platform

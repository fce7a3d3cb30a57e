#include "platform_store.hpp"

#include <charconv>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"
#include "base64.hpp"

namespace oleanderwick::store
{

namespace internal
{

constexpr int statusOk = 200;
constexpr int statusServerError = 500;
/** Values of a reply, in which an entry has five, and its own value is text. Several duties read replies at the same time. */
constexpr std::size_t maxReplyValues = 100'000;
/** gRPC status NOT_FOUND, which the gateway passes on in its error body. */
constexpr int codeNotFound = 5;

/** Reads a 64-bit number, which the gateway encodes as a string. Returns 0 if it is missing, negative, too large or no number; ignores text after it. */
std::uint64_t readUint64(const nlohmann::json &json, const char *field)
{
    const auto found = json.find(field);
    if (found == json.end()) {
        return 0;
    }
    if (found->is_number_unsigned()) {
        return found->get<std::uint64_t>();
    }
    if (!found->is_string()) {
        return 0;
    }
    const std::string &text = found->get_ref<const std::string &>();
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::optional<KeyValue> readKeyValue(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("key") || !json["key"].is_string()) {
        return std::nullopt;
    }
    const std::optional<std::string> key = fromBase64(json["key"].get<std::string>());
    const auto text = json.find("value");
    const std::optional<std::string> value = fromBase64(text != json.end() && text->is_string() ? text->get<std::string>() : std::string{});
    const Revision revision = readUint64(json, "mod_revision");
    if (!key || !value || revision == 0) {
        return std::nullopt;
    }
    return KeyValue{*key, *value, revision};
}

/** Returns the first entry of a range response, or an empty optional if there is none. */
absl::StatusOr<std::optional<KeyValue>> firstEntry(const nlohmann::json &reply)
{
    const auto entries = reply.find("kvs");
    if (entries == reply.end() || !entries->is_array() || entries->empty()) {
        return std::optional<KeyValue>{};
    }
    std::optional<KeyValue> entry = readKeyValue((*entries)[0]);
    if (!entry) {
        return absl::DataLossError("malformed entry in a store answer");
    }
    return entry;
}

absl::StatusOr<SwapResult> readSwapResult(const nlohmann::json &reply)
{
    SwapResult result;
    const auto header = reply.find("header");
    result.swapped = reply.value("succeeded", false);
    if (result.swapped) {
        result.revision = header == reply.end() || !header->is_object() ? 0 : readUint64(*header, "revision");
        if (result.revision == 0) {
            return absl::DataLossError("a swap without a revision");
        }
        return result;
    }
    const auto responses = reply.find("responses");
    const bool valid = responses != reply.end() && responses->is_array() && !responses->empty() && (*responses)[0].is_object();
    if (!valid || !(*responses)[0].contains("response_range")) {
        return absl::DataLossError("a refused swap without the current value");
    }
    absl::StatusOr<std::optional<KeyValue>> current = firstEntry((*responses)[0]["response_range"]);
    if (!current.ok()) {
        return current.status();
    }
    result.current = *std::move(current);
    return result;
}

/** Handles one line of a watch; returns false to end the watch. */
bool handleWatchLine(const std::string &line, const Store::OnChange &onChange)
{
    const nlohmann::json json = core::parseJsonOrDiscard(line, maxReplyValues);
    if (!json.is_object() || !json.contains("result") || !json["result"].is_object()) {
        return false;
    }
    const nlohmann::json &result = json["result"];
    if (result.value("canceled", false)) {
        return false;
    }
    const auto events = result.find("events");
    if (events == result.end() || !events->is_array()) {
        return onChange(std::nullopt);
    }
    for (const nlohmann::json &event : *events) {
        if (!event.is_object() || !event.contains("kv") || event.value("type", "PUT") != "PUT") {
            continue;
        }
        if (!onChange(readKeyValue(event["kv"]))) {
            return false;
        }
    }
    return true;
}

} // namespace internal

PlatformStore::PlatformStore(std::vector<http::Endpoint> endpoints, core::Duration timeout)
    : m_endpoints{std::move(endpoints)}
    , m_timeout{timeout}
{
    OLEANDERWICK_ASSERT(!m_endpoints.empty(), "the store client needs at least one endpoint");
}

http::Client &PlatformStore::client()
{
    if (m_client.empty()) {
        m_client.emplace_back(m_endpoints[m_endpointIndex]);
    }
    return m_client.front();
}

void PlatformStore::useNextEndpoint()
{
    m_client.clear();
    m_endpointIndex = (m_endpointIndex + 1) % m_endpoints.size();
}

absl::StatusOr<nlohmann::json> PlatformStore::call(const std::string &path, const nlohmann::json &body)
{
    http::Request request{"POST", path, {{"Content-Type", "application/json"}}, body.dump()};
    const absl::StatusOr<http::Response> response = client().exchange(request, m_timeout);
    if (!response.ok()) {
        useNextEndpoint();
        return response.status();
    }
    nlohmann::json json = core::parseJsonOrDiscard(response->body, internal::maxReplyValues);
    if (response->status == internal::statusOk && json.is_object()) {
        return json;
    }
    if (json.is_object() && json.value("code", 0) == internal::codeNotFound) {
        return absl::NotFoundError(json.value("message", "not found"));
    }
    if (response->status >= internal::statusServerError) {
        // The service may have executed the call before it failed.
        return absl::DeadlineExceededError(absl::StrCat("the store answered ", response->status));
    }
    return absl::InvalidArgumentError(absl::StrCat("the store answered ", response->status));
}

absl::StatusOr<std::optional<KeyValue>> PlatformStore::read(const std::string &key)
{
    const absl::StatusOr<nlohmann::json> reply = call("/v3/kv/range", {{"key", toBase64(key)}});
    if (!reply.ok()) {
        return reply.status();
    }
    return internal::firstEntry(*reply);
}

absl::StatusOr<Revision> PlatformStore::revision(const std::string &key)
{
    const absl::StatusOr<nlohmann::json> reply = call("/v3/kv/range", {{"key", toBase64(key)}, {"keys_only", true}});
    if (!reply.ok()) {
        return reply.status();
    }
    const absl::StatusOr<std::optional<KeyValue>> found = internal::firstEntry(*reply);
    if (!found.ok()) {
        return found.status();
    }
    return found->has_value() ? (*found)->revision : 0;
}

absl::StatusOr<std::vector<std::string>> PlatformStore::keys(const std::string &prefix)
{
    const nlohmann::json body = {{"key", toBase64(prefix)}, {"range_end", toBase64(prefixEnd(prefix))}, {"keys_only", true}};
    const absl::StatusOr<nlohmann::json> reply = call("/v3/kv/range", body);
    if (!reply.ok()) {
        return reply.status();
    }
    std::vector<std::string> keys;
    const auto entries = reply->find("kvs");
    if (entries == reply->end() || !entries->is_array()) {
        return keys;
    }
    for (const nlohmann::json &entry : *entries) {
        const std::optional<KeyValue> found = internal::readKeyValue(entry);
        if (!found) {
            return absl::DataLossError("malformed entry in a store answer");
        }
        keys.push_back(found->key);
    }
    return keys;
}

absl::StatusOr<SwapResult> PlatformStore::compareAndSwap(const std::string &key, Revision expected, const std::string &value, LeaseId lease)
{
    const std::string name = toBase64(key);
    nlohmann::json put = {{"key", name}, {"value", toBase64(value)}};
    if (lease != 0) {
        put["lease"] = std::to_string(lease);
    }
    const nlohmann::json compare = {{"key", name}, {"target", "MOD"}, {"result", "EQUAL"}, {"mod_revision", std::to_string(expected)}};
    const nlohmann::json write = {{"request_put", std::move(put)}};
    const nlohmann::json fetch = {{"request_range", {{"key", name}}}};
    // json::array is needed: a braced list with a single element would become that element instead of an array.
    const nlohmann::json body = {
        {"compare", nlohmann::json::array({compare})}, {"success", nlohmann::json::array({write})}, {"failure", nlohmann::json::array({fetch})}};
    const absl::StatusOr<nlohmann::json> reply = call("/v3/kv/txn", body);
    if (!reply.ok()) {
        return reply.status();
    }
    return internal::readSwapResult(*reply);
}

absl::StatusOr<LeaseId> PlatformStore::grantLease(core::Duration ttl)
{
    const std::int64_t seconds = std::chrono::duration_cast<std::chrono::seconds>(ttl).count();
    const absl::StatusOr<nlohmann::json> reply = call("/v3/lease/grant", {{"TTL", std::to_string(seconds)}});
    if (!reply.ok()) {
        return reply.status();
    }
    const LeaseId lease = internal::readUint64(*reply, "ID");
    if (lease == 0) {
        return absl::DataLossError("the store granted a lease without an id");
    }
    return lease;
}

absl::Status PlatformStore::keepAlive(LeaseId lease)
{
    const absl::StatusOr<nlohmann::json> reply = call("/v3/lease/keepalive", {{"ID", std::to_string(lease)}});
    if (!reply.ok()) {
        return reply.status();
    }
    const auto result = reply->find("result");
    const bool alive = result != reply->end() && result->is_object() && internal::readUint64(*result, "TTL") > 0;
    return alive ? absl::OkStatus() : absl::NotFoundError("the lease has expired");
}

absl::Status PlatformStore::revokeLease(LeaseId lease)
{
    return call("/v3/lease/revoke", {{"ID", std::to_string(lease)}}).status();
}

absl::Status PlatformStore::watch(const std::string &key, Revision after, const OnChange &onChange)
{
    const nlohmann::json create = {{"key", toBase64(key)}, {"start_revision", std::to_string(after + 1)}};
    const nlohmann::json body = {{"create_request", create}};
    const http::Request request{"POST", "/v3/watch", {{"Content-Type", "application/json"}}, body.dump()};
    absl::Status streamStatus = client().stream(request, m_timeout, [&onChange](const std::optional<std::string> &line) {
        return line ? internal::handleWatchLine(*line, onChange) : onChange(std::nullopt);
    });
    if (!streamStatus.ok()) {
        useNextEndpoint();
    }
    return streamStatus;
}

} // namespace oleanderwick::store

#include "store_client.hpp"

#include <map>

#include <absl/strings/str_cat.h>

#include "oleanderwick/store/base64.hpp"
#include "wire.hpp"

namespace oleanderwick::platform
{

namespace internal
{

constexpr core::Duration readTimeout = std::chrono::milliseconds{1200};
/** A page has up to 1 MB, and the network link of a node may be limited to 10 Mbit/s. */
constexpr core::Duration listTimeout = std::chrono::milliseconds{2500};
constexpr core::Duration commitTimeout = std::chrono::milliseconds{1500};
constexpr core::Duration renewTimeout = std::chrono::milliseconds{900};
/** Added to the wait of a watch for the transfer of the reply. */
constexpr core::Duration watchMargin = std::chrono::milliseconds{1000};

/** Percent-encodes a query value. Keys are short and rarely need it, so speed does not matter. */
std::string escape(const std::string &text)
{
    std::string escaped;
    for (const char character : text) {
        const bool unreserved = std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '/' || character == '-' || character == '_'
            || character == '.' || character == '~';
        if (unreserved) {
            escaped += character;
        } else {
            absl::StrAppend(&escaped, "%", absl::Hex(static_cast<unsigned char>(character), absl::kZeroPad2));
        }
    }
    return escaped;
}

/** Parses an item; a value that is not valid base64 becomes empty. */
jobs::StoreItem toItem(const json &row)
{
    jobs::StoreItem item;
    item.key = readString(row, "key");
    item.value = store::fromBase64(readString(row, "value")).value_or(std::string{});
    item.revision = readInteger(row, "revision");
    return item;
}

void readChanges(const json &body, const char *name, jobs::StoreReply &reply)
{
    const auto rows = body.find(name);
    if (rows == body.end() || !rows->is_array()) {
        return;
    }
    // Keeps only the last change of each key, since the separate lists of items and removals lose the order between them.
    std::map<std::string, const json *> latest;
    for (const json &row : *rows) {
        if (row.is_object()) {
            latest[readString(row, "key")] = &row;
        }
    }
    for (const json &row : *rows) {
        const std::string key = row.is_object() ? readString(row, "key") : std::string{};
        const auto last = latest.find(key);
        if (last == latest.end() || last->second != &row) {
            continue;
        }
        if (readBool(row, "tombstone")) {
            reply.removed.push_back(key);
        } else {
            reply.items.push_back(toItem(row));
        }
    }
}

jobs::StoreOutcome outcomeOf(int status)
{
    switch (status) {
    case 200:
        return jobs::StoreOutcome::Done;
    case 404:
        return jobs::StoreOutcome::NotFound;
    case 410:
        return jobs::StoreOutcome::Compacted;
    case 412:
        return jobs::StoreOutcome::Conflict;
    default:
        // 503 and any other status below 500 count as refused, so as not done: the service was busy (429, 503) or could not parse the call (other 4xx).
        return status < 500 || status == 503 ? jobs::StoreOutcome::Refused : jobs::StoreOutcome::Unknown;
    }
}

} // namespace internal

jobs::StoreReply readStoreReply(const http::ExchangeResult &result, const char *list)
{
    jobs::StoreReply reply;
    if (result.outcome != routing::ExchangeOutcome::Complete) {
        reply.outcome = certainlyNotSent(result.outcome) ? jobs::StoreOutcome::Refused : jobs::StoreOutcome::Unknown;
        return reply;
    }
    reply.outcome = internal::outcomeOf(result.response.status);
    const json body = parseObject(result.response.body);
    const bool hasList = list == nullptr || (body.contains(list) && body[list].is_array() && !(body[list].empty() && readBool(body, "has_more")));
    if (!body.is_object() || (reply.outcome == jobs::StoreOutcome::Done && !hasList)) {
        // A reply that cannot be parsed does not confirm the call, and one without its list does not say that there is nothing.
        reply.outcome = reply.outcome == jobs::StoreOutcome::Done ? jobs::StoreOutcome::Unknown : reply.outcome;
        return reply;
    }
    if (body.contains("value")) {
        reply.items.push_back(internal::toItem(body));
    }
    internal::readChanges(body, "items", reply);
    internal::readChanges(body, "events", reply);
    reply.revision = readInteger(body, "as_of", readInteger(body, "revision"));
    reply.more = readBool(body, "has_more");
    reply.lease = readInteger(body, "lease");
    reply.ttl = std::chrono::milliseconds{readInteger(body, "ttl_ms")};
    return reply;
}

StoreClient::StoreClient(http::UpstreamConnections &connections, std::string address, std::string pathPrefix)
    : m_connections{connections}
    , m_address{std::move(address)}
    , m_pathPrefix{std::move(pathPrefix)}
{
}

void StoreClient::call(http::Exchange exchange, OnReply onReply, const char *list)
{
    exchange.request.target.insert(0, m_pathPrefix);
    exchange.mayUseReserve = true;
    m_connections.start(std::move(exchange), [reply = std::move(onReply), list](const http::ExchangeResult &result) {
        reply(readStoreReply(result, list));
    });
}

void StoreClient::read(const std::string &key, OnReply onReply)
{
    call(makeExchange(m_address, "GET", absl::StrCat("/v1/kv-key?key=", internal::escape(key)), {}, internal::readTimeout), std::move(onReply));
}

void StoreClient::list(const std::string &prefix, const std::string &after, OnReply onReply)
{
    std::string target = absl::StrCat("/v1/kv-range?prefix=", internal::escape(prefix));
    if (!after.empty()) {
        absl::StrAppend(&target, "&after=", internal::escape(after));
    }
    call(makeExchange(m_address, "GET", std::move(target), {}, internal::listTimeout), std::move(onReply), "items");
}

void StoreClient::watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onReply)
{
    std::string target = absl::StrCat("/v1/kv-watch?prefix=", internal::escape(prefix), "&after=", after, "&wait_ms=", core::milliseconds(wait));
    call(makeExchange(m_address, "GET", std::move(target), {}, wait + internal::watchMargin), std::move(onReply));
}

void StoreClient::commit(const jobs::StoreChange &change, OnReply onReply)
{
    json conditions = json::array();
    for (const jobs::StoreChange::Condition &condition : change.conditions) {
        conditions.push_back({{"key", condition.key}, {"revision", condition.revision}});
    }
    json writes = json::array();
    for (const jobs::StoreChange::Write &write : change.writes) {
        json row{{"key", write.key}, {"value", store::toBase64(write.value)}};
        if (write.lease != 0) {
            row["lease"] = write.lease;
        }
        writes.push_back(std::move(row));
    }
    const json body{{"expected_rev", std::move(conditions)}, {"writes", std::move(writes)}, {"remove", change.removals}};
    call(makeExchange(m_address, "POST", "/v1/kv-txn", body, internal::commitTimeout), std::move(onReply));
}

void StoreClient::grant(core::Duration ttl, OnReply onReply)
{
    call(makeExchange(m_address, "POST", "/v1/kv-lease", json{{"ttl_ms", core::milliseconds(ttl)}}, internal::commitTimeout), std::move(onReply));
}

void StoreClient::renew(std::int64_t lease, OnReply onReply)
{
    call(makeExchange(m_address, "POST", absl::StrCat("/v1/kv-keep/", lease), {}, internal::renewTimeout), std::move(onReply));
}

} // namespace oleanderwick::platform

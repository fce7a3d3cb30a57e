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
/** A page is up to 1 MB, and a node's link may carry 10 Mbit/s. */
constexpr core::Duration listTimeout = std::chrono::milliseconds{2500};
constexpr core::Duration commitTimeout = std::chrono::milliseconds{1500};
constexpr core::Duration renewTimeout = std::chrono::milliseconds{900};
/** Added to the wait of a watch for the answer's way. */
constexpr core::Duration watchMargin = std::chrono::milliseconds{1000};

/** Escapes what a query must not hold; keys are short and mostly plain. */
std::string escape(const std::string &text)
{
    std::string escaped;
    for (const char letter : text) {
        const bool plain =
            std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '/' || letter == '-' || letter == '_' || letter == '.' || letter == '~';
        if (plain) {
            escaped += letter;
        } else {
            absl::StrAppend(&escaped, "%", absl::Hex(static_cast<unsigned char>(letter), absl::kZeroPad2));
        }
    }
    return escaped;
}

/** Reads an item; its value is nothing we can use if it is not valid base64. */
jobs::StoreItem toItem(const json &row)
{
    jobs::StoreItem item;
    item.key = textIn(row, "key");
    item.value = store::fromBase64(textIn(row, "value")).value_or(std::string{});
    item.revision = numberIn(row, "revision");
    return item;
}

void readRows(const json &body, const char *name, jobs::StoreReply &answer)
{
    const auto rows = body.find(name);
    if (rows == body.end() || !rows->is_array()) {
        return;
    }
    // Of several changes of a key only the last one counts: the order between items and removals is not kept.
    std::map<std::string, const json *> latest;
    for (const json &row : *rows) {
        if (row.is_object()) {
            latest[textIn(row, "key")] = &row;
        }
    }
    for (const json &row : *rows) {
        const std::string key = row.is_object() ? textIn(row, "key") : std::string{};
        const auto last = latest.find(key);
        if (last == latest.end() || last->second != &row) {
            continue;
        }
        if (flagIn(row, "tombstone")) {
            answer.removed.push_back(key);
        } else {
            answer.items.push_back(toItem(row));
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
        // 429 and 503 say that nothing was done, and so does a call that the service cannot read.
        return status < 500 || status == 503 ? jobs::StoreOutcome::Refused : jobs::StoreOutcome::Unknown;
    }
}

jobs::StoreReply toAnswer(const http::ExchangeResult &result)
{
    jobs::StoreReply answer;
    if (result.end != routing::ExchangeEnd::Whole) {
        answer.outcome = nothingSent(result.end) ? jobs::StoreOutcome::Refused : jobs::StoreOutcome::Unknown;
        return answer;
    }
    answer.outcome = outcomeOf(result.response.status);
    const json body = parseObject(result.response.body);
    if (!body.is_object()) {
        // An answer that cannot be read says nothing about the call.
        answer.outcome = answer.outcome == jobs::StoreOutcome::Done ? jobs::StoreOutcome::Unknown : answer.outcome;
        return answer;
    }
    if (body.contains("value")) {
        answer.items.push_back(toItem(body));
    }
    readRows(body, "items", answer);
    readRows(body, "events", answer);
    answer.revision = numberIn(body, "as_of", numberIn(body, "revision"));
    answer.more = flagIn(body, "has_more");
    answer.lease = numberIn(body, "lease");
    answer.ttl = std::chrono::milliseconds{numberIn(body, "ttl_ms")};
    return answer;
}

} // namespace internal

StoreClient::StoreClient(http::UpstreamLinks &links, std::string address, std::string pathPrefix)
    : m_links{links}
    , m_address{std::move(address)}
    , m_pathPrefix{std::move(pathPrefix)}
{
}

void StoreClient::call(http::Exchange exchange, OnReply onAnswer)
{
    exchange.request.target.insert(0, m_pathPrefix);
    m_links.start(std::move(exchange), [answer = std::move(onAnswer)](const http::ExchangeResult &result) {
        answer(internal::toAnswer(result));
    });
}

void StoreClient::read(const std::string &key, OnReply onAnswer)
{
    call(makeExchange(m_address, "GET", absl::StrCat("/v1/kv-key?key=", internal::escape(key)), {}, internal::readTimeout), std::move(onAnswer));
}

void StoreClient::list(const std::string &prefix, const std::string &after, OnReply onAnswer)
{
    std::string target = absl::StrCat("/v1/kv-range?prefix=", internal::escape(prefix));
    if (!after.empty()) {
        absl::StrAppend(&target, "&after=", internal::escape(after));
    }
    call(makeExchange(m_address, "GET", std::move(target), {}, internal::listTimeout), std::move(onAnswer));
}

void StoreClient::watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onAnswer)
{
    std::string target = absl::StrCat("/v1/kv-watch?prefix=", internal::escape(prefix), "&after=", after, "&wait_ms=", core::milliseconds(wait));
    call(makeExchange(m_address, "GET", std::move(target), {}, wait + internal::watchMargin), std::move(onAnswer));
}

void StoreClient::commit(const jobs::StoreChange &change, OnReply onAnswer)
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
    call(makeExchange(m_address, "POST", "/v1/kv-txn", body, internal::commitTimeout), std::move(onAnswer));
}

void StoreClient::grant(core::Duration ttl, OnReply onAnswer)
{
    call(makeExchange(m_address, "POST", "/v1/kv-lease", json{{"ttl_ms", core::milliseconds(ttl)}}, internal::commitTimeout), std::move(onAnswer));
}

void StoreClient::renew(std::int64_t lease, OnReply onAnswer)
{
    call(makeExchange(m_address, "POST", absl::StrCat("/v1/kv-keep/", lease), {}, internal::renewTimeout), std::move(onAnswer));
}

} // namespace oleanderwick::platform

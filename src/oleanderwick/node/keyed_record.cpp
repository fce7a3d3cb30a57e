#include "keyed_record.hpp"

#include <nlohmann/json.hpp>

#include "../config/config.hpp"
#include "../core/json_reading.hpp"
#include "../store/base64.hpp"
#include "problem.hpp"

namespace oleanderwick::node
{

namespace internal
{

constexpr int statusBadGateway = 502;

nlohmann::json responseToJson(const http::Response &answer)
{
    if (answer.body.size() > maxKeptBody) {
        return responseToJson(problem(core::Refusal{statusBadGateway, core::Outcome::Failed, "answer_not_kept", core::Duration::zero()}));
    }
    nlohmann::json headers = nlohmann::json::array();
    for (const http::Header &header : answer.headers) {
        headers.push_back(nlohmann::json::array({store::toBase64(header.name), store::toBase64(header.value)}));
    }
    return {{"status", answer.status}, {"headers", std::move(headers)}, {"body", store::toBase64(answer.body)}};
}

http::Response responseFromJson(const nlohmann::json &json)
{
    http::Response answer;
    answer.status = json.at("status").get<int>();
    for (const nlohmann::json &header : json.at("headers")) {
        const std::string name = store::fromBase64(header.at(0).get<std::string>()).value_or("");
        answer.headers.push_back(http::Header{name, store::fromBase64(header.at(1).get<std::string>()).value_or("")});
    }
    answer.body = store::fromBase64(json.at("body").get<std::string>()).value_or("");
    return answer;
}

} // namespace internal

std::string idempotencyRecordName(const core::TeamId &team, const core::QueueId &queue, const std::string &key)
{
    // Each part is hashed separately, so that different triples cannot concatenate to the same text.
    return config::sha256Hex(config::sha256Hex(team.text()) + config::sha256Hex(queue.text()) + config::sha256Hex(key));
}

std::string fingerprintOf(const http::Request &request)
{
    return config::sha256Hex(config::sha256Hex(request.method) + config::sha256Hex(request.target) + config::sha256Hex(request.body));
}

std::string toText(const IdempotencyRecord &record)
{
    nlohmann::json json = {{"owner", record.owner}, {"fingerprint", record.fingerprint}};
    if (record.answer) {
        json["answer"] = internal::responseToJson(*record.answer);
    }
    return json.dump();
}

absl::StatusOr<IdempotencyRecord> idempotencyRecordFromText(const std::string &text)
{
    const nlohmann::json json = core::parseJsonOrDiscard(text);
    IdempotencyRecord record;
    try {
        record.owner = json.at("owner").get<std::string>();
        record.fingerprint = json.at("fingerprint").get<std::string>();
        if (json.contains("answer")) {
            record.answer = internal::responseFromJson(json["answer"]);
        }
    } catch (const nlohmann::json::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
    return record;
}

} // namespace oleanderwick::node

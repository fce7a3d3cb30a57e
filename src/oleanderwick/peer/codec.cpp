#include "codec.hpp"

#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"

namespace oleanderwick::peer
{

namespace internal
{

nlohmann::json toJson(const allotment::PermitRequest &request)
{
    const char *kind = request.group.kind == allotment::Group::Kind::Team ? "t" : "p";
    return nlohmann::json::array({kind, request.group.name, request.missing});
}

allotment::PermitRequest permitRequestFromJson(const nlohmann::json &json)
{
    allotment::PermitRequest request;
    request.group.kind = json.at(0).get<std::string>() == "t" ? allotment::Group::Kind::Team : allotment::Group::Kind::Pool;
    request.group.name = json.at(1).get<std::string>();
    request.missing = json.at(2).get<std::uint32_t>();
    return request;
}

nlohmann::json toJson(const allotment::TeamDemand &demand)
{
    return nlohmann::json::array({demand.pool.text(), demand.team.text(), demand.running, demand.waiting, demand.recentPeak, demand.oldestWaitMs});
}

allotment::TeamDemand demandFromJson(const nlohmann::json &json)
{
    allotment::TeamDemand demand;
    demand.pool = core::PoolId{json.at(0).get<std::string>()};
    demand.team = core::TeamId{json.at(1).get<std::string>()};
    demand.running = json.at(2).get<std::uint32_t>();
    demand.waiting = json.at(3).get<std::uint32_t>();
    demand.recentPeak = json.at(4).get<std::uint32_t>();
    demand.oldestWaitMs = json.at(5).get<std::uint32_t>();
    return demand;
}

membership::Digest digestFromJson(const nlohmann::json &json)
{
    membership::Digest digest;
    digest.node = core::NodeId{json.at("node").get<std::string>()};
    // A reference refuses negative numbers, which a conversion would turn into large ones.
    digest.sequence = json.at("seq").get_ref<const std::uint64_t &>();
    digest.version = json.at("version").get_ref<const std::uint64_t &>();
    digest.leaving = json.at("leaving").get<bool>();
    digest.storeAgeMs = json.at("storeAge").get<std::int64_t>();
    for (const nlohmann::json &node : json.at("alive")) {
        digest.alive.emplace_back(node.get<std::string>());
    }
    for (const nlohmann::json &demand : json.at("demands")) {
        digest.demands.push_back(demandFromJson(demand));
    }
    for (const nlohmann::json &request : json.at("wants")) {
        digest.permitRequests.push_back(permitRequestFromJson(request));
    }
    for (const nlohmann::json &sequence : json.at("ledger")) {
        digest.ledgerSequences.push_back(sequence.get_ref<const std::uint64_t &>());
    }
    return digest;
}

} // namespace internal

std::string toText(const membership::Digest &digest)
{
    nlohmann::json alive = nlohmann::json::array();
    for (const core::NodeId &node : digest.alive) {
        alive.push_back(node.text());
    }
    nlohmann::json demands = nlohmann::json::array();
    for (const allotment::TeamDemand &demand : digest.demands) {
        demands.push_back(internal::toJson(demand));
    }
    nlohmann::json wants = nlohmann::json::array();
    for (const allotment::PermitRequest &request : digest.permitRequests) {
        wants.push_back(internal::toJson(request));
    }
    const nlohmann::json json = {{"v", messageVersion},
                                 {"node", digest.node.text()},
                                 {"seq", digest.sequence},
                                 {"version", digest.version},
                                 {"leaving", digest.leaving},
                                 {"storeAge", digest.storeAgeMs},
                                 {"alive", std::move(alive)},
                                 {"demands", std::move(demands)},
                                 {"wants", std::move(wants)},
                                 {"ledger", digest.ledgerSequences}};
    return json.dump();
}

absl::StatusOr<membership::Digest> digestFromText(const std::string &text)
{
    const nlohmann::json json = core::parseJsonOrDiscard(text);
    try {
        if (json.at("v").get<int>() != messageVersion) {
            return absl::InvalidArgumentError("unsupported message version");
        }
        return internal::digestFromJson(json);
    } catch (const nlohmann::json::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace oleanderwick::peer

#include "codec.hpp"

#include <algorithm>

#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

#include "../core/json_reading.hpp"
#include "internal/fields.hpp"
#include "validation.hpp"

namespace oleanderwick::config
{

namespace internal
{

constexpr std::size_t maxNameLength = 64;

bool isName(const std::string &name)
{
    const bool validLength = !name.empty() && name.size() <= maxNameLength;
    return validLength && std::all_of(name.begin(), name.end(), [](char character) {
               return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
                   || character == '-' || character == '_' || character == '.';
           });
}

/** Parses a field that maps names to objects; `read` converts each object into a value. */
template <typename Key, typename Value, typename Read>
void readMap(FieldReader &parent, const char *name, std::map<Key, Value> &values, std::vector<std::string> &errors, Read read)
{
    const nlohmann::json *object = parent.object(name);
    if (object == nullptr) {
        return;
    }
    for (auto entry = object->begin(); entry != object->end(); ++entry) {
        const std::string path = parent.pathOf(name) + "/" + entry.key();
        if (!isName(entry.key())) {
            errors.push_back(path + ": a name has 1 to 64 letters, digits, '-', '_' or '.'");
        }
        FieldReader reader{entry.value(), path, errors};
        values.emplace(Key{entry.key()}, read(reader));
        reader.rejectUnknown();
    }
}

Pool readPool(FieldReader &reader)
{
    Pool pool;
    reader.number("availabilityBudget", pool.availabilityBudget);
    return pool;
}

Instance readInstance(FieldReader &reader)
{
    Instance instance;
    std::string pool;
    reader.text("pool", pool, true);
    instance.pool = core::PoolId{pool};
    reader.text("address", instance.address, true);
    reader.text("zone", instance.zone);
    reader.text("rack", instance.rack);
    reader.number("slots", instance.slots);
    reader.number("connections", instance.connections);
    reader.boolean("leaving", instance.leaving);
    return instance;
}

TeamKey readKey(FieldReader &reader)
{
    TeamKey key;
    reader.text("hash", key.hash, true);
    return key;
}

Team readTeam(FieldReader &reader, std::vector<std::string> &errors)
{
    Team team;
    reader.number("share", team.share);
    reader.number("upperLimit", team.upperLimit, true);
    readMap(reader, "keys", team.keys, errors, readKey);
    return team;
}

Queue readQueue(FieldReader &reader)
{
    Queue queue;
    std::string pool;
    reader.text("pool", pool, true);
    queue.pool = core::PoolId{pool};
    reader.boolean("open", queue.open);
    reader.number("maxLength", queue.maxLength);
    reader.number("timeoutMs", queue.timeoutMs);
    const nlohmann::json *teams = reader.array("teams");
    if (teams == nullptr) {
        return queue;
    }
    for (const nlohmann::json &team : *teams) {
        if (team.is_string()) {
            queue.teams.emplace_back(team.get<std::string>());
        } else {
            reader.fail("teams", "has to contain names of teams only");
        }
    }
    return queue;
}

nlohmann::json instanceToJson(const Instance &instance)
{
    return {{"pool", instance.pool.text()},
            {"address", instance.address},
            {"zone", instance.zone},
            {"rack", instance.rack},
            {"slots", instance.slots},
            {"connections", instance.connections},
            {"leaving", instance.leaving}};
}

nlohmann::json teamToJson(const Team &team)
{
    nlohmann::json keys = nlohmann::json::object();
    for (const std::pair<const core::KeyId, TeamKey> &key : team.keys) {
        keys[key.first.text()] = {{"hash", key.second.hash}};
    }
    return {{"share", team.share}, {"upperLimit", team.upperLimit}, {"keys", std::move(keys)}};
}

nlohmann::json queueToJson(const Queue &queue)
{
    nlohmann::json teams = nlohmann::json::array();
    for (const core::TeamId &team : queue.teams) {
        teams.push_back(team.text());
    }
    return {{"pool", queue.pool.text()}, {"teams", std::move(teams)}, {"open", queue.open}, {"maxLength", queue.maxLength}, {"timeoutMs", queue.timeoutMs}};
}

void readClosedZones(FieldReader &reader, std::set<std::string> &zones)
{
    const nlohmann::json *names = reader.array("closedZones");
    if (names == nullptr) {
        return;
    }
    for (const nlohmann::json &name : *names) {
        if (!name.is_string()) {
            reader.fail("closedZones", "has to contain names of zones only");
        } else if (!zones.insert(name.get<std::string>()).second) {
            reader.fail("closedZones", "contains '" + name.get<std::string>() + "' twice");
        }
    }
}

absl::StatusOr<Change> changeFromJson(const nlohmann::json &json)
{
    Change change;
    try {
        change.version = json.at("version").get<Version>();
        change.patchId = json.at("patchId").get<std::string>();
        change.author = json.at("author").get<std::string>();
        change.paths = json.at("paths").get<std::vector<std::string>>();
    } catch (const nlohmann::json::exception &error) {
        return absl::InvalidArgumentError(error.what());
    }
    return change;
}

} // namespace internal

nlohmann::json toJson(const Document &document)
{
    nlohmann::json json = {{"pools", nlohmann::json::object()},
                           {"instances", nlohmann::json::object()},
                           {"teams", nlohmann::json::object()},
                           {"queues", nlohmann::json::object()}};
    for (const std::pair<const core::PoolId, Pool> &pool : document.pools) {
        json["pools"][pool.first.text()] = {{"availabilityBudget", pool.second.availabilityBudget}};
    }
    for (const std::pair<const core::InstanceId, Instance> &instance : document.instances) {
        json["instances"][instance.first.text()] = internal::instanceToJson(instance.second);
    }
    for (const std::pair<const core::TeamId, Team> &team : document.teams) {
        json["teams"][team.first.text()] = internal::teamToJson(team.second);
    }
    for (const std::pair<const core::QueueId, Queue> &queue : document.queues) {
        json["queues"][queue.first.text()] = internal::queueToJson(queue.second);
    }
    // Absent if empty, since nodes of versions without this field reject documents that have it.
    if (!document.closedZones.empty()) {
        json["closedZones"] = document.closedZones;
    }
    return json;
}

absl::StatusOr<Document> documentFromJson(const nlohmann::json &json)
{
    Document document;
    std::vector<std::string> errors;
    internal::FieldReader reader{json, "", errors};
    internal::readMap(reader, "pools", document.pools, errors, internal::readPool);
    internal::readMap(reader, "instances", document.instances, errors, internal::readInstance);
    internal::readMap(reader, "teams", document.teams, errors, [&errors](internal::FieldReader &team) {
        return internal::readTeam(team, errors);
    });
    internal::readMap(reader, "queues", document.queues, errors, internal::readQueue);
    internal::readClosedZones(reader, document.closedZones);
    reader.rejectUnknown();
    if (errors.empty()) {
        errors = validate(document);
    }
    if (!errors.empty()) {
        return absl::InvalidArgumentError(absl::StrJoin(errors, "\n"));
    }
    return document;
}

nlohmann::json historyToJson(const Record &record)
{
    nlohmann::json history = nlohmann::json::array();
    for (const Change &change : record.history) {
        history.push_back({{"version", change.version}, {"patchId", change.patchId}, {"author", change.author}, {"paths", change.paths}});
    }
    return history;
}

std::string toText(const Record &record)
{
    const nlohmann::json json = {{"version", record.version}, {"document", toJson(record.document)}, {"history", historyToJson(record)}};
    return json.dump();
}

absl::StatusOr<Record> recordFromText(const std::string &text)
{
    const nlohmann::json json = core::parseJsonOrDiscard(text);
    if (!json.is_object() || !json.contains("document") || !json.contains("history") || !json["history"].is_array()) {
        return absl::InvalidArgumentError("not a configuration record");
    }
    const auto version = json.find("version");
    if (version == json.end() || !version->is_number_unsigned()) {
        return absl::InvalidArgumentError("the configuration record has no version");
    }
    Record record;
    record.version = version->get<Version>();
    absl::StatusOr<Document> document = documentFromJson(json["document"]);
    if (!document.ok()) {
        return document.status();
    }
    record.document = *std::move(document);
    for (const nlohmann::json &entry : json["history"]) {
        absl::StatusOr<Change> change = internal::changeFromJson(entry);
        if (!change.ok()) {
            return change.status();
        }
        record.history.push_back(*std::move(change));
    }
    return record;
}

} // namespace oleanderwick::config

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "oleanderwick/config/config.hpp"

namespace config = oleanderwick::config;
namespace core = oleanderwick::core;

namespace
{

/** Pool `wide` in the zones a and b, pool `narrow` in zone b only; document of a version without `closedZones`. */
constexpr const char *body = R"({"pools":{"wide":{},"narrow":{}},
  "instances":{"w0":{"pool":"wide","address":"127.0.0.1:9000","zone":"a"},
               "w1":{"pool":"wide","address":"127.0.0.1:9001","zone":"b"},
               "n0":{"pool":"narrow","address":"127.0.0.1:9002","zone":"b"}}})";

config::Document twoZones()
{
    const absl::StatusOr<config::Document> document = config::documentFromJson(nlohmann::json::parse(body));
    REQUIRE(document.ok());
    return *document;
}

absl::StatusOr<config::Record> merge(const config::Record &record, const std::string &patch)
{
    return config::applyPatch(record, config::Patch{patch, "ana", record.version, config::PatchFormat::MergePatch, patch});
}

} // namespace

// Guards against an upgrade that can't read the stored configuration, and against records that nodes of the former version reject.
TEST_CASE("A document without closed zones is read and written as by earlier versions", "[config]")
{
    const config::Document document = twoZones();
    CHECK(document.closedZones.empty());
    CHECK_FALSE(config::toJson(document).contains("closedZones"));
    const absl::StatusOr<config::Record> emptied = merge(config::Record{1, document, {}}, R"({"closedZones":[]})");
    REQUIRE(emptied.ok());
    CHECK(emptied->document == document);
    CHECK(config::toJson(emptied->document) == config::toJson(document));
}

// Guards against closed zones that get lost on the way through the store, where a restarted node reads them.
TEST_CASE("Closed zones survive the record's text", "[config]")
{
    const absl::StatusOr<config::Record> closed = merge(config::Record{1, twoZones(), {}}, R"({"closedZones":["b","not there yet"]})");
    REQUIRE(closed.ok());
    const absl::StatusOr<config::Record> read = config::recordFromText(config::toText(*closed));
    REQUIRE(read.ok());
    CHECK(read->document.closedZones == std::set<std::string>{"b", "not there yet"});
}

// Guards against a malformed patch that closes all instances without a zone, or nothing without an error.
TEST_CASE("Malformed closed zones are rejected with their path", "[config]")
{
    const std::string patch =
        GENERATE(R"({"closedZones":[""]})", R"({"closedZones":"a"})", R"({"closedZones":[1]})", R"({"closedZones":["a","a"]})", R"({"closedZones":{"a":{}}})");
    const absl::StatusOr<config::Record> result = merge(config::Record{1, twoZones(), {}}, patch);
    REQUIRE(result.status().code() == absl::StatusCode::kInvalidArgument);
    CHECK_THAT(std::string{result.status().message()}, Catch::StartsWith("/closedZones: "));
}

// Guards against an operator who empties a pool without being told, also when an earlier closure left the zone as the last one.
TEST_CASE("closeZonePatch refuses the last open zone of a pool unless it is forced", "[config]")
{
    config::Document document = twoZones();
    CHECK(config::closeZonePatch(document, "a", false).ok());
    const absl::Status refused = config::closeZonePatch(document, "b", false).status();
    CHECK(refused.code() == absl::StatusCode::kFailedPrecondition);
    CHECK_THAT(std::string{refused.message()}, Catch::Contains("'narrow'") && !Catch::Contains("'wide'"));
    CHECK(config::closeZonePatch(document, "b", true).ok());
    document.closedZones = {"a"};
    CHECK_THAT(std::string{config::closeZonePatch(document, "b", false).status().message()}, Catch::Contains("'narrow', 'wide'"));
    document.closedZones.clear();
    document.instances.at(core::InstanceId{"w1"}).leaving = true;
    CHECK_FALSE(config::closeZonePatch(document, "a", false).ok());
    CHECK_FALSE(config::closeZonePatch(document, "", true).ok());
}

// Guards against a patch that opens or closes other zones than the named one.
TEST_CASE("Zone patches change only the named zone", "[config]")
{
    config::Record record{1, twoZones(), {}};
    for (const char *zone : {"a", "elsewhere"}) {
        const absl::StatusOr<std::string> patch = config::closeZonePatch(record.document, zone, false);
        REQUIRE(patch.ok());
        const absl::StatusOr<config::Record> next = merge(record, *patch);
        REQUIRE(next.ok());
        record = *next;
    }
    CHECK(record.document.closedZones == std::set<std::string>{"a", "elsewhere"});
    CHECK(config::zoneSummaries(record.document) == std::map<std::string, config::ZoneSummary>{{"a", {1, true}}, {"b", {2, false}}, {"elsewhere", {0, true}}});
    const absl::StatusOr<std::string> patch = config::openZonePatch(record.document, "a");
    REQUIRE(patch.ok());
    const absl::StatusOr<config::Record> opened = merge(record, *patch);
    REQUIRE(opened.ok());
    CHECK(opened->document.closedZones == std::set<std::string>{"elsewhere"});
    CHECK(config::openZonePatch(opened->document, "a").status().code() == absl::StatusCode::kNotFound);
}

#include <catch2/catch.hpp>

#include <algorithm>

#include <nlohmann/json.hpp>

#include "oleanderwick/config/config.hpp"

namespace config = oleanderwick::config;

namespace
{

constexpr const char *validBody = R"({"pools":{"p":{}},
  "instances":{"i":{"pool":"p","address":"127.0.0.1:9000"}},
  "teams":{"t":{"share":1,"upperLimit":5}},
  "queues":{"q":{"pool":"p","teams":["t"]}}})";

config::Record validRecord()
{
    const absl::StatusOr<config::Record> record = config::applyPatch({}, config::Patch{"first", "ana", 0, config::PatchFormat::MergePatch, validBody});
    REQUIRE(record.ok());
    return *record;
}

absl::StatusOr<config::Record> merge(const config::Record &record, const std::string &body, const std::string &id = "second")
{
    return config::applyPatch(record, config::Patch{id, "ben", record.version, config::PatchFormat::MergePatch, body});
}

} // namespace

TEST_CASE("applyPatch creates the next version and records the change", "[config]")
{
    const config::Record record = validRecord();
    CHECK(record.version == 1);
    REQUIRE(record.history.size() == 1);
    CHECK(record.history.front().author == "ana");
}

TEST_CASE("applyPatch rejects a patch that is based on another version", "[config]")
{
    config::Record record = validRecord();
    record.version = 7;
    const config::Patch late{"late", "ben", 6, config::PatchFormat::MergePatch, "{}"};
    CHECK(config::applyPatch(record, late).status().code() == absl::StatusCode::kFailedPrecondition);
}

TEST_CASE("applyPatch applies a patch that is sent again only once", "[config]")
{
    const config::Record record = validRecord();
    const config::Patch again{"first", "ana", 0, config::PatchFormat::MergePatch, validBody};
    const absl::StatusOr<config::Record> result = config::applyPatch(record, again);
    REQUIRE(result.ok());
    CHECK(*result == record);
}

TEST_CASE("applyPatch applies a JSON patch completely or not at all", "[config]")
{
    const config::Record record = validRecord();
    const std::string body = R"([{"op":"replace","path":"/teams/t/share","value":3},{"op":"test","path":"/teams/t/upperLimit","value":9}])";
    const config::Patch patch{"json", "ben", 1, config::PatchFormat::JsonPatch, body};
    CHECK(config::applyPatch(record, patch).status().code() == absl::StatusCode::kInvalidArgument);
    CHECK(record.document.teams.begin()->second.share == 1);
}

TEST_CASE("applyPatch reports the path of each invalid field", "[config]")
{
    const absl::StatusOr<config::Record> result = merge(validRecord(), R"({"teams":{"t":{"share":-1,"colour":"red"}},"queues":{"q":{"timeoutMs":"soon"}}})");
    REQUIRE(result.status().code() == absl::StatusCode::kInvalidArgument);
    const std::string text{result.status().message()};
    CHECK_THAT(text, Catch::Contains("/teams/t/share"));
    CHECK_THAT(text, Catch::Contains("/teams/t/colour: is not a known field"));
    CHECK_THAT(text, Catch::Contains("/queues/q/timeoutMs"));
}

TEST_CASE("applyPatch rejects an instance address in two pools", "[config]")
{
    const absl::StatusOr<config::Record> result =
        merge(validRecord(), R"({"pools":{"other":{}},"instances":{"again":{"pool":"other","address":"127.0.0.1:9000"}}})");
    CHECK_THAT(std::string{result.status().message()}, Catch::Contains("exactly one pool"));
}

TEST_CASE("applyPatch rejects a queue whose pool does not exist", "[config]")
{
    const absl::StatusOr<config::Record> result = merge(validRecord(), R"({"pools":{"p":null},"instances":{"i":null}})");
    CHECK_THAT(std::string{result.status().message()}, Catch::Contains("/queues/q/pool"));
}

TEST_CASE("applyPatch rejects malformed and deeply nested bodies", "[config]")
{
    const std::string body = GENERATE(std::string(100'000, '['), std::string{"{"}, std::string{"[]x"}, std::string{"null"}, std::string{"{\"a\":\"\\"});
    CHECK(merge(validRecord(), body).status().code() == absl::StatusCode::kInvalidArgument);
}

TEST_CASE("recordFromText parses the output of toText", "[config]")
{
    const config::Record record = validRecord();
    const absl::StatusOr<config::Record> read = config::recordFromText(config::toText(record));
    REQUIRE(read.ok());
    CHECK(*read == record);
}

TEST_CASE("recordFromText rejects text that is not a record", "[config]")
{
    const std::string text = GENERATE(std::string{}, std::string{"{}"}, std::string{"[1]"}, std::string{R"({"version":-1,"document":{},"history":[]})"});
    CHECK_FALSE(config::recordFromText(text).ok());
}

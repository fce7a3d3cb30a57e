#include <catch2/catch.hpp>

#include "oleanderwick/settings/settings.hpp"

namespace settings = oleanderwick::settings;

namespace
{

const std::string minimal = "node: n1\noperators:\n  - name: ana\n    keyHash: abc\n";

} // namespace

TEST_CASE("parse reads a minimal file with defaults", "[settings]")
{
    const absl::StatusOr<settings::Settings> result = settings::parse(minimal);
    REQUIRE(result.ok());
    CHECK(result->node == "n1");
    CHECK(result->store.kind == settings::StoreKind::Memory);
}

TEST_CASE("parse reports every error with its line", "[settings]")
{
    const absl::StatusOr<settings::Settings> result = settings::parse(minimal + "colour: red\nlimits:\n  maxRequests: many\nstore:\n  kind: paper\n");
    REQUIRE_FALSE(result.ok());
    const std::string text{result.status().message()};
    CHECK_THAT(text, Catch::Contains("line 5: settings.colour is not a known field"));
    CHECK_THAT(text, Catch::Contains("line 7: limits.maxRequests"));
    CHECK_THAT(text, Catch::Contains("store.kind has to be"));
}

TEST_CASE("parse rejects peers without a cluster secret", "[settings]")
{
    const absl::StatusOr<settings::Settings> result =
        settings::parse(minimal + "peers: ['127.0.0.1:1']\nstore:\n  kind: platform\n  endpoints: ['127.0.0.1:2']\n");
    CHECK_THAT(std::string{result.status().message()}, Catch::Contains("clusterSecret"));
}

TEST_CASE("parse rejects operators that are not a list of maps", "[settings]")
{
    const std::string text = GENERATE(std::string{"operators: {name: ana}"}, std::string{"operators: ana"}, std::string{"operators: [ana, [ben]]"});
    CHECK_THAT(std::string{settings::parse("node: n1\n" + text + "\n").status().message()}, Catch::Contains("operators has to be a"));
}

TEST_CASE("parse rejects text that is not a map", "[settings]")
{
    const std::string text = GENERATE(std::string{}, std::string{"[1, 2]"}, std::string{"node: ["}, std::string{"just text"});
    CHECK_FALSE(settings::parse(text).ok());
}

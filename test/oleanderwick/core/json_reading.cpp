#include <catch2/catch.hpp>

#include <string>

#include "oleanderwick/core/json_reading.hpp"

using namespace oleanderwick;

namespace
{

std::string nested(std::size_t depth, const std::string &open, const std::string &inner, const std::string &close)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level) {
        text += open;
    }
    text += inner;
    for (std::size_t level = 0; level < depth; ++level) {
        text += close;
    }
    return text;
}

} // namespace

// Guards against an end of the process by a value that is nested so deeply that copying it exhausts the stack.
TEST_CASE("a text that is nested too deeply is refused with the reason", "[core]")
{
    const std::size_t depth = GENERATE(core::maxJsonDepth + 1, std::size_t{10'000}, std::size_t{300'000});
    for (const absl::StatusOr<nlohmann::json> &value : {core::parseJson(nested(depth, "[", "", "]")),
                                                        core::parseJson(nested(depth, "{\"a\":", "1", "}")),
                                                        core::parseJson(nested(depth, "[{\"a\":", "1", "}]"))}) {
        REQUIRE_FALSE(value.ok());
        CHECK(value.status().message() == "nested more than 48 levels deep");
    }
    CHECK(core::parseJsonOrDiscard(nested(depth, "[", "", "]")).is_discarded());
}

TEST_CASE("a text that is nested as deeply as allowed is the same value as without a bound", "[core]")
{
    for (const std::string &text :
         {nested(core::maxJsonDepth, "[", "", "]"),
          nested(core::maxJsonDepth, "{\"a\":", "null", "}"),
          std::string{R"({"b":[1,-2,2.5,true,null,"x\u00e4",{"c":{}},[[],[0]]],"a":{"d":9223372036854775807},"b2":"","e":-9223372036854775808})"},
          std::string{R"({"a":1,"a":[2]})"},
          std::string{"7"},
          std::string{"\"text\""}}) {
        const absl::StatusOr<nlohmann::json> value = core::parseJson(text);
        REQUIRE(value.ok());
        CHECK(*value == nlohmann::json::parse(text));
        CHECK(value->dump() == nlohmann::json::parse(text).dump());
    }
}

TEST_CASE("numbers that a 64-bit integer can't hold are refused", "[core]")
{
    const std::string number =
        GENERATE("9223372036854775808", "18446744073709551615", "18446744073709551616", "-9223372036854775809", "1e19", "-1e300", "1e999", "1e-5e3");
    CHECK_FALSE(core::parseJson("[" + number + "]").ok());
    CHECK_FALSE(core::parseJson(std::string(400, '9')).ok());
}

TEST_CASE("the reason why a text is refused can be printed", "[core]")
{
    for (const std::string &text :
         {std::string{"\"\xff\""}, std::string{"{\"a\xc3\":1}"}, std::string{"[1,"}, std::string{}, std::string{"[1]x"}, std::string("[\0]", 3)}) {
        const absl::StatusOr<nlohmann::json> value = core::parseJson(text);
        REQUIRE_FALSE(value.ok());
        CHECK(value.status().message().substr(0, 22) == "malformed JSON at byte");
    }
}

TEST_CASE("parseJson refuses a text whose many small values would take many times its size in memory", "[core]")
{
    const std::string value = GENERATE(as<std::string>{}, "0", "{}", "[]", R"({"":0})");
    std::string text = "[" + value;
    while (text.size() < 4 * core::maxJsonValues) {
        text += "," + value;
    }
    const absl::StatusOr<nlohmann::json> parsed = core::parseJson(text + "]");
    REQUIRE_FALSE(parsed.ok());
    CHECK(parsed.status().message() == "more than 400000 values");
}

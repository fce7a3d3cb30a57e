#include <catch2/catch.hpp>

#include "oleanderwick/allotment/allotment.hpp"

namespace allotment = oleanderwick::allotment;
namespace core = oleanderwick::core;

namespace
{

const core::NodeId one{"one"};
const core::NodeId two{"two"};
const allotment::LimitId teamLimit{allotment::LimitId::Kind::Team, "t"};

} // namespace

TEST_CASE("Ledger limits claims to the free permits", "[allotment]")
{
    allotment::Ledger ledger;
    CHECK(ledger.claim(one, teamLimit, 3, 5) == 3);
    CHECK(ledger.claim(two, teamLimit, 3, 5) == 2);
    CHECK(ledger.claim(two, teamLimit, 3, 5) == 0);
    CHECK(ledger.total(teamLimit) == 5);
}

TEST_CASE("Ledger keeps the total when permits are transferred", "[allotment]")
{
    allotment::Ledger ledger;
    ledger.claim(one, teamLimit, 5, 5);
    ledger.move(one, two, teamLimit, 2);
    CHECK(ledger.held(one, teamLimit) == 3);
    CHECK(ledger.held(two, teamLimit) == 2);
    ledger.removeNode(two);
    CHECK(ledger.total(teamLimit) == 3);
}

TEST_CASE("Ledger parses its own JSON text", "[allotment]")
{
    allotment::Ledger ledger;
    ledger.claim(one, teamLimit, 5, 5);
    ledger.claim(two, allotment::LimitId{allotment::LimitId::Kind::Instance, "i-1"}, 2, 8);
    ledger.stamp(7);
    const absl::StatusOr<allotment::Ledger> read = allotment::Ledger::fromText(ledger.toText());
    REQUIRE(read.ok());
    CHECK(*read == ledger);
}

// Guards against a negative number that a conversion turns into a large one.
TEST_CASE("Ledger rejects negative sequence numbers and versions", "[allotment]")
{
    CHECK(allotment::Ledger::fromText(R"({"s":1,"v":1,"a":{}})").ok());
    CHECK_FALSE(allotment::Ledger::fromText(R"({"s":-1,"v":1,"a":{}})").ok());
    CHECK_FALSE(allotment::Ledger::fromText(R"({"s":1,"v":-1,"a":{}})").ok());
}

TEST_CASE("Ledger rejects malformed text", "[allotment]")
{
    const std::string text = GENERATE(std::string{}, std::string{"{}"}, std::string{R"({"s":1,"v":1,"a":[]x})"}, std::string{R"({"s":"x"})"});
    CHECK_FALSE(allotment::Ledger::fromText(text).ok());
}

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "oleanderwick/jobnode/zone_closures.hpp"
#include "support/node_fixture.hpp"

using namespace oleanderwick;
using test::NodeFixture;

TEST_CASE("an owner starts nothing before the closed zones were listed after its election", "[jobnode]")
{
    NodeFixture fixture;
    const std::unique_ptr<jobnode::JobNode> node = fixture.makeNode("n1");
    fixture.store.heldPrefix = "op/closed/";
    fixture.submit("a");
    fixture.run(std::chrono::seconds{1});
    REQUIRE(node->isOwner());
    fixture.run(std::chrono::seconds{5});
    CHECK(fixture.workers.starts.empty());
}

TEST_CASE("a closed zone gets no starts, over changes of the owner, until its key is removed", "[jobnode]")
{
    NodeFixture fixture;
    const std::unique_ptr<jobnode::JobNode> node = fixture.makeNode("n1");
    fixture.run(std::chrono::seconds{1});
    fixture.put("op/closed/a", "");
    fixture.run(std::chrono::milliseconds{20});
    fixture.submit("a");
    fixture.run(std::chrono::seconds{2});
    CHECK(fixture.workers.starts.empty());
    CHECK(fixture.log.metrics().toText().find("oleanderwick_closed_zones 1\n") != std::string::npos);
    const std::unique_ptr<jobnode::JobNode> next = fixture.makeNode("n2");
    node->stop();
    // The node stays until the end, since its timers refer to it.
    fixture.run(std::chrono::seconds{2});
    REQUIRE(next->isOwner());
    CHECK(fixture.workers.starts.empty());
    fixture.remove("op/closed/a");
    fixture.run(std::chrono::seconds{1});
    CHECK(fixture.workers.starts.size() == 1);
    CHECK(fixture.text.find("zone_closed") != std::string::npos);
    CHECK(fixture.text.find("zone_opened") != std::string::npos);
    CHECK(fixture.log.metrics().toText().find("oleanderwick_closed_zones 0\n") != std::string::npos);
}

TEST_CASE("a known closed zone stays closed while the store is unavailable", "[jobnode]")
{
    NodeFixture fixture;
    fixture.put("op/closed/a", "");
    jobnode::ZoneClosures closures{"op/closed/"};
    closures.follow(fixture.executor, fixture.store, [] {
    });
    fixture.run(std::chrono::seconds{1});
    REQUIRE(closures.zones() == std::set<std::string>{"a"});
    fixture.store.available = false;
    fixture.run(std::chrono::seconds{30});
    CHECK(closures.zones() == std::set<std::string>{"a"});
}

TEST_CASE("a zone whose key vanished while the history was compacted is opened, and one that was closed meanwhile is closed", "[jobnode]")
{
    NodeFixture fixture;
    fixture.put("op/closed/a", "");
    jobnode::ZoneClosures closures{"op/closed/"};
    int changes = 0;
    closures.follow(fixture.executor, fixture.store, [&changes] {
        ++changes;
    });
    fixture.run(std::chrono::seconds{1});
    fixture.store.available = false;
    fixture.run(std::chrono::seconds{2});
    fixture.remove("op/closed/a");
    fixture.put("op/closed/b", "");
    fixture.store.model.compact();
    CHECK(closures.zones() == std::set<std::string>{"a"});
    fixture.store.available = true;
    fixture.run(std::chrono::seconds{1});
    CHECK(closures.zones() == std::set<std::string>{"b"});
    CHECK(changes >= 2);
}

// Guards against an operator's key that ends the processes of all nodes at once, since each of them reads it.
TEST_CASE("a malformed key among the closures of zones stops no owner and closes only the zone that it names", "[jobnode]")
{
    const bool passed = rc::check("odd names and values of closures", [](const std::string &name, const std::string &value) {
        NodeFixture fixture;
        const std::unique_ptr<jobnode::JobNode> node = fixture.makeNode("n1");
        fixture.run(std::chrono::seconds{1});
        const std::size_t repeats = *rc::gen::element<std::size_t>(1, 1, 1, 20'000);
        std::string zone;
        for (std::size_t count = 0; count < repeats; ++count) {
            zone += name;
        }
        RC_PRE(zone != "a");
        fixture.put("op/closed/" + zone, value);
        fixture.put("op/" + zone, value);
        fixture.put("op/closed", value);
        fixture.submit("job");
        fixture.run(std::chrono::seconds{1});
        RC_ASSERT(node->isOwner());
        RC_ASSERT(fixture.workers.starts.size() == 1U);
        fixture.remove("op/closed/" + zone);
        fixture.put("op/closed/a", value);
        fixture.run(std::chrono::milliseconds{20});
        fixture.submit("next");
        fixture.run(std::chrono::seconds{1});
        RC_ASSERT(node->isOwner());
        RC_ASSERT(fixture.workers.starts.size() == 1U);
    });
    CHECK(passed);
}

// Guards against names at the limits that random names hardly reach: an empty one must not close workers without a zone.
TEST_CASE("closures with empty, very long and binary names leave open zones in use", "[jobnode]")
{
    const std::string zone =
        GENERATE(std::string{}, std::string(1'000'000, 'x'), std::string("\0\xff\n\"", 4), std::string{"../a"}, std::string{"a/"}, std::string{" a"});
    NodeFixture fixture;
    fixture.put("workers/w1", "");
    const std::unique_ptr<jobnode::JobNode> node = fixture.makeNode("n1");
    fixture.put("op/closed/" + zone, std::string(1'000'000, '{'));
    fixture.run(std::chrono::seconds{1});
    fixture.submit("job");
    fixture.run(std::chrono::seconds{1});
    CHECK(node->isOwner());
    CHECK(fixture.workers.starts.size() == 1);
}

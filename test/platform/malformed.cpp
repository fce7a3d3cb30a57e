#include <catch2/catch.hpp>

#include <string>

#include "platform/ingress.hpp"
#include "platform/routes.hpp"
#include "platform/store_client.hpp"
#include "platform/store_translator.hpp"
#include "platform/worker_client.hpp"
#include "support/node_fixture.hpp"

using namespace oleanderwick;

namespace
{

/** Text of `depth` nested arrays. */
std::string nest(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

const std::string goodEntry =
    R"({"service":"pool","address":"10.0.0.1:80","state":"ready","zone":"a","capacity":{"cpu":4000,"mem_mb":4000},"labels":["a","r1"]})";

http::ExchangeResult reply(const std::string &body)
{
    return {routing::ExchangeOutcome::Complete, http::Response{200, {}, body}};
}

/** @brief Node on the platform that reads the entries of workers from a store in virtual time. */
struct PlatformNode : test::NodeFixture {
    PlatformNode()
    {
        remove("workers/w1");
        put("op/config",
            R"({"version":1,"routes":[{"name":"queue","host":"a.example","prefix":"/x/","service":"pool"}],"services":[{"name":"pool"}],"tenants":[]})");
    }

    /** Number that a metric shows; 0 if it is not there. */
    [[nodiscard]] std::int64_t metric(const std::string &name)
    {
        const std::string all = log.metrics().toText();
        const std::size_t at = all.find("oleanderwick_" + name + " ");
        return at == std::string::npos ? 0 : std::stoll(all.substr(at + name.size() + 14));
    }

    platform::StoreTranslator platformTranslator{log};
    jobnode::JobNode node{executor, jobnode::Ports{store, workers, instances, advice, platformTranslator}, "n1", jobnode::OwnerOptions{}, log};
};

} // namespace

// Guards against an entry of another writer that ends each process that reads it, or that hides the other workers.
TEST_CASE("a malformed entry of a worker is left out, logged once and counted, and the others are used", "[platform]")
{
    PlatformNode fleet;
    const std::string odd = GENERATE_COPY(nest(300'000),
                                          std::string{R"({"service":"pool","address":"10.0.0.1:80","state":"ready","extra":)"} + nest(150'000) + "}",
                                          std::string{R"({"service":"pool","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":1e300}})"},
                                          std::string{R"({"service":"pool","address":"10.0.0.1:70000","state":"ready"})"},
                                          std::string{"\xff\xfe"});
    fleet.put("servers/odd", odd);
    fleet.put("servers/w2", goodEntry);
    fleet.submit("job");
    fleet.run(std::chrono::seconds{5});
    CHECK(fleet.workers.starts == std::vector<std::string>{"w2"});
    CHECK(fleet.metric("unreadable_workers") == 1);
    CHECK(fleet.metric("events_total{event=\"worker_unreadable\"}") == 1);
    fleet.put("servers/odd", odd);
    fleet.put("servers/odd", odd);
    fleet.run(std::chrono::seconds{3});
    CHECK(fleet.metric("events_total{event=\"worker_unreadable\"}") == 1);
    CHECK(fleet.metric("events_total{event=\"worker_entry_left_out\"}") >= 2);
    // The entry that replaces it is taken up: the worker gets the new task, and that of the worker that has left.
    fleet.put("servers/odd", goodEntry);
    fleet.run(std::chrono::seconds{1});
    CHECK(fleet.metric("unreadable_workers") == 0);
    fleet.remove("servers/w2");
    fleet.run(std::chrono::seconds{1});
    fleet.submit("other");
    fleet.run(std::chrono::seconds{3});
    CHECK(fleet.workers.starts == std::vector<std::string>{"w2", "odd", "odd"});
}

TEST_CASE("an entry that becomes malformed names no worker to use until it is replaced", "[platform]")
{
    PlatformNode fleet;
    fleet.put("servers/w2", goodEntry);
    fleet.run(std::chrono::seconds{5});
    fleet.put("servers/w2", R"({"service":"pool","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":-5}})");
    fleet.run(std::chrono::milliseconds{500});
    fleet.submit("job");
    fleet.run(std::chrono::seconds{2});
    CHECK(fleet.workers.starts.empty());
    fleet.put("servers/w2", goodEntry);
    fleet.run(std::chrono::seconds{2});
    CHECK(fleet.workers.starts.size() == 1);
}

TEST_CASE("the reason why an entry of a worker is left out names the field", "[platform]")
{
    test::NodeFixture fixture;
    const platform::StoreTranslator translator{fixture.log};
    const auto reason = [&translator](const std::string &value) {
        return std::string{translator.parseWorker(jobs::StoreItem{"servers/w1", value, 1}).status().message()};
    };
    const std::string start = R"({"service":"s1","address":"10.0.0.1:80","state":"ready")";
    CHECK(reason(start + "}").empty());
    CHECK(reason(start + R"(,"capacity":{"cpu":1e300}})") == "a number is out of range");
    CHECK(reason(start + R"(,"capacity":{"cpu":4e12}})") == "capacity cpu is out of range");
    CHECK(reason(start + R"(,"capacity":{"mem_mb":-1}})") == "capacity mem_mb is out of range");
    CHECK(reason(start + R"(,"capacity":{"gpu":"two"}})") == "capacity gpu is a string instead of a number");
    CHECK(reason(start + R"(,"labels":["a",7]})") == "labels has an entry that is not a string");
    CHECK(reason(start + R"(,"born":-4})") == "born is out of range");
    CHECK(reason(R"({"service":"s1","state":"ready"})") == "address is not an IP address and a port");
    for (const char *address : {"10.0.0.1:0", "10.0.0.1:-1", "10.0.0.1:65536", "10.0.0.1:99999999999999999999", "nowhere:80", ":80", "10.0.0.1"}) {
        CHECK(reason(R"({"service":"s1","address":")" + std::string{address} + R"(","state":"ready"})") == "address is not an IP address and a port");
    }
}

// Guards against a submission that ends the node that reads it.
TEST_CASE("a malformed submission is refused with the reason", "[platform]")
{
    const auto reason = [](const std::string &text) {
        return std::string{platform::parseSubmission(text).status().message()};
    };
    CHECK(reason(nest(300'000)) == "nested more than 48 levels deep");
    CHECK(reason(R"({"spec":"s","steps":[{"count":1}],"x":)" + nest(150'000) + "}") == "nested more than 48 levels deep");
    CHECK(reason(R"({"spec":"s","steps":[)" + nest(20) + "]}") == "step 0: not a JSON object");
    CHECK(reason(R"({"spec":"s","steps":[{"estimate_ms":1e300}]})") == "a number is out of range");
    CHECK(reason(R"({"spec":"s","steps":[{},{"estimate_ms":-1}]})") == "step 1: estimate_ms is out of range");
    CHECK(reason(R"({"spec":"s","steps":[{"cpu":4000000000000}]})") == "step 0: cpu is out of range");
    CHECK(reason(R"({"spec":"s","steps":[{"count":"many"}]})") == "step 0: count is a string instead of a number");
    CHECK(reason(R"({"spec":"s","steps":[{"gang":"yes"}]})") == "step 0: gang is a string");
    CHECK(reason(R"({"spec":"s","steps":[{},{"after":[1]}]})") == "step 1: after names a step that is not an earlier one");
    CHECK(reason(R"({"spec":"s","steps":[{}],"first_run_ms":9007199254740993})") == "first_run_ms is out of range");
    CHECK(reason("{\"spec\":\"\xff\"}") == "malformed JSON at byte 10");
}

TEST_CASE("messages from outside that are nested too deeply or have numbers out of range are not taken", "[platform]")
{
    test::NodeFixture fixture;
    platform::StoreTranslator translator{fixture.log};
    const std::string deep = nest(200'000);
    CHECK_FALSE(platform::parseReport(R"({"clock_ms":5,"running":)" + deep + "}").has_value());
    CHECK_FALSE(platform::parseReport(R"({"clock_ms":1e300})").has_value());
    CHECK_FALSE(platform::parseReport(R"({"clock_ms":5,"running":[["00112233aabbccdd.0.1.2",9223372036854775807,"",41,0]]})").has_value());
    CHECK_FALSE(platform::parseReport(R"({"clock_ms":5,"ended":[[-1,"00112233aabbccdd.0.1.2",1,"done",""]]})").has_value());
    CHECK_FALSE(platform::Routes::parse(R"({"version":1,"routes":)" + deep + "}").has_value());
    CHECK_FALSE(translator.parseOperatorItem({"op/wave/3", R"({"wave":3,"machines":)" + deep + "}", 1}).wave.has_value());
    CHECK_FALSE(translator.parseOperatorItem({"op/wave/3", R"({"wave":3,"machines":[],"duration_s":1e17})", 1}).wave.has_value());
    CHECK_FALSE(jobs::jobFromRecord(R"({"id":"a","steps":)" + deep + "}").ok());
    CHECK_FALSE(jobs::progressFromRecord(R"({"state":1,"runs":)" + deep + "}").ok());
    CHECK(platform::readStoreReply(reply(R"({"items":)" + deep + "}"), "items").outcome == jobs::StoreOutcome::Unknown);
}

// Guards against a reply without a list that is taken for an empty one, so that all workers count as gone.
TEST_CASE("a listing whose reply lacks the list, or says that there is more behind no item, does not count", "[platform]")
{
    CHECK(platform::readStoreReply(reply(R"({"items":[],"has_more":false,"as_of":5})"), "items").outcome == jobs::StoreOutcome::Done);
    CHECK(platform::readStoreReply(reply(R"({"as_of":5})"), "items").outcome == jobs::StoreOutcome::Unknown);
    CHECK(platform::readStoreReply(reply(R"({"items":{},"as_of":5})"), "items").outcome == jobs::StoreOutcome::Unknown);
    CHECK(platform::readStoreReply(reply(R"({"items":[],"has_more":true,"as_of":5})"), "items").outcome == jobs::StoreOutcome::Unknown);
}

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "platform/ingress.hpp"
#include "platform/notices.hpp"
#include "platform/routes.hpp"
#include "platform/service_clients.hpp"
#include "platform/store_translator.hpp"
#include "platform/worker_client.hpp"
#include "support/scripted_store.hpp"

using namespace oleanderwick;

namespace
{

const char *const configuration = R"({"version":7,
 "routes":[{"name":"q1","host":"a.example","prefix":"/x/","service":"s1","priority":1,"max_attempts":3,"stretch":1.5,"slo_ms":600,"public":false},
           {"name":"q2","host":"a.example","prefix":"/x/deep/","service":"s2","public":true,"advice":{"decide_ms":5,"each_ms":1,"valid_ms":3000}}],
 "services":[{"name":"s1","enforce_capacity":false},{"name":"s2","standby":true}],
 "tenants":[{"name":"t1","api_keys":["k1"],"weight":2.5,"cap":{"cpu":4000,"mem_mb":100}}],"limits":{}})";

} // namespace

TEST_CASE("Routes::parse parses the platform's routes, services and tenants into queues, pools and teams", "[platform]")
{
    const std::optional<std::pair<platform::Routes, jobnode::OperatorUpdate>> parsed = platform::Routes::parse(configuration);
    REQUIRE(parsed.has_value());
    const jobs::FleetConfig &fleet = *parsed->second.config;
    CHECK(parsed->second.configVersion == 7);
    CHECK(fleet.teams.at("t1").rate == 2.5);
    CHECK(fleet.queues.at("q1") == jobs::QueuePolicy{"s1", 1, 3, 1.5, 600, false});
    CHECK(fleet.queues.at("q2").needsTicket);
    CHECK_FALSE(fleet.pools.at("s1").workersEnforceCapacity);
    CHECK(fleet.pools.at("s2").standby);
    CHECK(fleet.teams.at("t1").rate == 2.5);
    CHECK(fleet.teams.at("t1").limit == jobs::Resources{4000, 100, 0});
    CHECK(*parsed->first.teamOf("k1") == "t1");
    CHECK(parsed->first.teamOf("k2") == nullptr);
}

TEST_CASE("Routes::find chooses the longest matching prefix among the routes of the host", "[platform]")
{
    const std::optional<std::pair<platform::Routes, jobnode::OperatorUpdate>> parsed = platform::Routes::parse(configuration);
    REQUIRE(parsed.has_value());
    CHECK(parsed->first.find("a.example", "/x/deep/1")->queue == "q2");
    CHECK(parsed->first.find("a.example:80", "/x/1")->queue == "q1");
    CHECK(parsed->first.find("b.example", "/x/1") == nullptr);
    CHECK(parsed->first.find("a.example", "/y/1") == nullptr);
}

TEST_CASE("Routes::parse rejects a malformed configuration", "[platform]")
{
    CHECK_FALSE(platform::Routes::parse("{").has_value());
    CHECK_FALSE(platform::Routes::parse("[]").has_value());
    CHECK_FALSE(platform::Routes::parse(R"({"routes":[]})").has_value());
}

TEST_CASE("StoreTranslator::parseWorker parses an entry and rejects those that are malformed or have an invalid field", "[platform]")
{
    http::Loop loop;
    jobnode::LogSink log{loop, std::make_unique<jobnode::StandardOutput>()};
    const platform::StoreTranslator translator{log};
    const auto parse = [&translator](const std::string &value) {
        return translator.parseWorker(jobs::StoreItem{"servers/w1", value, 1});
    };
    const absl::StatusOr<jobs::WorkerEntry> good =
        parse(R"({"service":"s1","address":"10.0.0.1:80","state":"draining","capacity":{"cpu":16000,"mem_mb":5},"labels":["a","r1"],"born":9})");
    REQUIRE(good.ok());
    CHECK(good->id == "w1");
    CHECK(good->rack == "r1");
    CHECK(good->draining);
    CHECK(good->incarnation == 9);
    CHECK_FALSE(parse("\xff\xfe").ok());
    CHECK_FALSE(parse(R"({"service":"s1","address":"10.0.0.1:80","state":"odd"})").ok());
    CHECK_FALSE(parse(R"({"service":4,"address":"10.0.0.1:80","state":"ready"})").ok());
    CHECK_FALSE(parse(R"({"service":"s1","address":"nowhere","state":"ready"})").ok());
}

TEST_CASE("parseReport parses a worker's report and rejects a malformed one", "[platform]")
{
    const std::optional<jobs::WorkerReport> report = platform::parseReport(
        R"({"clock_ms":5,"born":3,"running":[["00112233aabbccdd.0.1.2",4,"cp",41,12.5]],"ended":[[7,"00112233aabbccdd.0.1.1",2,"lapsed",""]]})");
    REQUIRE(report.has_value());
    CHECK(report->running.at(0) == jobs::ReportedRun{{"00112233aabbccdd", 0, 1, 2}, 4, "cp", 41, 12});
    CHECK(report->ended.at(0) == jobs::ReportedEnd{7, {"00112233aabbccdd", 0, 1, 1}, 2, jobs::RunEndKind::LeaseExpired, ""});
    CHECK_FALSE(platform::parseReport(R"({"running":[]})").has_value());
    CHECK_FALSE(platform::parseReport(R"({"clock_ms":5,"running":[[1]]})").has_value());
    CHECK_FALSE(platform::parseReport("").has_value());
}

TEST_CASE("parseSubmission parses a valid job and rejects malformed or out-of-range ones", "[platform]")
{
    const absl::StatusOr<jobs::Job> job = platform::parseSubmission(
        R"({"spec":"s","steps":[{"count":2,"cpu":500,"mem_mb":64},{"after":[0],"long_running":true,"max_per_server":1,"max_unavailable":2}]})");
    REQUIRE(job.ok());
    CHECK(job->steps.at(0).each == jobs::Resources{500, 64, 0});
    CHECK(job->steps.at(1).continuous);
    CHECK(job->steps.at(1).maxPerWorker == 1);
    CHECK(job->steps.at(1).maxUnavailable == 2);
    for (const char *text : {"",
                             "[]",
                             R"({"spec":"s"})",
                             R"({"spec":"s","steps":[]})",
                             R"({"spec":"s","steps":[{"after":[0]}]})",
                             R"({"spec":"s","steps":[{"count":-1}]})",
                             R"({"spec":"s","steps":[{"after":"x"}]})"}) {
        CHECK_FALSE(platform::parseSubmission(text).ok());
    }
}

TEST_CASE("parseSubmission rejects a step that names an earlier one again and again, since each name takes more memory than its text", "[platform]")
{
    CHECK(platform::parseSubmission(R"({"spec":"s","steps":[{},{},{"after":[0,1]}]})").ok());
    CHECK_FALSE(platform::parseSubmission(R"({"spec":"s","steps":[{},{},{"after":[0,1,0]}]})").ok());
}

TEST_CASE("parseSubmission rejects a job whose states would exhaust an owner's memory or a value of the store", "[platform]")
{
    CHECK(platform::parseSubmission(R"({"spec":"s","steps":[{"count":5000},{"count":5000}]})").ok());
    CHECK(platform::parseSubmission(R"({"spec":"s","steps":[{"count":5}],"repeat_count":2000,"interval_ms":1000})").ok());
    const std::string text = GENERATE(R"({"spec":"s","steps":[{"count":5000},{"count":5001}]})",
                                      R"({"spec":"s","steps":[{"count":5}],"repeat_count":2001})",
                                      R"({"spec":"s","steps":[{"count":1}],"repeat_count":1000000000000,"first_run_ms":1})",
                                      R"({"spec":"s","steps":[{"count":1}],"repeat_count":9223372036854775807})",
                                      R"({"spec":"s","steps":[{"count":1}],"repeat_count":2,"interval_ms":-1000})");
    CHECK_FALSE(platform::parseSubmission(text).ok());
}

TEST_CASE("StoreTranslator parses a maintenance wave and formats its status for operators", "[platform]")
{
    http::Loop loop;
    jobnode::LogSink log{loop, std::make_unique<jobnode::StandardOutput>()};
    platform::StoreTranslator translator{log};
    const jobnode::OperatorUpdate update = translator.parseOperatorItem({"op/wave/3", R"({"wave":3,"machines":["m1","m2"],"duration_s":20,"cap":2})", 1});
    REQUIRE(update.wave.has_value());
    CHECK(update.wave->instances == std::vector<std::string>{"m1", "m2"});
    CHECK(update.wave->maxInstancesDown == 2);
    CHECK(translator.waveStatus(3, jobs::WaveProgress{true, 0, {}, {}, {}})
          == std::pair<std::string, std::string>{"status/wave/3", R"({"state":"completed"})"});
}

TEST_CASE("handleNotices refuses malformed messages, and tells the sender that this node is not the owner", "[platform]")
{
    http::Loop loop;
    jobnode::LogSink log{loop, std::make_unique<jobnode::StandardOutput>()};
    http::UpstreamConnections connections{loop};
    test::ScriptedStore store;
    platform::WorkerClient workers{connections};
    platform::InstanceClient instances{connections, {}, "node"};
    platform::AdviceClient advice{connections, {}};
    platform::StoreTranslator translator{log};
    jobnode::JobNode node{loop, jobnode::Ports{store, workers, instances, advice, translator}, "node", {}, log};
    const auto post = [&](const std::string &body) {
        return platform::handleNotices(http::Request{"POST", platform::noticePath, {}, body}, node, log).status;
    };
    CHECK(post("[[\"job\",\"0123456789abcdef\",5,0]]") == 421);
    CHECK(post("[[\"cancel\",\"0123456789abcdef\"]]") == 400);
    CHECK(post("") == 400);
    CHECK(platform::handleNotices(http::Request{"GET", platform::noticePath, {}, {}}, node, log).status == 405);
}

// Guards against an operator's key with an odd name or value that ends the process of each node, or that replaces the configuration.
TEST_CASE("StoreTranslator takes malformed keys and values of operators, and closures never as configuration", "[platform]")
{
    http::Loop loop;
    jobnode::LogSink log{loop, std::make_unique<jobnode::StandardOutput>()};
    const bool passed = rc::check("odd keys and values of operators", [&log](const std::string &name, const std::string &odd) {
        platform::StoreTranslator translator{log};
        std::string mutated = *rc::gen::element<std::string>(configuration, R"({"wave":3,"machines":["m1","m2"],"duration_s":20,"cap":2})");
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, mutated.size());
        mutated.replace(at, *rc::gen::inRange<std::size_t>(0, 8), odd);
        for (const std::string &value : {odd, mutated, std::string{configuration}}) {
            const jobnode::OperatorUpdate closure = translator.parseOperatorItem({translator.zoneClosurePrefix() + name, value, 2});
            RC_ASSERT_FALSE(closure.config.has_value());
            RC_ASSERT_FALSE(closure.wave.has_value());
            RC_ASSERT(translator.routes().find("a.example", "/x/") == nullptr);
        }
        for (const std::string &key : {std::string{"op/config"}, std::string{"op/wave/3"}, "op/wave/" + name, "op/" + name}) {
            (void)translator.parseOperatorItem({key, mutated, 3});
        }
    });
    CHECK(passed);
}

#include <catch2/catch.hpp>

#include "platform/ingress.hpp"
#include "platform/wire.hpp"
#include "support/node_fixture.hpp"

using namespace oleanderwick;
using namespace std::chrono_literals;

namespace
{

const std::string id = "00112233aabbccdd";

/** @brief Node on the platform with a queue of teams under `/x/` and one that is open to all under `/open/`. */
struct AccessFixture : test::NodeFixture {
    AccessFixture()
    {
        configure(7, R"({"name":"t1","api_keys":["k1"]},{"name":"t2","api_keys":["k2"]})");
        run(1s);
    }

    void configure(int version, const std::string &tenants)
    {
        put("op/config",
            R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"q1","host":"a.example","prefix":"/x/","service":"s1"},
                {"name":"q2","host":"a.example","prefix":"/open/","service":"s1","public":true}],"services":[{"name":"s1"}],"tenants":[)"
                + tenants + "]}");
    }

    int call(const std::string &method, const std::string &prefix, const std::string &key = "")
    {
        http::Request request{method, prefix + id, {{"Host", "a.example"}}, {}};
        if (!key.empty()) {
            request.headers.push_back({platform::apiKeyHeader, key});
        }
        if (method == "POST") {
            request.body = R"({"spec":"s","steps":[{"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":300}]})";
        }
        int status = 0;
        ingress.handle(request, [&status](const http::Response &response) {
            status = response.status;
        });
        run(200ms);
        return status;
    }

    platform::StoreTranslator platformTranslator{log};
    jobnode::JobNode node{executor, jobnode::Ports{store, workers, instances, advice, platformTranslator}, "n1", {}, log};
    platform::Ingress ingress{executor, node, platformTranslator, log};
};

} // namespace

// Guards against a key that reads or ends the jobs of another team.
TEST_CASE("the key of another team is answered as for a job that does not exist", "[platform]")
{
    AccessFixture fixture;
    CHECK(fixture.call("GET", "/x/", "k1") == 410);
    REQUIRE(fixture.call("POST", "/x/", "k1") == 200);
    CHECK(fixture.call("GET", "/x/", "k2") == 410);
    CHECK(fixture.call("DELETE", "/x/", "k2") == 410);
    CHECK(fixture.call("GET", "/x/") == 401);
    CHECK(fixture.call("GET", "/open/") == 410);
    CHECK(fixture.call("DELETE", "/open/") == 410);
    CHECK(fixture.call("POST", "/x/", "k2") == 409);
    CHECK(fixture.call("GET", "/x/", "k1") == 200);
    CHECK(fixture.store.model.read("q/c/" + id).outcome == jobs::StoreOutcome::NotFound);
    CHECK(fixture.call("DELETE", "/x/", "k1") == 200);
}

TEST_CASE("a key that is withdrawn or given to another team has no access to the job from then on", "[platform]")
{
    AccessFixture fixture;
    REQUIRE(fixture.call("POST", "/x/", "k1") == 200);
    fixture.configure(8, R"({"name":"t1","api_keys":["k3"]},{"name":"t2","api_keys":["k1"]})");
    fixture.run(1s);
    CHECK(fixture.call("GET", "/x/", "k1") == 410);
    CHECK(fixture.call("GET", "/x/", "k2") == 401);
    CHECK(fixture.call("GET", "/x/", "k3") == 200);
}

// Guards against a cancellation that is recorded for the team of a key which an open queue does not need.
TEST_CASE("on a queue that is open to all, a late submission is refused whichever keys the calls carry", "[platform]")
{
    AccessFixture fixture;
    const std::string cancelKey = GENERATE("", "k1", "unknown");
    const std::string submitKey = GENERATE("", "k1", "k2");
    CHECK(fixture.call("DELETE", "/open/", cancelKey) == 410);
    CHECK(fixture.call("POST", "/open/", submitKey) == 503);
    CHECK(fixture.call("GET", "/open/") == 410);
}

TEST_CASE("a job of a queue that is open to all is read and cancelled with and without a key", "[platform]")
{
    AccessFixture fixture;
    REQUIRE(fixture.call("POST", "/open/", "k1") == 200);
    CHECK(fixture.call("GET", "/open/") == 200);
    CHECK(fixture.call("GET", "/open/", "k2") == 200);
    CHECK(fixture.call("DELETE", "/open/") == 200);
}

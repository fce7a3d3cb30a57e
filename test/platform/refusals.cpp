#include <catch2/catch.hpp>

#include "platform/ingress.hpp"
#include "platform/wire.hpp"
#include "support/node_fixture.hpp"

using namespace oleanderwick;
using namespace std::chrono_literals;

namespace
{

const char *const configuration = R"({"version":7,
 "routes":[{"name":"q1","host":"a.example","prefix":"/x/","service":"s1","priority":1,"max_attempts":3,"stretch":1.6,"slo_ms":600,"public":false}],
 "services":[{"name":"s1"}],
 "tenants":[{"name":"flood","api_keys":["k1"],"weight":2.5},{"name":"late","api_keys":["k2"],"weight":2.5}],"limits":{}})";

/** @brief Node on the platform with a store in virtual time. */
struct IngressFixture : test::NodeFixture {
    IngressFixture()
    {
        put("op/config", configuration);
        run(1s);
    }

    http::Response post(const std::string &id, const std::string &key)
    {
        const http::Request request{"POST",
                                    "/x/" + id,
                                    {{"Host", "a.example"}, {platform::apiKeyHeader, key}},
                                    R"({"spec":"s","steps":[{"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":300}]})"};
        http::Response result;
        ingress.handle(request, [&result](const http::Response &response) {
            result = response;
        });
        run(100ms);
        return result;
    }

    static jobnode::OwnerOptions options()
    {
        jobnode::OwnerOptions made;
        made.refuseJobs = true;
        return made;
    }

    platform::StoreTranslator platformTranslator{log};
    jobnode::JobNode node{executor, jobnode::Ports{store, workers, instances, advice, platformTranslator}, "n1", options(), log};
    platform::Ingress ingress{executor, node, platformTranslator, log};
};

} // namespace

TEST_CASE("refusals are answered with 429 or 503 and Retry-After in whole seconds", "[platform]")
{
    IngressFixture fixture;
    CHECK(fixture.post("0000000000000001", "k1").status == 200);
    admission::LoadFigures figures;
    figures.version = 1;
    figures.wallMs = fixture.executor.wallMs();
    figures.overloaded = true;
    figures.queues["q1"].teams["flood"] = {10.0, 1.0, 2500, 0.0, true};
    figures.queues["q1"].teams["late"] = {10.0, 1.0, 60'000, 0.0, false};
    fixture.put("pub/load", admission::toText(figures));
    fixture.run(100ms);
    const http::Response beyond = fixture.post("0000000000000002", "k1");
    CHECK(beyond.status == 429);
    REQUIRE(http::findHeader(beyond.headers, "Retry-After") != nullptr);
    CHECK(*http::findHeader(beyond.headers, "Retry-After") == "3");
    const http::Response late = fixture.post("0000000000000003", "k2");
    CHECK(late.status == 503);
    REQUIRE(http::findHeader(late.headers, "Retry-After") != nullptr);
    CHECK(*http::findHeader(late.headers, "Retry-After") == "40");
    // The job that was accepted before stays accepted.
    CHECK(fixture.post("0000000000000001", "k1").status == 200);
}

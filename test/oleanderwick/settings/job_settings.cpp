#include <catch2/catch.hpp>

#include "oleanderwick/settings/job_settings.hpp"

using namespace oleanderwick;

TEST_CASE("parseJobSettings reads the settings of a scheduling node", "[settings]")
{
    const std::string text =
        "scheduler:\n  node: n1\n  callers: 127.0.0.1:1\n  readiness: 127.0.0.1:2\n  internal: 127.0.0.1:3\n  store: 127.0.0.1:4\n"
        "  peers: [\"127.0.0.1:5\"]\n  longestLeaseMs: 4000\n  keepEndedS: 1.5\n  processorShare: 0.25\n  notifyOwner: true\n  attributeFailures: true\n  "
        "yieldLateWork: true\n  teamShares: true\n  teamRateWindowS: 2.5\n  remoteFactor: 2.5\n  refuseJobs: true\n  lateBoundFactor: 2.5\n"
        "  memoryMb: 260\n  maxDescriptors: 4100\n  reservedDescriptors: 200\n";
    REQUIRE(settings::isJobSettings(text));
    const absl::StatusOr<settings::JobSettings> read = settings::parseJobSettings(text);
    REQUIRE(read.ok());
    CHECK(read->longestLease == std::chrono::seconds{4});
    CHECK(read->keepEnded == std::chrono::milliseconds{1500});
    CHECK(read->notifyOwner);
    CHECK(read->attributeFailures);
    CHECK(read->yieldLateWork);
    CHECK(read->teamShares);
    CHECK(read->teamRateWindow == std::chrono::milliseconds{2500});
    CHECK(read->remoteFactor == 2.5);
    CHECK(read->refuseJobs);
    CHECK(read->lateBoundFactor == 2.5);
    CHECK(read->limits == core::ProcessLimits{std::size_t{260} << 20U, 4100});
    CHECK(read->reservedDescriptors == 200);
    CHECK_FALSE(settings::JobSettings{}.refuseJobs);
    CHECK(read->peers == std::vector<std::string>{"127.0.0.1:5"});
}

TEST_CASE("parseJobSettings reports every error with its line", "[settings]")
{
    const absl::StatusOr<settings::JobSettings> read = settings::parseJobSettings(
        "scheduler:\n  nodes: n1\n  longestLeaseMs: -1\n  processorShare: 0\n  memoryMb: 1\n"
        "  maxDescriptors: many\n");
    REQUIRE_FALSE(read.ok());
    const std::string message{read.status().message()};
    for (const char *part : {"line 2: unknown setting nodes",
                             "line 3: longestLeaseMs",
                             "line 4: processorShare",
                             "line 5: memoryMb: must be a number from 16",
                             "line 6: maxDescriptors",
                             "missing setting node",
                             "missing setting store"}) {
        CHECK(message.find(part) != std::string::npos);
    }
}

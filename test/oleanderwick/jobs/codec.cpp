#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "support/job_fleet.hpp"

using namespace oleanderwick;

TEST_CASE("a job survives a round trip through its record", "[jobs]")
{
    rc::prop("any length of spec and any step", [](const std::string &spec, std::int32_t count, bool continuous, bool gang) {
        jobs::Job job = test::JobFleet::makeJob("a", {test::JobFleet::makeStep(std::abs(count % 100'000))});
        // ASCII only, since invalid UTF-8 is replaced in JSON.
        job.spec = std::string(spec.size() % 100, 'x');
        job.steps[0].continuous = continuous;
        job.steps[0].gang = gang;
        const absl::StatusOr<jobs::Job> read = jobs::jobFromRecord(jobs::toRecord(job));
        RC_ASSERT(read.ok());
        RC_ASSERT(*read == job);
    });
}

TEST_CASE("a job's progress survives a round trip through its record", "[jobs]")
{
    jobs::JobRecord record;
    record.state = jobs::JobState::Running;
    record.nextOccurrence = 2;
    record.yields = 1;
    record.occurrences[1] = {{{true, {}, 1, ""}, {false, {}, 0, ""}, {false, {2, 4}, 5, "cp"}}, {}};
    const absl::StatusOr<jobs::JobRecord> read = jobs::progressFromRecord(jobs::toRecord(record));
    REQUIRE(read.ok());
    CHECK(*read == record);
}

TEST_CASE("the record of a job that has not yielded is the same as before yields were counted", "[jobs]")
{
    // Guards against records that a node of an earlier version wrote, or has to read.
    const std::string earlier = R"({"ended":0,"next":0,"runs":[],"state":0})";
    CHECK(jobs::toRecord(jobs::JobRecord{}) == earlier);
    CHECK(jobs::progressFromRecord(earlier)->yields == 0);
}

TEST_CASE("malformed records are rejected", "[jobs]")
{
    for (const char *text : {"", "[]", "{}", R"({"state":9,"ended":0,"next":0,"runs":[]})", R"({"state":1,"ended":0,"next":0,"runs":[[0]]})"}) {
        CHECK_FALSE(jobs::progressFromRecord(text).ok());
        CHECK_FALSE(jobs::jobFromRecord(text).ok());
    }
}

TEST_CASE("a task's name survives a round trip through text, and malformed names are rejected", "[jobs]")
{
    const jobs::TaskName name{"0011223344556677", 3, 1, 20};
    CHECK(jobs::parseTaskName(jobs::toText(name)) == name);
    for (const char *text : {"", "a", "a.1.2", "a.1.2.x", ".1.2.3", "a.1.2."}) {
        CHECK_FALSE(jobs::parseTaskName(text).has_value());
    }
}

TEST_CASE("progressFromRecord reads the record of a job with the most tasks, each of which failed several times", "[jobs]")
{
    jobs::JobRecord record;
    const jobs::TaskRecord task{false, {1, 2, 3, 4, 5}, 12, "00000bb87a21d94b", {6, 7, 8}};
    record.occurrences[0] = {std::vector<jobs::TaskRecord>(10'000, task)};
    const absl::StatusOr<jobs::JobRecord> read = jobs::progressFromRecord(jobs::toRecord(record));
    REQUIRE(read.ok());
    CHECK(*read == record);
}

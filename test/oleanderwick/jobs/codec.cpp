#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "support/job_fleet.hpp"

using namespace oleanderwick;

TEST_CASE("a job's record is read as it was written", "[jobs]")
{
    rc::prop("any spec and step", [](const std::string &spec, std::int32_t count, bool continuous, bool gang) {
        jobs::Job job = test::JobFleet::makeJob("a", {test::JobFleet::makeStep(std::abs(count % 100'000))});
        // JSON holds text; other bytes are replaced.
        job.spec = std::string(spec.size() % 100, 'x');
        job.steps[0].continuous = continuous;
        job.steps[0].gang = gang;
        const absl::StatusOr<jobs::Job> read = jobs::jobFromRecord(jobs::toRecord(job));
        RC_ASSERT(read.ok());
        RC_ASSERT(*read == job);
    });
}

TEST_CASE("a job's progress is read as it was written", "[jobs]")
{
    jobs::JobRecord record;
    record.state = jobs::JobState::Running;
    record.nextOccurrence = 2;
    record.occurrences[1] = {{{true, {}, 1, ""}, {false, {}, 0, ""}, {false, {2, 4}, 5, "cp"}}, {}};
    const absl::StatusOr<jobs::JobRecord> read = jobs::progressFromRecord(jobs::toRecord(record));
    REQUIRE(read.ok());
    CHECK(*read == record);
}

TEST_CASE("records of another form are refused", "[jobs]")
{
    for (const char *text : {"", "[]", "{}", R"({"state":9,"ended":0,"next":0,"runs":[]})", R"({"state":1,"ended":0,"next":0,"runs":[[0]]})"}) {
        CHECK_FALSE(jobs::progressFromRecord(text).ok());
        CHECK_FALSE(jobs::jobFromRecord(text).ok());
    }
}

TEST_CASE("a task's name is read as it was written, and nothing else is a name", "[jobs]")
{
    const jobs::TaskName name{"0011223344556677", 3, 1, 20};
    CHECK(jobs::parseTaskName(jobs::toText(name)) == name);
    for (const char *text : {"", "a", "a.1.2", "a.1.2.x", ".1.2.3", "a.1.2."}) {
        CHECK_FALSE(jobs::parseTaskName(text).has_value());
    }
}

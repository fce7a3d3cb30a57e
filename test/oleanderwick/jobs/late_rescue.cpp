#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <vector>

#include <absl/strings/str_cat.h>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

constexpr int workerCount = 10;
constexpr std::int64_t taskMs = 800;
constexpr std::int64_t objectiveMs = taskMs * 16 / 10 + 600;
/** Jobs a second of which the pool can run as many as arrive: a job has four tasks of two cores, a worker sixteen cores. */
constexpr double capacityPerS = 10 * 16.0 / (4 * 2.0 * 0.8);

/** What callers got. */
struct Outcome {
    int jobs{0};
    int inTime{0}; /**< Answered within the objective. */
    int ofUse{0}; /**< Answered while the answer was of use. */
    int ended{0};
};

/** Submits jobs at a rate for a time to a pool that runs each task for its estimate, then lets the pool run until it is empty. */
Outcome playBurst(double jobsPerS, std::int64_t burstMs)
{
    JobFleet fleet;
    jobs::FleetConfig config;
    config.queues["queue"] = {"pool", 0, 2, 1.6, 600, false};
    config.pools["pool"] = {};
    fleet.scheduler.configure(config);
    for (int index = 0; index < workerCount; ++index) {
        fleet.addWorker(absl::StrCat("w", index));
    }
    struct Run {
        std::int64_t endMs;
        jobs::StartCommand start;
    };
    Outcome outcome;
    std::vector<Run> runs;
    std::map<std::string, std::int64_t> submittedMs;
    const std::int64_t startMs = fleet.wallMs();
    double due = 0.0;
    for (int step = 0; step < 6000; ++step) {
        const std::int64_t now = fleet.wallMs();
        due += now - startMs < burstMs ? jobsPerS * 0.01 : 0.0;
        for (; due >= 1.0; due -= 1.0) {
            jobs::Step tasks = JobFleet::makeStep(4);
            tasks.each.cpu = 2000;
            tasks.estimateMs = taskMs;
            jobs::Job job = JobFleet::makeJob(absl::StrCat("j", outcome.jobs++), {tasks});
            job.submittedMs = now;
            submittedMs[job.id] = now;
            fleet.scheduler.addJob(std::move(job), std::nullopt, false, fleet.now);
        }
        const auto ended = std::partition(runs.begin(), runs.end(), [now](const Run &run) {
            return run.endMs > now;
        });
        for (auto run = ended; run != runs.end(); ++run) {
            fleet.end(run->start, jobs::RunEndKind::Done);
        }
        runs.erase(ended, runs.end());
        const std::vector<jobs::StartCommand> starts = fleet.advance(std::chrono::milliseconds{10});
        fleet.accept(starts);
        for (const jobs::StartCommand &start : starts) {
            runs.push_back({fleet.wallMs() + taskMs, start});
        }
        for (const std::pair<const std::string, jobs::JobRecord> &saved : fleet.save()) {
            if (saved.second.state == jobs::JobState::Completed) {
                const std::int64_t tookMs = saved.second.endedMs - submittedMs.at(saved.first);
                ++outcome.ended;
                outcome.inTime += tookMs <= objectiveMs ? 1 : 0;
                outcome.ofUse += tookMs <= 3 * objectiveMs ? 1 : 0;
            }
        }
    }
    return outcome;
}

} // namespace

TEST_CASE("in a burst of twice what a pool can run for four seconds, each caller gets an answer that is still of use", "[late_rescue]")
{
    // The work of the burst takes eight seconds and the use of an answer ends after 5.6, so that each job can be saved by the order alone.
    const Outcome outcome = playBurst(2 * capacityPerS, 4000);
    INFO("in time " << outcome.inTime << ", of use " << outcome.ofUse << ", ended " << outcome.ended << " of " << outcome.jobs);
    CHECK(outcome.ended == outcome.jobs);
    CHECK(outcome.ofUse == outcome.jobs);
}

TEST_CASE("in a lasting overload, rescues of late jobs leave timely ones their half of the pool", "[late_rescue]")
{
    // Half of the pool is a quarter of the work that arrives.
    const Outcome outcome = playBurst(2 * capacityPerS, 20'000);
    INFO("in time " << outcome.inTime << ", of use " << outcome.ofUse << ", ended " << outcome.ended << " of " << outcome.jobs);
    CHECK(outcome.ended == outcome.jobs);
    CHECK(outcome.inTime * 4 >= outcome.jobs);
}

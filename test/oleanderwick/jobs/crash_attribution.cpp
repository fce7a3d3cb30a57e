#include <catch2/catch.hpp>

#include <set>

#include <absl/strings/str_cat.h>

#include "support/job_fleet.hpp"

using namespace oleanderwick;
using test::JobFleet;

namespace
{

/** Fleet on which tasks crash the workers that start them. */
class CrashingFleet : public JobFleet
{
public:
    explicit CrashingFleet(int workers)
    {
        for (int index = 0; index < workers; ++index) {
            m_up.insert(absl::StrCat("w", index));
            addWorker(absl::StrCat("w", index));
        }
    }

    /** Lets a worker crash; its poll fails at once, and the next list of instances is without it. */
    void crash(const std::string &worker)
    {
        now += std::chrono::milliseconds{10};
        m_up.erase(worker);
        running.erase(worker);
        scheduler.handlePollFailure(worker, false, now);
    }

    /** Delivers a list of instances. */
    void listInstances()
    {
        scheduler.handleRunningWorkers(m_up, now, now);
    }

    /** Plays until nothing was started for a second; `task` crashes each worker that starts it. Returns the number of its starts. */
    int play(const jobs::TaskName &task, core::Duration listInterval = std::chrono::milliseconds{400})
    {
        int starts = 0;
        core::TimePoint listedAt = now;
        for (core::TimePoint startedAt = now; now - startedAt < std::chrono::seconds{1} && starts < 20;) {
            const std::vector<jobs::StartCommand> commands = advance(std::chrono::milliseconds{20});
            accept(commands);
            for (const jobs::StartCommand &command : commands) {
                startedAt = now;
                if (command.task == task) {
                    ++starts;
                    crash(command.worker);
                }
            }
            if (now - listedAt >= listInterval) {
                listedAt = now;
                listInstances();
            }
            (void)save();
        }
        return starts;
    }

private:
    std::set<std::string> m_up;
};

/** A task may be started this often: its third crash shows that it is the cause, whatever else ran beside it. */
constexpr int maxStarts = 3;

} // namespace

TEST_CASE("a task that crashes each worker that starts it is given up", "[jobs][known-red]")
{
    CrashingFleet fleet{10};
    fleet.scheduler.addJob(JobFleet::makeJob("a", {JobFleet::makeStep(1)}), std::nullopt, false, fleet.now);
    CHECK(fleet.play({"a", 0, 0, 0}) <= maxStarts);
}

TEST_CASE("a task that crashes its workers is not started on further ones while their fate is unknown", "[jobs][known-red]")
{
    CrashingFleet fleet{10};
    jobs::Step step = JobFleet::makeStep(1);
    step.speculative = true;
    fleet.scheduler.addJob(JobFleet::makeJob("a", {step}), std::nullopt, false, fleet.now);
    CHECK(fleet.play({"a", 0, 0, 0}) <= maxStarts);
}

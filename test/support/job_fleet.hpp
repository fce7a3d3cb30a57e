#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "oleanderwick/jobs/jobs.hpp"

namespace oleanderwick::test
{

/** @brief Scheduler with scripted workers and a store that never fails, in virtual time. */
class JobFleet
{
public:
    static constexpr std::int64_t wallStart = 1'000'000;

    JobFleet()
        : scheduler{jobs::SchedulerLimits{}, now}
    {
        jobs::FleetConfig config;
        jobs::QueuePolicy queue;
        queue.pool = "pool";
        queue.maxAttempts = 2;
        queue.objectiveMs = 600;
        config.queues["queue"] = queue;
        config.pools["pool"] = jobs::PoolPolicy{};
        scheduler.configure(config);
    }

    [[nodiscard]] std::int64_t wallMs() const
    {
        return wallStart + core::milliseconds(now - core::TimePoint{});
    }

    /** Registers a worker and reports an empty list of runs for it. */
    void addWorker(const std::string &id, std::int64_t cpu = 16'000)
    {
        jobs::WorkerEntry entry;
        entry.id = id;
        entry.pool = "pool";
        entry.address = "127.0.0.1:1";
        entry.rack = "r1";
        entry.capacity = {cpu, 64'000, 0};
        entry.incarnation = 1;
        scheduler.listWorker(entry, now);
        report(id, {}, {});
    }

    static jobs::Job makeJob(const std::string &id, std::vector<jobs::Step> steps)
    {
        jobs::Job job;
        job.id = id;
        job.queue = "queue";
        job.pool = "pool";
        job.spec = "text";
        job.submittedMs = wallStart;
        job.steps = std::move(steps);
        return job;
    }

    static jobs::Step makeStep(std::int64_t count, std::vector<std::size_t> after = {})
    {
        jobs::Step step;
        step.count = count;
        step.each = {1000, 100, 0};
        step.estimateMs = 1000;
        step.after = std::move(after);
        return step;
    }

    /** Advances the time and collects the commands; returns the starts and appends the others to the members. */
    std::vector<jobs::StartOrder> advance(core::Duration span = std::chrono::milliseconds{50})
    {
        now += span;
        scheduler.advance(now, wallMs());
        jobs::Orders orders = scheduler.takeOrders();
        stops.insert(stops.end(), orders.stops.begin(), orders.stops.end());
        paces.insert(paces.end(), orders.paces.begin(), orders.paces.end());
        questions.insert(questions.end(), orders.questions.begin(), orders.questions.end());
        return orders.starts;
    }

    /** Lets the workers accept all starts. */
    void accept(const std::vector<jobs::StartOrder> &starts)
    {
        for (const jobs::StartOrder &start : starts) {
            scheduler.takeStartAnswer(start, jobs::StartAnswer::Started, clockMs(), now);
            running[start.worker].push_back({start.task, start.run, "", 10, 0});
        }
    }

    /** Delivers a worker's report. */
    void report(const std::string &worker, const std::vector<jobs::ListedRun> &runs, const std::vector<jobs::ListedEnd> &ended, std::int64_t incarnation = 1)
    {
        jobs::WorkerReport lists;
        lists.clockMs = clockMs();
        lists.incarnation = incarnation;
        lists.running = runs;
        lists.ended = ended;
        scheduler.takeReport(worker, lists, now, now, wallMs());
    }

    /** Ends an accepted run and reports it. */
    void end(const jobs::StartOrder &start, jobs::EndKind kind)
    {
        std::vector<jobs::ListedRun> &runs = running[start.worker];
        std::erase_if(runs, [&start](const jobs::ListedRun &run) {
            return run.task == start.task && run.run == start.run;
        });
        ends[start.worker].push_back({static_cast<std::int64_t>(ends[start.worker].size()) + 1, start.task, start.run, kind, ""});
        report(start.worker, runs, ends[start.worker]);
    }

    /** Stores all unsaved states and returns them by job. */
    std::map<std::string, jobs::JobRecord> save()
    {
        std::map<std::string, jobs::JobRecord> stored;
        for (const jobs::SaveOrder &order : scheduler.takeSaves(1000)) {
            stored[order.job] = order.record;
            scheduler.takeSaved(order.job, order.version, true);
        }
        return stored;
    }

    [[nodiscard]] std::int64_t clockMs() const
    {
        return 50'000 + core::milliseconds(now - core::TimePoint{});
    }

    core::TimePoint now{std::chrono::seconds{100}};
    jobs::Scheduler scheduler;
    std::vector<jobs::StopOrder> stops;
    std::vector<jobs::PaceOrder> paces;
    std::vector<jobs::AdviceOrder> questions;
    std::map<std::string, std::vector<jobs::ListedRun>> running;
    std::map<std::string, std::vector<jobs::ListedEnd>> ends;
};

} // namespace oleanderwick::test

#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <absl/strings/str_cat.h>

#include "job_fleet.hpp"

namespace oleanderwick::test
{

/** @brief Jobs of one kind that a team sends; each has one step. */
struct TeamLoad {
    std::string team;
    double jobsPerS{1.0};
    std::int64_t tasks{4};
    std::int64_t cpu{1500};
    std::int64_t durationMs{500};
};

/** @brief What the jobs of a kind got. */
struct LoadResult {
    std::int64_t jobs{0}; /**< Jobs sent whose objective ends before the load does. */
    std::int64_t inTime{0}; /**< Those of which all tasks started in time for the objective. */
    std::int64_t started{0}; /**< Those of which all tasks started at all. */
    double cpuMs{0.0}; /**< CPU in use, summed over time. */
};

/** @brief Plays loads on workers that end each run after its duration, and counts placements that left room which ready work fits. */
class LoadPlayer
{
public:
    LoadPlayer(bool teamShares, const std::map<std::string, double> &weights, int workers)
        : m_fleet{jobs::SchedulerLimits{.teamShares = teamShares}}
    {
        jobs::FleetConfig config;
        config.queues["queue"] = {"pool", 0, 2, 1.6, 600, false};
        config.pools["pool"] = {};
        for (const std::pair<const std::string, double> &weight : weights) {
            config.teams[weight.first] = jobs::TeamPolicy{weight.second, weight.second, {}};
        }
        m_fleet.scheduler.configure(config);
        for (int index = 0; index < workers; ++index) {
            m_fleet.addWorker(absl::StrCat("w", index));
        }
    }

    /** Plays the loads for a time; the results leave out the first five seconds, in which buckets empty and the pool fills. */
    std::vector<LoadResult> play(const std::vector<TeamLoad> &loads, std::int64_t seconds)
    {
        const std::int64_t startMs = m_fleet.wallMs();
        m_results.assign(loads.size(), LoadResult{});
        m_measureFromMs = startMs + 5000;
        m_endMs = startMs + seconds * 1000;
        std::vector<double> dueMs(loads.size(), 0.0);
        while (m_fleet.wallMs() < m_endMs) {
            for (std::size_t index = 0; index < loads.size(); ++index) {
                while (static_cast<double>(startMs) + dueMs[index] <= static_cast<double>(m_fleet.wallMs())) {
                    send(loads[index], index);
                    dueMs[index] += drawGapMs(loads[index].jobsPerS);
                }
            }
            endRuns();
            start(m_fleet.advance(std::chrono::milliseconds{20}));
            checkRoom();
            (void)m_fleet.save();
        }
        for (const std::pair<const std::string, Sent> &sent : m_sent) {
            record(sent.second, false);
        }
        return m_results;
    }

    std::int64_t idleSteps{0}; /**< Steps after which room was left that a ready task fits. */
    std::vector<std::string> starts; /**< Task and worker of each start. */
    std::int64_t fullSteps{0}; /**< Steps after which ready tasks were left. */

private:
    struct Sent {
        std::size_t load{0};
        TeamLoad kind;
        std::int64_t submittedMs{0};
        std::int64_t waiting{0};
    };

    struct Run {
        std::int64_t endsMs;
        jobs::StartCommand start;
        bool operator>(const Run &other) const
        {
            return endsMs > other.endsMs;
        }
    };

    /** Exponential gap; the distributions of the standard library differ between implementations. */
    double drawGapMs(double jobsPerS)
    {
        return -1000.0 / jobsPerS * std::log((static_cast<double>(m_random() >> 11U) + 1.0) / 9007199254740993.0);
    }

    void send(const TeamLoad &load, std::size_t index)
    {
        jobs::Step step = JobFleet::makeStep(load.tasks);
        step.each = {load.cpu, load.cpu, 0};
        step.estimateMs = load.durationMs;
        jobs::Job job = JobFleet::makeJob(absl::StrCat("j", m_jobs++), {step});
        job.team = load.team;
        job.submittedMs = m_fleet.wallMs();
        m_sent[job.id] = Sent{index, load, job.submittedMs, load.tasks};
        m_fleet.scheduler.addJob(std::move(job), std::nullopt, false, m_fleet.now);
    }

    void start(const std::vector<jobs::StartCommand> &commands)
    {
        m_fleet.accept(commands);
        for (const jobs::StartCommand &command : commands) {
            starts.push_back(absl::StrCat(jobs::toText(command.task), " ", command.worker));
            Sent &sent = m_sent.at(command.task.job);
            const std::int64_t endsMs = m_fleet.wallMs() + sent.kind.durationMs;
            m_running.push(Run{endsMs, command});
            const std::int64_t measuredMs = std::min(endsMs, m_endMs) - std::max(m_fleet.wallMs(), m_measureFromMs);
            m_results[sent.load].cpuMs += static_cast<double>(sent.kind.cpu * std::max<std::int64_t>(measuredMs, 0));
            if (--sent.waiting == 0) {
                record(sent, true);
                m_sent.erase(command.task.job);
            }
        }
    }

    void record(const Sent &sent, bool started)
    {
        const std::int64_t dueMs = sent.submittedMs + sent.kind.durationMs * 8 / 5 + 600;
        if (sent.submittedMs >= m_measureFromMs && dueMs <= m_endMs) {
            LoadResult &result = m_results[sent.load];
            ++result.jobs;
            result.started += started ? 1 : 0;
            result.inTime += started && m_fleet.wallMs() + sent.kind.durationMs <= dueMs ? 1 : 0;
        }
    }

    void endRuns()
    {
        std::map<std::string, std::vector<jobs::ReportedEnd>> ended;
        for (; !m_running.empty() && m_running.top().endsMs <= m_fleet.wallMs(); m_running.pop()) {
            const jobs::StartCommand &command = m_running.top().start;
            ended[command.worker].push_back({++m_lastEnds[command.worker], command.task, command.run, jobs::RunEndKind::Done, ""});
            std::erase_if(m_fleet.running[command.worker], [&command](const jobs::ReportedRun &run) {
                return run.task == command.task;
            });
        }
        for (const jobs::PollCommand &poll : m_fleet.scheduler.takePolls(m_fleet.now)) {
            ended.try_emplace(poll.worker);
        }
        for (const std::pair<const std::string, std::vector<jobs::ReportedEnd>> &worker : ended) {
            m_fleet.report(worker.first, m_fleet.running[worker.first], worker.second);
        }
    }

    void checkRoom()
    {
        std::int64_t room = 0;
        for (const std::pair<const std::string, jobs::Worker> &worker : m_fleet.scheduler.workers()) {
            room = std::max(room, worker.second.entry.capacity.cpu - worker.second.used.cpu);
        }
        fullSteps += m_sent.empty() ? 0 : 1;
        idleSteps += std::any_of(m_sent.begin(), m_sent.end(), [room](const std::pair<const std::string, Sent> &sent) {
            return sent.second.kind.cpu <= room;
        });
    }

    JobFleet m_fleet;
    std::mt19937_64 m_random{20261204};
    std::map<std::string, Sent> m_sent; /**< Jobs with tasks that have not started. */
    std::priority_queue<Run, std::vector<Run>, std::greater<>> m_running;
    std::map<std::string, std::int64_t> m_lastEnds;
    std::vector<LoadResult> m_results;
    std::int64_t m_measureFromMs{0};
    std::int64_t m_endMs{0};
    std::int64_t m_jobs{0};
};

} // namespace oleanderwick::test

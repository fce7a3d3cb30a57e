#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "crash_history.hpp"
#include "job_progress.hpp"
#include "save_queue.hpp"
#include "scheduler_output.hpp"
#include "state_table.hpp"

namespace oleanderwick::jobs
{

/**
 * @brief Attributes crashes of workers to the tasks that were running on them, and gives up tasks that crash their workers.
 *
 * Each task on a crashed worker is a suspect; those whose runs began last are the likely ones. A suspect starts again at once, but with
 * no other job's start on its worker at the same time, so that the next crash tells whether it was the cause; after two crashes only when the
 * fate of its workers is known and the evidence is stored. Two likely crashes, one of them without another job started at the same time, end
 * the job of the task, unless workers of the pool crash so often that this may be a coincidence; then more are needed. A task that is on workers
 * which crash again and again, but never among the last started, gets a worker of its own if that can hardly be a coincidence. A run that lasts
 * proves its task harmless. Runs that were given up while it was unknown whether their worker had ended are kept as doubts until
 * the worker's fate is known.
 */
class CrashAttribution
{
public:
    /** @brief Objects that take part; they must outlive this one. */
    struct Collaborators {
        StateTable &state;
        JobProgress &jobs;
        SaveQueue &saves;
        SchedulerOutput &output;
    };

    /** @brief Run that a worker had, or may have had, when it crashed. */
    struct Suspect {
        TaskName task;
        std::int64_t run{0};
        core::Duration age{}; /**< Time from the command to start the run until the worker was noticed to be silent. */
        bool confirmed{false}; /**< The worker has confirmed the start. */

        [[nodiscard]] bool operator==(const Suspect &) const = default;
    };

    /**
     * @brief Creates the object for one owner's term.
     * @param collaborators Objects that take part.
     * @param termStart Start of the term on the monotonic clock.
     */
    CrashAttribution(const Collaborators &collaborators, core::TimePoint termStart);

    /**
     * @brief Describes the active run of a task.
     * @param name Name of the task.
     * @param task The task.
     * @param endedBy Time by which the process of its worker has ended, or may have ended.
     * @return The run.
     */
    [[nodiscard]] static Suspect makeSuspect(const TaskName &name, const Task &task, core::TimePoint endedBy);

    /**
     * @brief Lists the runs that the end of a worker's process ends.
     * @param worker Worker to examine.
     * @param endedBy Time by which the process has ended; runs that were commanded later are left out.
     * @return Its runs, without those of unknown tasks.
     */
    [[nodiscard]] std::vector<Suspect> suspectsOn(const Worker &worker, core::TimePoint endedBy);

    /**
     * @brief Keeps a run that is given up, or whose start got no reply, until it is known whether its worker has ended.
     * @param worker The worker; ignored if it may end as planned.
     * @param suspect The run.
     * @param now Current time of the monotonic clock.
     */
    void addDoubt(const Worker &worker, const Suspect &suspect, core::TimePoint now);

    /**
     * @brief Drops the doubts about a worker that has replied, or that has ended as planned.
     * @param worker Name of the worker.
     */
    void clearDoubts(const std::string &worker);

    /**
     * @brief Takes note that the platform lists a worker as running. Tasks wait no longer for its fate, which its next report may still decide.
     * @param worker Name of the worker.
     * @param requestedAt Time at which the list was requested.
     */
    void handleListed(const std::string &worker, core::TimePoint requestedAt);

    /** @return True if there are doubts about the worker. */
    [[nodiscard]] bool hasDoubts(const std::string &worker) const;

    /**
     * @brief Records that the process of a worker has ended unexpectedly.
     * @param worker Name of the worker.
     * @param suspects Runs that it had; runs in doubt are added to them.
     * @param detectedBy How the end was noticed, for the log.
     * @param now Current time of the monotonic clock.
     */
    void recordCrash(const std::string &worker, std::vector<Suspect> suspects, std::string_view detectedBy, core::TimePoint now);

    /**
     * @brief Records that the process of a worker without runs has ended unexpectedly.
     * @param worker The worker.
     * @param now Current time of the monotonic clock.
     */
    void recordIdleCrash(const Worker &worker, core::TimePoint now);

    /**
     * @brief Clears the evidence against a task whose run makes progress and has lasted longer than tasks that crash their workers do.
     * @param reference The task, which is known.
     * @param name Name of the task.
     * @param now Current time of the monotonic clock.
     */
    void handleProgress(const TaskReference &reference, const TaskName &name, core::TimePoint now);

    /**
     * @brief Ends the jobs of tasks that were found to crash their workers.
     * @param now Current time of the monotonic clock.
     * @param wallMs Unix time in milliseconds.
     */
    void advance(core::TimePoint now, std::int64_t wallMs);

private:
    struct Doubt {
        Suspect suspect;
        core::TimePoint since;
        bool delays{true}; /**< The task waits for the fate of the worker; see `Task::doubts`. */
    };

    /** What speaks for a task as the cause of a crash. */
    struct Circumstances {
        bool alone{false}; /**< No other job had runs on the worker. */
        bool sole{false}; /**< No run of another job began at the same time as the run, or later. */
        bool amongLast{false}; /**< The run is one of those that were commanded last, a short time before the crash. */
        bool likely{false}; /**< Besides, the worker has confirmed its start. */
        std::string pool; /**< Pool of the worker. */
    };

    /** How likely it is that a task was on crashed workers by coincidence, as natural logarithms of probabilities. */
    struct Coincidence {
        double logPrompt{0.0}; /**< Only of the crashes that came promptly after a start. */
        double logAll{0.0}; /**< Of all crashes; 0 if workers have crashed without the task. */
    };

    void stopDelaying(Doubt &doubt);
    void recordEvidence(const std::string &worker, const Suspect &suspect, const Circumstances &circumstances, core::TimePoint now);
    [[nodiscard]] Coincidence coincidenceOf(const TaskReference &reference, const TaskName &name, const std::string &pool, core::TimePoint now) const;
    [[nodiscard]] static bool isGuilty(const TaskReference &reference, const TaskName &name, bool alone, const Coincidence &coincidence);
    void clearPromptCrashes(JobEntry &entry, Task &task);

    Collaborators m_with;
    core::TimePoint m_startedAt;
    CrashHistory m_history;
    std::map<std::string, std::vector<Doubt>> m_doubts; /**< By worker. */
    std::set<TaskName> m_guilty; /**< Tasks whose jobs the next `advance` ends. */
};

} // namespace oleanderwick::jobs

#include "task_placer.hpp"

#include <algorithm>
#include <cmath>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Time for which a worker gets no starts of other jobs after that of a task which may crash it only after a while. */
constexpr core::Duration trialTime = std::chrono::seconds{5};

} // namespace internal

TaskPlacer::TaskPlacer(const Collaborators &collaborators)
    : m_with{collaborators}
{
}

void TaskPlacer::advance(core::TimePoint now, std::int64_t wallMs)
{
    constexpr core::Duration maxPlacementInterval = std::chrono::milliseconds{100};
    // A placement examines each job, so that with many jobs it would take up all of the time if every event caused one.
    constexpr core::Duration placementIntervalPerJob = std::chrono::microseconds{5};
    const core::Duration interval = std::min(maxPlacementInterval, placementIntervalPerJob * static_cast<std::int64_t>(m_with.state.jobs().size()));
    if (now - m_lastPlacement >= (m_with.state.isPlacementRequested() ? interval : maxPlacementInterval)) {
        m_with.state.clearPlacementRequest();
        m_lastPlacement = now;
        place(now, wallMs);
    }
}

void TaskPlacer::place(core::TimePoint now, std::int64_t wallMs)
{
    m_with.index.rebuild(m_with.state);
    m_with.racks.begin(now);
    m_with.chooser.begin(now);
    m_with.order.arrange(m_with.finder.find(now, wallMs), now);
    for (const Candidate *candidate = m_with.order.next(); candidate != nullptr; candidate = m_with.order.next()) {
        if (candidate->needsTicket) {
            requestTickets(*candidate, now);
        }
        if (candidate->definition().gang) {
            placeGang(*candidate, now);
        } else {
            placeStep(*candidate, now);
        }
    }
}

void TaskPlacer::requestTickets(const Candidate &candidate, core::TimePoint now)
{
    std::optional<AdviceRequest> request = m_with.tickets.makeRequest(candidate.stepName(), candidate.entry->job.pool, now);
    if (request.has_value()) {
        m_with.output.commands().adviceRequests.push_back(*std::move(request));
    }
}

void TaskPlacer::placeStep(const Candidate &candidate, core::TimePoint now)
{
    const Step &step = candidate.definition();
    TaskList &tasks = candidate.tasks();
    const bool oneAtATime = candidate.selection == Candidate::Selection::Unsound;
    if (oneAtATime && WorkerHealth::runsUnsound(*candidate.entry)) {
        return;
    }
    std::string placed;
    WorkerChooser::Choices choices;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        Task &task = tasks[index];
        if (!candidate.mayStart(task, now)) {
            continue;
        }
        if (!m_with.state.isWithinTeamLimit(candidate.entry->job.team, step.each)) {
            break;
        }
        const bool suspected = task.isSuspect();
        const bool retried = suspected || candidate.avoidsWorkers(task);
        Worker *worker = suspected ? m_with.chooser.chooseForSuspect(candidate, index, now)
            : retried              ? m_with.chooser.chooseForRetry(candidate, task, now)
                                   : m_with.chooser.choose(candidate, choices, now);
        if (worker == nullptr && retried) {
            // Other tasks of the step may run on workers on which this one may not.
            continue;
        }
        if (worker == nullptr) {
            break;
        }
        if (!retried && m_with.racks.shouldWait(candidate, index, *worker, now)) {
            continue;
        }
        startTask(candidate, index, *worker, task.record.lastRun + 1, now);
        absl::StrAppend(&placed, placed.empty() ? "" : ",", index, ":", worker->entry.id, ":", task.run);
        if (retried) {
            // The worker's room has changed without the knowledge of the shared choices.
            choices = {};
        }
        if (oneAtATime) {
            break;
        }
    }
    logPlacement(candidate, placed);
}

void TaskPlacer::logPlacement(const Candidate &candidate, const std::string &placed)
{
    if (!placed.empty()) {
        m_with.output.logDecision(
            "step_placed",
            toText(candidate.taskName(0)),
            "",
            absl::StrCat("runs=", placed, " slack_ms=", std::llround(candidate.slackMs), " team_cpu=", m_with.state.teamUse(candidate.entry->job.team).cpu));
    }
}

void TaskPlacer::placeGang(const Candidate &candidate, core::TimePoint now)
{
    const Step &step = candidate.definition();
    TaskList &tasks = candidate.tasks();
    const bool allWait = std::all_of(tasks.begin(), tasks.end(), [&candidate, now](const Task &task) {
        return task.phase == TaskPhase::Waiting && task.notBefore <= now && !candidate.awaitsVerdict(task, now);
    });
    const std::int64_t count = static_cast<std::int64_t>(tasks.size());
    const Resources whole{step.each.cpu * count, step.each.memory * count, step.each.gpu * count};
    if (!allWait || !m_with.state.isWithinTeamLimit(candidate.entry->job.team, whole)) {
        return;
    }
    std::int64_t run = 0;
    std::string checkpoint;
    for (const Task &task : tasks) {
        run = std::max(run, task.record.lastRun + 1);
        checkpoint = std::max(checkpoint, task.record.checkpoint);
    }
    // Places task by task and rolls back if one of them does not fit.
    const std::size_t before = m_with.output.commands().starts.size();
    std::string placements;
    WorkerChooser::Choices choices;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        Worker *worker = m_with.chooser.choose(candidate, choices, now);
        if (worker == nullptr) {
            m_with.output.commands().starts.resize(before);
            for (std::size_t placed = 0; placed < index; ++placed) {
                m_with.state.detach(*candidate.entry, candidate.taskName(placed), tasks[placed]);
                tasks[placed].record.lastRun = run - 1;
            }
            return;
        }
        tasks[index].record.checkpoint = checkpoint;
        startTask(candidate, index, *worker, run, now);
        absl::StrAppend(&placements, placements.empty() ? "" : ",", index, ":", worker->entry.id, ":", run);
    }
    logPlacement(candidate, placements);
}

void TaskPlacer::startTask(const Candidate &candidate, std::size_t index, Worker &worker, std::int64_t run, core::TimePoint now)
{
    JobEntry &entry = *candidate.entry;
    Task &task = candidate.tasks()[index];
    const bool wasIdle = worker.runs.empty();
    TaskName name = candidate.taskName(index);
    m_with.state.attach(entry, name, task, worker, run, TaskPhase::Starting, now);
    worker.lastStartAt = now;
    worker.lastStartJob = entry.job.id;
    const bool forVerdict = task.needsVerdict() || task.onTrial;
    if (forVerdict || (task.isSuspect() && m_with.index.mayReserve(entry.job.pool, now))) {
        worker.reserveFor(name, now + (task.onTrial ? internal::trialTime : simultaneousStarts), forVerdict);
    }
    const std::string *ticket = m_with.tickets.find(candidate.stepName(), worker.entry.id, now);
    StartCommand command{worker.entry.id,
                         worker.entry.address,
                         std::move(name),
                         run,
                         entry.job.spec,
                         m_with.leases.extend(worker, now),
                         task.record.checkpoint,
                         ticket == nullptr ? std::string{} : *ticket};
    if (wasIdle) {
        worker.nextPollAt = now + std::chrono::milliseconds{50};
    }
    m_with.output.commands().starts.push_back(std::move(command));
}

} // namespace oleanderwick::jobs

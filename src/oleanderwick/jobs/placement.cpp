#include "scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Placement costs without unit, added to a CPU usage cost of 0 to 1; interferenceCost counts per run in conflict, failureCost per failure in a row. */
constexpr double otherRackCost = 10.0;
constexpr double splitRacksCost = 5.0;
constexpr double interferenceCost = 2.0;
constexpr double maintenanceCost = 3.0;
constexpr double failureCost = 1.0;
/** Continuous tasks keep their instance from being moved to another pool or to standby, so they are packed on few workers. */
constexpr double spreadCost = 1.0;
/** After this many consecutive failures a worker is probed with one task at a time. */
constexpr std::int64_t failuresForProbe = 3;
/** A pool is overloaded when waiting tasks of jobs that can meet their objective demand more than this multiple of its CPU. */
constexpr double overloadFactor = 1.2;
/** Limits the duration of a request to the advice service, which grows with the number of workers. */
constexpr std::size_t maxWorkersPerRequest = 30;

} // namespace internal

bool Scheduler::isStepReady(const JobEntry &entry, const Occurrence &occurrence, std::size_t step) const
{
    const std::vector<std::size_t> &after = entry.job.steps[step].after;
    return std::all_of(after.begin(), after.end(), [&occurrence](std::size_t before) {
        return before < occurrence.steps.size() && occurrence.steps[before].remaining == 0;
    });
}

double Scheduler::criticalPathMs(const Job &job, const Occurrence *progress)
{
    std::vector<double> ends(job.steps.size(), 0.0);
    double longest = 0.0;
    for (std::size_t index = 0; index < job.steps.size(); ++index) {
        double start = 0.0;
        for (const std::size_t before : job.steps[index].after) {
            start = std::max(start, before < index ? ends[before] : 0.0);
        }
        const bool done = progress != nullptr && progress->steps[index].remaining == 0;
        ends[index] = done ? 0.0 : start + static_cast<double>(job.steps[index].estimateMs);
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

double Scheduler::slackMs(const JobEntry &entry, const Occurrence &occurrence, std::int64_t wallMs) const
{
    const auto queue = m_config.queues.find(entry.job.queue);
    const QueuePolicy policy = queue == m_config.queues.end() ? QueuePolicy{} : queue->second;
    const std::int64_t releaseMs = occurrence.dueMs > 0 ? occurrence.dueMs : entry.job.submittedMs;
    const double objective = policy.criticalPathFactor * entry.criticalPathMs + static_cast<double>(policy.objectiveMs);
    return static_cast<double>(releaseMs - wallMs) + objective - criticalPathMs(entry.job, &occurrence);
}

void Scheduler::addCandidates(JobEntry &entry, core::TimePoint now, std::int64_t wallMs, std::vector<Candidate> &found)
{
    const auto queue = m_config.queues.find(entry.job.queue);
    const std::int64_t priority = queue == m_config.queues.end() ? 0 : queue->second.priority;
    // Advice is requested ahead of a placement, so also while there is no room.
    const bool needsTicket = queue != m_config.queues.end() && queue->second.needsTicket;
    for (std::pair<const std::int64_t, Occurrence> &item : entry.occurrences) {
        Occurrence &occurrence = item.second;
        if (occurrence.remainingSteps == 0) {
            continue;
        }
        double slack = 0.0;
        bool measured = false;
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            if (!needsTicket && !mayFit(entry.job.pool, demandOf(entry.job.steps[step]))) {
                continue;
            }
            const std::vector<Task> &tasks = occurrence.steps[step].tasks;
            const bool waiting = occurrence.steps[step].remaining > 0 && std::any_of(tasks.begin(), tasks.end(), [now](const Task &task) {
                                     return task.phase == TaskPhase::Waiting && !task.record.done && task.notBefore <= now;
                                 });
            if (waiting && isStepReady(entry, occurrence, step)) {
                if (!measured) {
                    measured = true;
                    slack = slackMs(entry, occurrence, wallMs);
                }
                const bool continuous = entry.job.steps[step].continuous;
                const Rank timely = entry.state == JobState::Queued && entry.activeTasks == 0 ? Rank::Timely : Rank::InProgress;
                const Rank rank = continuous || slack >= 0 ? timely : Rank::Late;
                const double submittedMs = static_cast<double>(entry.job.submittedMs);
                found.push_back(Candidate{&entry, item.first, step, continuous ? -1 : priority, rank, slack, rank == Rank::Late ? submittedMs : slack});
            }
        }
    }
}

std::vector<Scheduler::Candidate> Scheduler::collectCandidates(core::TimePoint now, std::int64_t wallMs)
{
    std::vector<Candidate> found;
    std::map<std::string, bool> knownPools;
    for (std::pair<const std::string, JobEntry> &item : m_jobs) {
        JobEntry &entry = item.second;
        if (isFinal(entry.state)) {
            continue;
        }
        if (entry.predatesTerm) {
            const auto known = knownPools.try_emplace(entry.job.pool, false);
            if (known.second) {
                known.first->second = arePreviousRunsKnown(entry.job.pool, now);
            }
            if (!known.first->second && !entry.allSpeculative) {
                continue;
            }
        }
        const std::size_t first = found.size();
        addCandidates(entry, now, wallMs, found);
        const auto load = m_loads.find(entry.job.pool);
        const bool overloaded =
            load != m_loads.end() && static_cast<double>(load->second.waitingCpu) > internal::overloadFactor * static_cast<double>(load->second.capacity);
        for (std::size_t index = first; index < found.size() && overloaded; ++index) {
            if (found[index].rank == Rank::Timely) {
                // Not all jobs can meet their objective. Newest first lets some of them meet it; oldest first would make each miss it narrowly.
                found[index].sortKey = -static_cast<double>(entry.job.submittedMs);
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const Candidate &left, const Candidate &right) {
        return std::tuple{left.priority, left.rank, left.sortKey} < std::tuple{right.priority, right.rank, right.sortKey};
    });
    return found;
}

void Scheduler::indexWorkers()
{
    m_poolWorkers.clear();
    m_poolRoom.clear();
    m_unplaceable.clear();
    for (std::pair<const std::string, Worker> &item : m_workers) {
        const Worker &worker = item.second;
        if (worker.isSchedulable() && worker.reported && worker.clockMs > 0) {
            m_poolWorkers[worker.entry.pool].push_back(&item.second);
            const Resources room = worker.entry.capacity - worker.used;
            Resources &largest = m_poolRoom[worker.entry.pool];
            largest = Resources{std::max(largest.cpu, room.cpu), std::max(largest.memory, room.memory), std::max(largest.gpu, room.gpu)};
        }
    }
}

bool Scheduler::mayFit(const std::string &pool, const Resources &demand) const
{
    const auto room = m_poolRoom.find(pool);
    return room != m_poolRoom.end() && fits(demand, room->second);
}

bool Scheduler::isUnplaceable(const std::string &pool, const Resources &demand) const
{
    const auto known = m_unplaceable.find(pool);
    return known != m_unplaceable.end() && std::any_of(known->second.begin(), known->second.end(), [&demand](const Resources &rejected) {
               return demand.cpu >= rejected.cpu && demand.memory >= rejected.memory && demand.gpu >= rejected.gpu;
           });
}

void Scheduler::place(core::TimePoint now, std::int64_t wallMs)
{
    indexWorkers();
    for (const Candidate &candidate : collectCandidates(now, wallMs)) {
        const auto queue = m_config.queues.find(candidate.entry->job.queue);
        if (queue != m_config.queues.end() && queue->second.needsTicket) {
            requestAdvice(candidate, now);
        }
        if (candidate.entry->job.steps[candidate.step].gang) {
            placeGang(candidate, now);
        } else {
            placeStep(candidate, now);
        }
    }
}

void Scheduler::placeStep(const Candidate &candidate, core::TimePoint now)
{
    const Step &step = candidate.entry->job.steps[candidate.step];
    std::vector<Task> &tasks = candidate.entry->occurrences[candidate.occurrence].steps[candidate.step].tasks;
    std::string placed;
    Choices choices;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        Task &task = tasks[index];
        if (task.phase != TaskPhase::Waiting || task.record.done || task.notBefore > now) {
            continue;
        }
        Worker *worker = isWithinTeamLimit(*candidate.entry, step.each) ? chooseWorker(candidate, step, choices, now) : nullptr;
        if (worker == nullptr) {
            break;
        }
        startTask(candidate, index, *worker, task.record.lastRun + 1, now);
        absl::StrAppend(&placed, placed.empty() ? "" : ",", index, ":", worker->entry.id, ":", task.run);
    }
    logPlacement(candidate, placed);
}

void Scheduler::logPlacement(const Candidate &candidate, const std::string &placed)
{
    if (!placed.empty()) {
        const TaskName first{candidate.entry->job.id, candidate.occurrence, candidate.step, 0};
        logDecision("step_placed", toText(first), "", absl::StrCat("runs=", placed, " slack_ms=", std::llround(candidate.slackMs)));
    }
}

void Scheduler::placeGang(const Candidate &candidate, core::TimePoint now)
{
    const Step &step = candidate.entry->job.steps[candidate.step];
    std::vector<Task> &tasks = candidate.entry->occurrences[candidate.occurrence].steps[candidate.step].tasks;
    const bool allWait = std::all_of(tasks.begin(), tasks.end(), [now](const Task &task) {
        return task.phase == TaskPhase::Waiting && task.notBefore <= now;
    });
    const std::int64_t count = static_cast<std::int64_t>(tasks.size());
    const Resources whole{step.each.cpu * count, step.each.memory * count, step.each.gpu * count};
    if (!allWait || !isWithinTeamLimit(*candidate.entry, whole)) {
        return;
    }
    std::int64_t run = 0;
    std::string checkpoint;
    for (const Task &task : tasks) {
        run = std::max(run, task.record.lastRun + 1);
        checkpoint = std::max(checkpoint, task.record.checkpoint);
    }
    // Places task by task and rolls back if one of them does not fit.
    const std::size_t before = m_commands.starts.size();
    std::string placements;
    Choices choices;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        Worker *worker = chooseWorker(candidate, step, choices, now);
        if (worker == nullptr) {
            m_commands.starts.resize(before);
            for (std::size_t placed = 0; placed < index; ++placed) {
                detach(*candidate.entry, TaskName{candidate.entry->job.id, candidate.occurrence, candidate.step, placed}, tasks[placed]);
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

bool Scheduler::isWithinTeamLimit(const JobEntry &entry, const Resources &demand) const
{
    const auto team = m_config.teams.find(entry.job.team);
    const auto use = m_teamUse.find(entry.job.team);
    if (team == m_config.teams.end() || use == m_teamUse.end()) {
        return true;
    }
    const Resources after = use->second + demand;
    const auto within = [](std::int64_t limit, std::int64_t used, std::int64_t wanted) {
        return limit == 0 || used == 0 || wanted <= limit;
    };
    const Resources &limit = team->second.limit;
    return within(limit.cpu, use->second.cpu, after.cpu) && within(limit.memory, use->second.memory, after.memory)
        && within(limit.gpu, use->second.gpu, after.gpu);
}

std::int64_t Scheduler::countOnWorker(const Worker &worker, const TaskName &name) const
{
    const TaskName first{name.job, name.occurrence, name.step, 0};
    std::int64_t count = 0;
    for (auto run = worker.runs.lower_bound(first); run != worker.runs.end(); ++run) {
        if (run->first.job != first.job || run->first.occurrence != first.occurrence || run->first.step != first.step) {
            break;
        }
        ++count;
    }
    return count;
}

bool Scheduler::hasProbe(const Worker &worker) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [this, &worker](const std::pair<const TaskName, std::int64_t> &run) {
        const JobEntry *entry = findJob(run.first.job);
        return entry != nullptr && entry->occurrences.at(run.first.occurrence).steps[run.first.step].tasks[run.first.index].startedAt > worker.lastFailureAt;
    });
}

bool Scheduler::canPlace(const Worker &worker, const Candidate &candidate, const Step &step, core::TimePoint now)
{
    if (worker.quarantinedUntil > now) {
        return false;
    }
    if (worker.consecutiveFailures >= internal::failuresForProbe && hasProbe(worker)) {
        return false;
    }
    if (!fits(demandOf(step), worker.entry.capacity - worker.used)) {
        return false;
    }
    const std::vector<std::string> &labels = worker.entry.labels;
    if (!step.requiredLabel.empty() && std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end()) {
        return false;
    }
    if (step.maxPerWorker > 0 && countOnWorker(worker, TaskName{candidate.entry->job.id, candidate.occurrence, candidate.step, 0}) >= step.maxPerWorker) {
        return false;
    }
    const auto queue = m_config.queues.find(candidate.entry->job.queue);
    const bool needsTicket = queue != m_config.queues.end() && queue->second.needsTicket;
    return !needsTicket || ticketFor(StepName{candidate.entry->job.id, candidate.occurrence, candidate.step}, worker.entry.id, now) != nullptr;
}

double Scheduler::placementCost(const Worker &worker, const Candidate &candidate, const Step &step) const
{
    const double capacity = static_cast<double>(std::max<std::int64_t>(worker.entry.capacity.cpu, 1));
    const double used = static_cast<double>(worker.used.cpu) / capacity;
    // Prefers full workers, so that others stay empty and can be moved; a best-effort task prefers workers with spare CPU time.
    double cost = step.bestEffort ? used : 1.0 - used;
    if (!step.affinityRack.empty() && worker.entry.rack != step.affinityRack) {
        cost += internal::otherRackCost;
    }
    if (step.sameRack) {
        const std::vector<Task> &tasks = candidate.entry->occurrences.at(candidate.occurrence).steps[candidate.step].tasks;
        for (const Task &task : tasks) {
            const auto other = m_workers.find(task.worker);
            if (task.isActive() && other != m_workers.end() && other->second.entry.rack != worker.entry.rack) {
                cost += internal::splitRacksCost;
                break;
            }
        }
    }
    if (step.continuous && worker.maintenancePending) {
        cost += internal::maintenanceCost;
    }
    if (step.continuous && !runsContinuous(worker)) {
        cost += internal::spreadCost;
    }
    if (step.bestEffort || step.targetMs > 0) {
        for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
            const Step *other = findStep(run.first);
            const bool disturbs = other != nullptr && ((step.bestEffort && other->targetMs > 0) || (step.targetMs > 0 && other->bestEffort));
            cost += disturbs ? internal::interferenceCost : 0.0;
        }
    }
    return cost + internal::failureCost * static_cast<double>(worker.consecutiveFailures);
}

void Scheduler::listChoices(const Candidate &candidate, const Step &step, Choices &choices, core::TimePoint now)
{
    const std::string &pool = candidate.entry->job.pool;
    const Resources demand = demandOf(step);
    bool fitsSomewhere = false;
    choices.workers.clear();
    for (Worker *worker : m_poolWorkers[pool]) {
        if (!fits(demand, worker->entry.capacity - worker->used)) {
            continue;
        }
        fitsSomewhere = true;
        if (canPlace(*worker, candidate, step, now)) {
            choices.workers.push_back(Choice{worker, placementCost(*worker, candidate, step)});
        }
    }
    if (!fitsSomewhere) {
        m_unplaceable[pool].push_back(demand);
    }
}

Worker *Scheduler::chooseWorker(const Candidate &candidate, const Step &step, Choices &choices, core::TimePoint now)
{
    constexpr double excluded = std::numeric_limits<double>::max();
    if (isUnplaceable(candidate.entry->job.pool, demandOf(step))) {
        return nullptr;
    }
    if (!choices.listed || step.sameRack) {
        // With `sameRack`, the cost of each worker depends on the workers chosen before.
        listChoices(candidate, step, choices, now);
        choices.listed = true;
    } else if (choices.last < choices.workers.size()) {
        // Of all workers, only the last one chosen has changed.
        Choice &last = choices.workers[choices.last];
        last.cost = canPlace(*last.worker, candidate, step, now) ? placementCost(*last.worker, candidate, step) : excluded;
    }
    const auto best = std::min_element(choices.workers.begin(), choices.workers.end(), [](const Choice &left, const Choice &right) {
        return left.cost < right.cost;
    });
    if (best == choices.workers.end() || best->cost == excluded) {
        return nullptr;
    }
    choices.last = static_cast<std::size_t>(best - choices.workers.begin());
    return best->worker;
}

void Scheduler::startTask(const Candidate &candidate, std::size_t index, Worker &worker, std::int64_t run, core::TimePoint now)
{
    JobEntry &entry = *candidate.entry;
    Task &task = entry.occurrences[candidate.occurrence].steps[candidate.step].tasks[index];
    const TaskName name{entry.job.id, candidate.occurrence, candidate.step, index};
    const bool wasIdle = worker.runs.empty();
    attach(entry, name, task, worker, run, TaskPhase::Starting, now);
    StartCommand command{worker.entry.id, worker.entry.address, name, run, entry.job.spec, extendLease(worker, now), task.record.checkpoint, {}};
    const std::string *ticket = ticketFor(StepName{name.job, name.occurrence, name.step}, worker.entry.id, now);
    if (ticket != nullptr) {
        command.ticket = *ticket;
    }
    if (wasIdle) {
        worker.nextPollAt = now + std::chrono::milliseconds{50};
    }
    m_commands.starts.push_back(std::move(command));
}

const std::string *Scheduler::ticketFor(const StepName &step, const std::string &worker, core::TimePoint now) const
{
    const auto advice = m_advice.find(step);
    if (advice == m_advice.end()) {
        return nullptr;
    }
    const auto validity = advice->second.validUntil.find(worker);
    const auto ticket = advice->second.tickets.find(worker);
    const bool valid = validity != advice->second.validUntil.end() && ticket != advice->second.tickets.end() && now < validity->second;
    return valid ? &ticket->second : nullptr;
}

void Scheduler::requestAdvice(const Candidate &candidate, core::TimePoint now)
{
    const StepName name{candidate.entry->job.id, candidate.occurrence, candidate.step};
    Advice &advice = m_advice[name];
    if (advice.requestInFlight) {
        return;
    }
    AdviceRequest request{name, {}};
    for (const std::pair<const std::string, Worker> &item : m_workers) {
        const Worker &worker = item.second;
        const auto validity = advice.validUntil.find(item.first);
        const bool known = validity != advice.validUntil.end() && validity->second > now;
        const bool usable = worker.isSchedulable() && worker.entry.pool == candidate.entry->job.pool;
        if (usable && !known && request.workers.size() < internal::maxWorkersPerRequest) {
            request.workers.push_back(item.first);
        }
    }
    if (!request.workers.empty()) {
        advice.requestInFlight = true;
        m_commands.adviceRequests.push_back(std::move(request));
    }
}

} // namespace oleanderwick::jobs

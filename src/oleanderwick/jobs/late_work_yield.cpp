#include "late_work_yield.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobs
{

namespace internal
{

/** Time within which a placement follows the end of a stop. */
constexpr core::Duration placementDelay = std::chrono::milliseconds{100};
/** Time that a restart from a checkpoint takes. */
constexpr double restartMs = 100.0;
/** The load of pools, which decides whether a search is made, is measured as often. */
constexpr core::Duration yieldSearchInterval = std::chrono::milliseconds{40};
constexpr std::int64_t maxYieldsPerJob = 2;
constexpr std::size_t minStopsInFlight = 4;
/** Bounds the time of a search: each task is compared with all workers of its pool. */
constexpr std::size_t maxTasksPerSearch = 100;

double longestStopMs()
{
    return static_cast<double>(core::milliseconds(longestStop));
}

/** Checks whether a job may yield: also again while an earlier yield, which counts once, is under way. */
bool mayYield(const JobEntry &entry, const Task &task, core::TimePoint now)
{
    const bool sameYield = now - entry.yieldedAt < longestStop && task.startedAt <= entry.yieldedAt;
    return entry.yields < maxYieldsPerJob || sameYield;
}

/** Share of a missing amount that a run would free, summed over the resources. */
double usefulShare(const Resources &missing, const Resources &freed)
{
    const auto share = [](std::int64_t lacking, std::int64_t amount) {
        return lacking <= 0 ? 0.0 : static_cast<double>(std::min(lacking, amount)) / static_cast<double>(lacking);
    };
    return share(missing.cpu, freed.cpu) + share(missing.memory, freed.memory) + share(missing.gpu, freed.gpu);
}

Resources atLeastZero(const Resources &amount)
{
    return {std::max<std::int64_t>(amount.cpu, 0), std::max<std::int64_t>(amount.memory, 0), std::max<std::int64_t>(amount.gpu, 0)};
}

} // namespace internal

LateWorkYield::LateWorkYield(const Collaborators &collaborators, bool enabled)
    : m_with{collaborators}
    , m_enabled{enabled}
{
}

void LateWorkYield::advance(core::TimePoint now, std::int64_t wallMs)
{
    if (!m_enabled) {
        return;
    }
    m_advancedAt = now;
    m_wallMs = wallMs;
    updatePromises(now);
    if (now - m_searchedAt < internal::yieldSearchInterval) {
        return;
    }
    m_searchedAt = now;
    const std::set<std::string> pools = contestedPools();
    if (pools.empty()) {
        return;
    }
    const std::vector<Candidate> candidates = m_with.finder.find(now, wallMs, CandidateFinder::Scope::All);
    std::vector<std::pair<std::int64_t, const Candidate *>> waiting;
    for (const Candidate &candidate : candidates) {
        const Step &step = candidate.definition();
        const bool inTime = step.continuous || (!candidate.isLate() && candidate.slackMs >= internal::longestStopMs());
        if (inTime && !step.gang && !step.bestEffort && pools.contains(candidate.entry->job.pool)) {
            waiting.emplace_back(step.continuous ? -1 : candidate.priority, &candidate);
        }
    }
    if (waiting.empty()) {
        return;
    }
    std::stable_sort(waiting.begin(), waiting.end(), [](const auto &left, const auto &right) {
        return std::tuple{left.first, left.second->slackMs} < std::tuple{right.first, right.second->slackMs};
    });
    Search search = beginSearch(pools, now, wallMs);
    for (const std::pair<std::int64_t, const Candidate *> &item : waiting) {
        serve(*item.second, item.first, search);
    }
    updatePromises(now);
}

bool LateWorkYield::isPending(const PendingStop &stop) const
{
    const Worker *worker = std::as_const(m_with.state).findWorker(stop.worker);
    if (worker == nullptr) {
        return false;
    }
    const auto run = worker->runs.find(stop.name);
    return run != worker->runs.end() && run->second == stop.run;
}

void LateWorkYield::updatePromises(core::TimePoint now)
{
    std::erase_if(m_pendingStops, [this](const PendingStop &stop) {
        return !isPending(stop);
    });
    std::map<std::string, Resources> rooms;
    for (const Promise &promise : m_promises) {
        rooms.try_emplace(promise.worker);
    }
    std::erase_if(m_promises, [this, now](Promise &promise) {
        std::erase_if(promise.stops, [this](const PendingStop &stop) {
            return !isPending(stop);
        });
        if (promise.stops.empty() && !promise.freed) {
            promise.freed = true;
            promise.until = std::min(promise.until, now + internal::placementDelay);
        }
        const TaskReference waiter = m_with.state.findTask(promise.waiter);
        const bool waits = waiter.task != nullptr && !isFinal(waiter.entry->state) && waiter.task->phase == TaskPhase::Waiting && !waiter.task->record.done;
        return !waits || now >= promise.until;
    });
    for (const Promise &promise : m_promises) {
        Resources room = promise.room;
        for (const PendingStop &stop : promise.stops) {
            const Step *step = m_with.state.findStep(stop.name);
            room = step == nullptr ? room : room - StateTable::demandOf(*step);
        }
        Resources &total = rooms[promise.worker];
        total = total + internal::atLeastZero(room);
    }
    for (const std::pair<const std::string, Resources> &room : rooms) {
        Worker *worker = m_with.state.findWorker(room.first);
        if (worker != nullptr) {
            worker->promised = room.second;
        }
    }
}

std::set<std::string> LateWorkYield::contestedPools() const
{
    std::set<std::string> pools;
    for (const std::pair<const std::string, PoolLoad> &load : m_with.loads.loads()) {
        if (load.second.waitingCpu > 0 || load.second.unplacedTasks > 0) {
            pools.insert(load.first);
        }
    }
    return pools;
}

LateWorkYield::Search LateWorkYield::beginSearch(const std::set<std::string> &pools, core::TimePoint now, std::int64_t wallMs)
{
    Search search;
    search.now = now;
    search.wallMs = wallMs;
    std::map<std::string, Resources> reserved;
    std::map<std::string, std::vector<StepName>> reservedFor;
    for (const Promise &promise : m_promises) {
        Resources &room = reserved[promise.worker];
        room = room + promise.room;
        reservedFor[promise.worker].push_back(StepName{promise.waiter.job, promise.waiter.occurrence, promise.waiter.step});
        search.promised.insert(promise.waiter);
        const JobEntry *entry = m_with.state.findJob(promise.waiter.job);
        if (entry != nullptr) {
            Resources &use = search.teamUse[entry->job.team];
            use = use + entry->job.steps[promise.waiter.step].each;
        }
    }
    for (std::pair<const std::string, Worker> &item : m_with.state.workers()) {
        Worker &worker = item.second;
        if (!worker.isSchedulable() || !worker.reported || worker.clockMs == 0 || !pools.contains(worker.entry.pool)) {
            continue;
        }
        Host host;
        host.worker = &worker;
        host.free = worker.freeRoom() - reserved[item.first];
        host.coming = host.free;
        host.reservedFor = reservedFor[item.first];
        for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
            const TaskReference reference = m_with.state.findTask(run.first);
            if (reference.task != nullptr && reference.task->phase == TaskPhase::Stopping) {
                host.coming = host.coming + StateTable::demandOf(*reference.step);
            }
        }
        search.hosts[worker.entry.pool].push_back(std::move(host));
    }
    return search;
}

void LateWorkYield::serve(const Candidate &candidate, std::int64_t priority, Search &search)
{
    const TaskList &tasks = candidate.tasks();
    std::size_t &examined = search.examinedTasks[candidate.entry->job.pool];
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (!tasks[index].mayStart(search.now) || search.promised.contains(candidate.taskName(index))) {
            continue;
        }
        Resources &use = search.teamUse[candidate.entry->job.team];
        const Resources wanted = use + candidate.definition().each;
        // A task that waits for its team's limit gains nothing by room.
        if (++examined > internal::maxTasksPerSearch || !m_with.state.isWithinTeamLimit(candidate.entry->job.team, wanted)
            || !serveTask(Waiter{&candidate, index, priority}, search)) {
            return;
        }
        use = wanted;
    }
}

bool LateWorkYield::canTake(const Host &host, const Candidate &candidate, core::TimePoint now) const
{
    const Step &step = candidate.definition();
    if (!m_with.chooser.isSuitable(*host.worker, candidate, now)) {
        return false;
    }
    const std::int64_t reserved = std::count(host.reservedFor.begin(), host.reservedFor.end(), candidate.stepName());
    return step.maxPerWorker == 0 || StateTable::countOnWorker(*host.worker, candidate.taskName(0)) + reserved < step.maxPerWorker;
}

bool LateWorkYield::serveTask(const Waiter &waiter, Search &search)
{
    const Candidate &candidate = *waiter.candidate;
    const Resources demand = StateTable::demandOf(candidate.definition());
    std::vector<Host> &hosts = search.hosts[candidate.entry->job.pool];
    for (Resources Host::*room : {&Host::free, &Host::coming}) {
        const auto host = std::find_if(hosts.begin(), hosts.end(), [&](const Host &other) {
            return fits(demand, other.*room) && canTake(other, candidate, search.now);
        });
        if (host != hosts.end()) {
            host->free = host->free - demand;
            host->coming = host->coming - demand;
            host->reservedFor.push_back(candidate.stepName());
            return true;
        }
    }
    std::optional<Plan> plan = makePlan(waiter, false, search);
    if (!plan.has_value() && !candidate.definition().continuous) {
        plan = makePlan(waiter, true, search);
    }
    if (!plan.has_value() || exceedsBound(candidate.entry->job.pool, plan->victims.size())) {
        return false;
    }
    execute(*plan, waiter, search);
    return true;
}

std::optional<LateWorkYield::Plan> LateWorkYield::makePlan(const Waiter &waiter, bool withoutProgress, Search &search)
{
    const Candidate &candidate = *waiter.candidate;
    std::optional<Plan> best;
    for (Host &host : search.hosts[candidate.entry->job.pool]) {
        if (!canTake(host, candidate, search.now)) {
            continue;
        }
        examine(host, search.now, search.wallMs);
        std::optional<Plan> plan = planOnHost(host, waiter, withoutProgress);
        if (plan.has_value() && (!best.has_value() || std::tuple{plan->victims.size(), plan->cost} < std::tuple{best->victims.size(), best->cost})) {
            best = std::move(plan);
        }
    }
    const Step &step = candidate.definition();
    const double gain = static_cast<double>(step.each.cpu * step.estimateMs);
    return best.has_value() && withoutProgress && gain <= best->cost ? std::nullopt : best;
}

std::optional<LateWorkYield::Plan> LateWorkYield::planOnHost(Host &host, const Waiter &waiter, bool withoutProgress) const
{
    const Resources demand = StateTable::demandOf(waiter.candidate->definition());
    std::vector<Victim *> eligible;
    for (Victim &victim : host.victims) {
        // A task that can wait for the end of a run gets in time without its stop.
        const bool worthwhile = victim.savesProgress || (withoutProgress && victim.remainingMs > waiter.candidate->slackMs);
        if (worthwhile && !victim.taken && victim.priority >= waiter.priority && victim.entry != waiter.candidate->entry) {
            eligible.push_back(&victim);
        }
    }
    const Resources missing = demand - host.coming;
    std::sort(eligible.begin(), eligible.end(), [&missing](const Victim *left, const Victim *right) {
        return std::tuple{-internal::usefulShare(missing, left->demand), left->cost, left->name}
        < std::tuple{-internal::usefulShare(missing, right->demand), right->cost, right->name};
    });
    Plan plan;
    plan.host = &host;
    Resources room = host.coming;
    for (auto next = eligible.begin(); next != eligible.end() && !fits(demand, room); ++next) {
        plan.victims.push_back(*next);
        room = room + (*next)->demand;
    }
    if (!fits(demand, room)) {
        return std::nullopt;
    }
    // Runs that free little of what is missing may be dispensable, after the others together free enough.
    std::reverse(plan.victims.begin(), plan.victims.end());
    std::erase_if(plan.victims, [&demand, &room](const Victim *victim) {
        const bool dispensable = fits(demand, room - victim->demand);
        room = dispensable ? room - victim->demand : room;
        return dispensable;
    });
    if (plan.victims.size() == 1) {
        for (Victim *victim : eligible) {
            const bool suffices = fits(demand, host.coming + victim->demand);
            plan.victims[0] = suffices && victim->cost < plan.victims[0]->cost ? victim : plan.victims[0];
        }
    }
    for (const Victim *victim : plan.victims) {
        plan.cost += victim->cost;
    }
    return plan;
}

void LateWorkYield::examine(Host &host, core::TimePoint now, std::int64_t wallMs)
{
    if (host.examined) {
        return;
    }
    host.examined = true;
    for (const std::pair<const TaskName, std::int64_t> &run : host.worker->runs) {
        std::optional<Victim> victim = makeVictim(run.first, now, wallMs);
        // A run that is about to end frees its room as soon as a stop would.
        if (victim.has_value() && victim->remainingMs > internal::longestStopMs()) {
            host.victims.push_back(*std::move(victim));
        }
    }
}

std::optional<LateWorkYield::Victim> LateWorkYield::makeVictim(const TaskName &name, core::TimePoint now, std::int64_t wallMs)
{
    const TaskReference reference = m_with.state.findTask(name);
    if (reference.task == nullptr || reference.task->phase != TaskPhase::Running || isFinal(reference.entry->state)) {
        return std::nullopt;
    }
    JobEntry &entry = *reference.entry;
    const Step &step = *reference.step;
    const bool movable = !step.continuous && !step.isServing() && !step.bestEffort && !step.gang;
    if (!movable || !internal::mayYield(entry, *reference.task, now)) {
        return std::nullopt;
    }
    const double slackMs = m_with.estimates.runningSlackMs(entry, entry.occurrences.at(name.occurrence), wallMs, now);
    if (slackMs >= 0 && !entry.beyondRate) {
        return std::nullopt;
    }
    const QueuePolicy *queue = m_with.state.findQueue(entry.job.queue);
    Victim victim;
    victim.name = name;
    victim.entry = &entry;
    victim.task = reference.task;
    victim.demand = StateTable::demandOf(step);
    victim.priority = queue == nullptr ? 0 : queue->priority;
    victim.savesProgress = step.savesProgress;
    victim.slackMs = slackMs;
    const double estimateMs = static_cast<double>(step.estimateMs);
    const double doneMs = estimateMs * static_cast<double>(reference.task->percent) / 100.0;
    victim.remainingMs = estimateMs - doneMs;
    // After a change of owner the time since the start is not known, but the progress is.
    const double workedMs = std::max(doneMs, static_cast<double>(core::milliseconds(now - reference.task->startedAt)));
    const double lostMs = step.savesProgress ? internal::longestStopMs() + internal::restartMs : workedMs;
    victim.cost = static_cast<double>(step.each.cpu) * lostMs;
    return victim;
}

bool LateWorkYield::exceedsBound(const std::string &pool, std::size_t stops) const
{
    const auto load = m_with.loads.loads().find(pool);
    const std::size_t workers = load == m_with.loads.loads().end() ? 0 : static_cast<std::size_t>(load->second.workers);
    const std::int64_t inFlight = std::count_if(m_pendingStops.begin(), m_pendingStops.end(), [&pool](const PendingStop &stop) {
        return stop.pool == pool;
    });
    return static_cast<std::size_t>(inFlight) + stops > std::max(internal::minStopsInFlight, workers / 2);
}

void LateWorkYield::execute(const Plan &plan, const Waiter &waiter, Search &search)
{
    Host &host = *plan.host;
    const Candidate &candidate = *waiter.candidate;
    const Resources demand = StateTable::demandOf(candidate.definition());
    const TaskName name = candidate.taskName(waiter.index);
    const std::string beneficiary = absl::StrCat("waiting=", toText(name), " waiting_slack_ms=", std::llround(candidate.slackMs));
    Promise promise{name, host.worker->entry.id, demand, {}, search.now + longestStop + internal::placementDelay, false};
    for (Victim *victim : plan.victims) {
        promise.stops.push_back(stop(*victim, *host.worker, beneficiary, search.now));
        host.coming = host.coming + victim->demand;
    }
    host.free = host.free - demand;
    host.coming = host.coming - demand;
    host.reservedFor.push_back(candidate.stepName());
    search.promised.insert(name);
    m_promises.push_back(std::move(promise));
}

LateWorkYield::PendingStop LateWorkYield::stop(Victim &victim, const Worker &worker, const std::string &beneficiary, core::TimePoint now)
{
    JobEntry &entry = *victim.entry;
    if (entry.yields == 0 || now - entry.yieldedAt >= longestStop) {
        ++entry.yields;
        entry.yieldedAt = now;
    }
    victim.taken = true;
    m_with.output.logDecision("run_yielded",
                              toText(victim.name),
                              worker.entry.id,
                              absl::StrCat("run=",
                                           victim.task->run,
                                           " pool=",
                                           worker.entry.pool,
                                           " slack_ms=",
                                           std::llround(victim.slackMs),
                                           " beyond_rate=",
                                           entry.beyondRate ? 1 : 0,
                                           " saves_progress=",
                                           victim.savesProgress ? 1 : 0,
                                           " cost_cpu_ms=",
                                           std::llround(victim.cost),
                                           " yields=",
                                           entry.yields,
                                           " ",
                                           beneficiary));
    m_with.stopper.stop(victim.name, *victim.task, now);
    PendingStop pending{worker.entry.pool, worker.entry.id, victim.name, victim.task->run};
    m_pendingStops.push_back(pending);
    return pending;
}

void LateWorkYield::yieldWorker(const std::string &id, core::TimePoint now)
{
    Worker *worker = m_with.state.findWorker(id);
    if (!m_enabled || worker == nullptr || worker->unresponsive) {
        return;
    }
    const std::int64_t wallMs = m_wallMs + core::milliseconds(now - m_advancedAt);
    std::vector<Victim> victims;
    for (const std::pair<const TaskName, std::int64_t> &run : worker->runs) {
        const TaskReference reference = m_with.state.findTask(run.first);
        if (reference.task != nullptr && reference.task->phase == TaskPhase::Stopping) {
            continue;
        }
        std::optional<Victim> victim = makeVictim(run.first, now, wallMs);
        if (!victim.has_value() || !victim->savesProgress) {
            return;
        }
        if (victim->remainingMs > internal::longestStopMs()) {
            victims.push_back(*std::move(victim));
        }
    }
    if (exceedsBound(worker->entry.pool, victims.size())) {
        return;
    }
    for (Victim &victim : victims) {
        (void)stop(victim, *worker, "waiting=drain", now);
    }
}

} // namespace oleanderwick::jobs

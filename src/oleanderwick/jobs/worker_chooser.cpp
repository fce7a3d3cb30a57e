#include "worker_chooser.hpp"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

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
/** Costs of the tasks of a continuous step that already run on the worker or on its rack and would be lost with it, if all of them do. */
constexpr double sharedWorkerCost = 0.75;
constexpr double sharedRackCost = 0.2;
/** Cost of a worker that can no longer take a task. */
constexpr double excluded = std::numeric_limits<double>::max();

bool isAnyStep(const Step & /*step*/)
{
    return true;
}

bool hasAffinity(const Step &step)
{
    return !step.affinityRack.empty();
}

bool wantsSameRack(const Step &step)
{
    return step.sameRack;
}

bool isContinuous(const Step &step)
{
    return step.continuous;
}

/** Checks whether the tasks of a step go on without those that are lost; a gang ends with its first loss, wherever its tasks are. */
bool survivesLosses(const Step &step)
{
    return step.continuous && !step.gang;
}

bool mayInterfere(const Step &step)
{
    return step.bestEffort || step.isServing();
}

} // namespace internal

const std::array<WorkerChooser::CostTerm, WorkerChooser::termCount> WorkerChooser::costTerms{{
    {internal::isAnyStep, &WorkerChooser::addUsage},
    {internal::hasAffinity, &WorkerChooser::addOtherRack},
    {internal::wantsSameRack, &WorkerChooser::addSplitRacks},
    {internal::isContinuous, &WorkerChooser::addMaintenance},
    {internal::isContinuous, &WorkerChooser::addSpread},
    {internal::survivesLosses, &WorkerChooser::addSharedLoss},
    {internal::mayInterfere, &WorkerChooser::addInterference},
    {internal::isAnyStep, &WorkerChooser::addFailures},
}};

namespace internal
{

/**
 * Time since its last failure for which a task waits for room on a worker that meets a condition. The task is lost if it fails too
 * often, so that the wait for another worker is long; it is bounded since the other workers may be full of continuous tasks.
 */
constexpr std::array<std::pair<WorkerChooser::RetryCondition, core::Duration>, 2> retryWaits{{
    {WorkerChooser::RetryCondition::Proven, std::chrono::seconds{2}},
    {WorkerChooser::RetryCondition::Other, std::chrono::seconds{10}},
}};

/** Time for which a task that needs a trial waits for an empty worker; in a full pool it then takes the one with the fewest tasks. */
constexpr core::Duration emptyWorkerWait = std::chrono::seconds{2};

} // namespace internal

WorkerChooser::WorkerChooser(const StateTable &state, const TicketTable &tickets, const WorkerHealth &health, WorkerIndex &index)
    : m_state{state}
    , m_tickets{tickets}
    , m_health{health}
    , m_index{index}
    , m_spreads{state}
{
}

void WorkerChooser::begin(core::TimePoint now)
{
    m_spreads.begin(now);
}

Worker *WorkerChooser::choose(const Candidate &candidate, Choices &choices, core::TimePoint now)
{
    const Step &step = candidate.definition();
    if (m_index.isUnplaceable(candidate.entry->job.pool, StateTable::demandOf(step))) {
        return nullptr;
    }
    if (!choices.m_listed || step.sameRack) {
        // With `sameRack`, the cost of each worker depends on the workers chosen before.
        list(candidate, choices, now);
    } else if (choices.m_last < choices.m_workers.size()) {
        // Of all workers, only the last one chosen has changed.
        Choice &last = choices.m_workers[choices.m_last];
        const bool isOpen = last.worker->isOpenTo(candidate.entry->job.id, choices.m_forSuspect, now);
        last.cost = isOpen && canPlace(*last.worker, candidate, now) ? costOf(*last.worker, candidate, choices) : internal::excluded;
    }
    const auto best = std::min_element(choices.m_workers.begin(), choices.m_workers.end(), [](const Choice &left, const Choice &right) {
        return left.cost < right.cost;
    });
    if (best == choices.m_workers.end() || best->cost == internal::excluded) {
        return nullptr;
    }
    choices.m_last = static_cast<std::size_t>(best - choices.m_workers.begin());
    return best->worker;
}

void WorkerChooser::list(const Candidate &candidate, Choices &choices, core::TimePoint now)
{
    const Step &step = candidate.definition();
    if (!choices.m_listed) {
        choices.m_listed = true;
        std::size_t count = 0;
        for (const CostTerm &term : costTerms) {
            if (term.appliesTo(step)) {
                choices.m_terms[count++] = term.add;
            }
        }
    }
    const bool isKeptOff = examineWorkers(candidate, choices, now);
    if (isKeptOff && choices.m_workers.empty() && m_spreads.wait(candidate, now)) {
        (void)examineWorkers(candidate, choices, now);
    }
}

bool WorkerChooser::examineWorkers(const Candidate &candidate, Choices &choices, core::TimePoint now)
{
    const std::string &pool = candidate.entry->job.pool;
    const Resources demand = StateTable::demandOf(candidate.definition());
    bool fitsSomewhere = false;
    bool isKeptOff = false;
    choices.m_workers.clear();
    for (Worker *worker : m_index.workersOf(pool)) {
        if (!fits(demand, worker->freeRoom())) {
            continue;
        }
        fitsSomewhere = true;
        const bool isOpen = worker->isOpenTo(candidate.entry->job.id, choices.m_forSuspect, now);
        if (isOpen && canPlace(*worker, candidate, now)) {
            choices.m_workers.push_back(Choice{worker, costOf(*worker, candidate, choices)});
        } else if (isOpen && unsuitabilityOf(*worker, candidate, now) == WaitReason::Spread) {
            isKeptOff = true;
        }
    }
    if (!fitsSomewhere) {
        m_index.markUnplaceable(pool, demand);
    }
    return isKeptOff;
}

Worker *WorkerChooser::chooseForRetry(const Candidate &candidate, const Task &task, core::TimePoint now)
{
    if (m_index.isUnplaceable(candidate.entry->job.pool, StateTable::demandOf(candidate.definition()))) {
        return nullptr;
    }
    Choices choices;
    list(candidate, choices, now);
    const bool continuous = candidate.definition().continuous;
    const RetryCondition condition = continuous ? RetryCondition::Any : retryCondition(candidate, task, now);
    const auto rank = [continuous, &task](const Choice &choice) {
        // A continuous task loses nothing by a failure but time, so that it avoids workers without waiting for others.
        return std::pair{continuous && task.failedOn.contains(choice.worker->entry.id), choice.cost};
    };
    const Choice *best = nullptr;
    for (const Choice &choice : choices.m_workers) {
        if (meets(condition, *choice.worker, task) && (best == nullptr || rank(choice) < rank(*best))) {
            best = &choice;
        }
    }
    return best == nullptr ? nullptr : best->worker;
}

Worker *WorkerChooser::chooseForSuspect(const Candidate &candidate, std::size_t index, core::TimePoint now)
{
    if (m_index.isUnplaceable(candidate.entry->job.pool, StateTable::demandOf(candidate.definition()))) {
        return nullptr;
    }
    const TaskName name = candidate.taskName(index);
    const Task &task = candidate.tasks()[index];
    Choices choices;
    choices.m_forSuspect = true;
    list(candidate, choices, now);
    const bool waitsForEmpty = task.onTrial && now - task.suspectedAt < internal::emptyWorkerWait;
    // Separate workers for the suspects of a crash tell them apart at the next one, which then costs few other tasks.
    using Rank = std::tuple<bool, std::int64_t, std::size_t, double>;
    const Choice *best = nullptr;
    Rank bestRank;
    for (const Choice &choice : choices.m_workers) {
        const Worker &worker = *choice.worker;
        const bool isReserved = worker.reservedFor.has_value() && now < worker.reservedUntil;
        if (isReserved && worker.reservedFor == name) {
            return now - worker.lastStartAt >= simultaneousStarts ? choice.worker : nullptr;
        }
        if (waitsForEmpty && !worker.runs.empty()) {
            continue;
        }
        const bool hasJustStarted = now - worker.lastStartAt < simultaneousStarts && worker.lastStartJob != name.job;
        const Rank rank{hasJustStarted, countSuspects(worker), worker.runs.size(), choice.cost};
        if (best == nullptr || rank < bestRank) {
            best = &choice;
            bestRank = rank;
        }
    }
    const bool needsReservation = task.needsVerdict() || task.onTrial;
    if (best == nullptr || (needsReservation && !m_index.mayReserve(candidate.entry->job.pool, now))) {
        return nullptr;
    }
    if (std::get<0>(bestRank) && task.needsVerdict()) {
        // Other jobs have just started runs on all workers: one of them is kept free of further starts until these have proved harmless.
        best->worker->reserveFor(name, best->worker->lastStartAt + 2 * simultaneousStarts, true);
        return nullptr;
    }
    return best->worker;
}

std::int64_t WorkerChooser::countSuspects(const Worker &worker) const
{
    return std::count_if(worker.runs.begin(), worker.runs.end(), [this](const std::pair<const TaskName, std::int64_t> &run) {
        const JobEntry *entry = m_state.findJob(run.first.job);
        return entry != nullptr && StateTable::taskOf(*entry, run.first).isSuspect();
    });
}

WorkerChooser::RetryCondition WorkerChooser::retryCondition(const Candidate &candidate, const Task &task, core::TimePoint now) const
{
    const std::vector<Worker *> &workers = m_index.workersOf(candidate.entry->job.pool);
    const core::Duration waited = now - task.failedAt;
    for (const std::pair<RetryCondition, core::Duration> &limit : internal::retryWaits) {
        const bool exists = waited < limit.second && std::any_of(workers.begin(), workers.end(), [&](const Worker *worker) {
                                return meets(limit.first, *worker, task) && !inabilityOf(*worker, candidate, now).has_value();
                            });
        if (exists) {
            return limit.first;
        }
    }
    return RetryCondition::Any;
}

bool WorkerChooser::meets(RetryCondition condition, const Worker &worker, const Task &task)
{
    if (condition == RetryCondition::Any) {
        return true;
    }
    return !task.failedOn.contains(worker.entry.id) && (condition == RetryCondition::Other || WorkerHealth::isProven(worker));
}

std::optional<WaitReason> WorkerChooser::inabilityOf(const Worker &worker, const Candidate &candidate, core::TimePoint now) const
{
    const Step &step = candidate.definition();
    const std::vector<std::string> &labels = worker.entry.labels;
    if (!step.requiredLabel.empty() && std::find(labels.begin(), labels.end(), step.requiredLabel) == labels.end()) {
        return WaitReason::Label;
    }
    if (!m_health.mayStart(worker, now)) {
        return WaitReason::Quarantined;
    }
    return fits(StateTable::demandOf(step), worker.entry.capacity) ? std::nullopt : std::optional{WaitReason::TooSmall};
}

bool WorkerChooser::canPlace(const Worker &worker, const Candidate &candidate, core::TimePoint now) const
{
    const Resources available = worker.freeRoom() - (candidate.isLate() ? worker.promised : Resources{});
    return fits(StateTable::demandOf(candidate.definition()), available) && isSuitable(worker, candidate, now);
}

bool WorkerChooser::isSuitable(const Worker &worker, const Candidate &candidate, core::TimePoint now) const
{
    return !unsuitabilityOf(worker, candidate, now).has_value();
}

std::optional<WaitReason> WorkerChooser::unsuitabilityOf(const Worker &worker, const Candidate &candidate, core::TimePoint now) const
{
    const Step &step = candidate.definition();
    const std::optional<WaitReason> inability = inabilityOf(worker, candidate, now);
    if (inability.has_value()) {
        return inability;
    }
    if (!m_health.mayStartJob(worker, candidate.entry->job.id, now)) {
        return WaitReason::JobFailures;
    }
    if (step.maxPerWorker > 0 && StateTable::countOnWorker(worker, candidate.taskName(0)) >= step.maxPerWorker) {
        return WaitReason::WorkerLimit;
    }
    if (m_spreads.keepsOff(worker, candidate, now)) {
        return WaitReason::Spread;
    }
    const bool hasTicket = !candidate.needsTicket || m_tickets.find(candidate.stepName(), worker.entry.id, now) != nullptr;
    return hasTicket ? std::nullopt : std::optional{WaitReason::Ticket};
}

std::optional<WaitReason> WorkerChooser::obstacleOf(const Worker &worker, const Candidate &candidate, bool forSuspect, core::TimePoint now) const
{
    const std::optional<WaitReason> unsuitability = unsuitabilityOf(worker, candidate, now);
    if (unsuitability.has_value()) {
        return unsuitability;
    }
    if (!worker.isOpenTo(candidate.entry->job.id, forSuspect, now)) {
        return WaitReason::Reserved;
    }
    if (canPlace(worker, candidate, now)) {
        return std::nullopt;
    }
    const Resources demand = StateTable::demandOf(candidate.definition());
    if (fits(demand, worker.freeRoom())) {
        return WaitReason::Promised;
    }
    return worker.hasStrayRuns() && fits(demand, worker.entry.capacity - worker.used) ? WaitReason::StrayRuns : WaitReason::NoRoom;
}

double WorkerChooser::costOf(const Worker &worker, const Candidate &candidate, const Choices &choices) const
{
    double cost = 0.0;
    for (const AddCost add : choices.m_terms) {
        if (add == nullptr) {
            break;
        }
        cost = (this->*add)(cost, worker, candidate);
    }
    return cost;
}

double WorkerChooser::addUsage(double cost, const Worker &worker, const Candidate &candidate) const
{
    const double capacity = static_cast<double>(std::max<std::int64_t>(worker.entry.capacity.cpu, 1));
    const double used = static_cast<double>(worker.used.cpu) / capacity;
    // Prefers full workers, so that others stay empty and can be moved; a best-effort task prefers workers with spare CPU time.
    return cost + (candidate.definition().bestEffort ? used : 1.0 - used);
}

double WorkerChooser::addOtherRack(double cost, const Worker &worker, const Candidate &candidate) const
{
    return worker.entry.rack != candidate.definition().affinityRack ? cost + internal::otherRackCost : cost;
}

double WorkerChooser::addSplitRacks(double cost, const Worker &worker, const Candidate &candidate) const
{
    const TaskList &tasks = candidate.tasks();
    const bool split = std::any_of(tasks.begin(), tasks.end(), [this, &worker](const Task &task) {
        const Worker *other = task.isActive() ? m_state.findWorker(task.worker) : nullptr;
        return other != nullptr && other->entry.rack != worker.entry.rack;
    });
    return split ? cost + internal::splitRacksCost : cost;
}

double WorkerChooser::addMaintenance(double cost, const Worker &worker, const Candidate & /*candidate*/) const
{
    return worker.maintenancePending ? cost + internal::maintenanceCost : cost;
}

double WorkerChooser::addSpread(double cost, const Worker &worker, const Candidate & /*candidate*/) const
{
    return m_state.runsContinuous(worker) ? cost : cost + internal::spreadCost;
}

double WorkerChooser::addSharedLoss(double cost, const Worker &worker, const Candidate &candidate) const
{
    const TaskList &tasks = candidate.tasks();
    double onWorker = 0.0;
    double onRack = 0.0;
    for (const Task &task : tasks) {
        const Worker *other = task.isActive() ? m_state.findWorker(task.worker) : nullptr;
        onWorker += other == &worker ? 1.0 : 0.0;
        onRack += other != nullptr && other->entry.rack == worker.entry.rack ? 1.0 : 0.0;
    }
    const double count = static_cast<double>(std::max<std::size_t>(tasks.size(), 1));
    return cost + internal::sharedWorkerCost * onWorker / count + internal::sharedRackCost * onRack / count;
}

double WorkerChooser::addInterference(double cost, const Worker &worker, const Candidate &candidate) const
{
    const Step &step = candidate.definition();
    for (const std::pair<const TaskName, std::int64_t> &run : worker.runs) {
        const Step *other = m_state.findStep(run.first);
        const bool disturbs = other != nullptr && ((step.bestEffort && other->isServing()) || (step.isServing() && other->bestEffort));
        cost += disturbs ? internal::interferenceCost : 0.0;
    }
    return cost;
}

double WorkerChooser::addFailures(double cost, const Worker &worker, const Candidate &candidate) const
{
    // The failures of one job count once for the worker, so that further tasks of that job need a reason of their own to avoid it.
    const std::int64_t failures = std::max(worker.consecutiveFailures, WorkerHealth::failuresOf(worker, candidate.entry->job.id));
    return cost + internal::failureCost * static_cast<double>(failures);
}

} // namespace oleanderwick::jobs

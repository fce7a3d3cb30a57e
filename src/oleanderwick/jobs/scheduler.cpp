#include "scheduler.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "best_effort_pacer.hpp"
#include "candidate_finder.hpp"
#include "candidate_order.hpp"
#include "crash_attribution.hpp"
#include "demand_meter.hpp"
#include "fair_order.hpp"
#include "job_classifier.hpp"
#include "job_estimates.hpp"
#include "job_progress.hpp"
#include "late_work_yield.hpp"
#include "load_meter.hpp"
#include "placement_diagnosis.hpp"
#include "queue_ages.hpp"
#include "rack_wait.hpp"
#include "run_end_acks.hpp"
#include "run_tracker.hpp"
#include "save_queue.hpp"
#include "scheduler_output.hpp"
#include "state_table.hpp"
#include "stray_runs.hpp"
#include "task_evacuation.hpp"
#include "task_opener.hpp"
#include "task_placer.hpp"
#include "task_stopper.hpp"
#include "ticket_table.hpp"
#include "unreported_use.hpp"
#include "wait_watch.hpp"
#include "worker_chooser.hpp"
#include "worker_health.hpp"
#include "worker_index.hpp"
#include "worker_leases.hpp"
#include "worker_monitor.hpp"
#include "worker_polls.hpp"
#include "worker_registry.hpp"
#include "zone_evacuation.hpp"

namespace oleanderwick::jobs
{

std::string_view toText(StartOutcome outcome) noexcept
{
    constexpr std::array<std::string_view, 11> names{
        "started", "no_room", "fenced", "outdated", "too_late", "no_ticket", "unhealthy", "other_incarnation", "invalid", "not_sent", "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

/** State and decisions, each of which uses only those above it. */
struct Scheduler::Components {
    Components(const SchedulerLimits &limits, core::TimePoint termStart)
        : estimates{state, limits.lateBoundFactor}
        , loads{state, estimates, limits.moveTime}
        , classifier{state, limits, output}
        , health{state, output, limits.attributeFailures}
        , leases{state, limits, termStart}
        , opener{{state, saves, output}, limits.maxOpenTasks}
        , crashes{{state, jobs, saves, output}, termStart}
        , racks{state, health, index, limits.remoteFactor}
        , finder{state, leases, estimates, index, limits.teamShares}
        , order{makeOrder(limits)}
        , yields{{state, estimates, loads, finder, chooser, stopper, output}, limits.yieldLateWork}
        , placer{{state, leases, tickets, index, finder, *order, chooser, racks, output}}
    {
    }

    std::unique_ptr<CandidateOrder> makeOrder(const SchedulerLimits &limits)
    {
        if (limits.teamShares) {
            return std::make_unique<FairOrder>(FairOrder::Collaborators{state, loads, estimates, health, index});
        }
        return std::make_unique<SlackOrder>(loads, estimates);
    }

    StateTable state;
    SchedulerOutput output;

    JobEstimates estimates;
    LoadMeter loads;
    JobClassifier classifier;
    DemandMeter demand{state, estimates, loads};
    SaveQueue saves{state};
    RunEndAcks acks{state};
    TicketTable tickets{state};
    TaskStopper stopper{state, output};
    StrayRuns strays{state, stopper, output};
    WorkerHealth health;

    WorkerLeases leases;
    UnreportedUse unreportedUse{state, leases};
    WorkerPolls polls{state, leases};
    TaskOpener opener;
    JobProgress jobs{{state, loads, classifier, saves, tickets, stopper, opener, output}};
    CrashAttribution crashes;
    RunTracker runs{{state, jobs, opener, health, crashes, acks, saves, tickets, stopper, strays, output}};
    WorkerRegistry registry{state, output};
    WorkerMonitor monitor{{state, leases, registry, runs, crashes, acks, output}};
    BestEffortPacer pacer{state, output};
    TaskEvacuation evacuation{state, stopper, output};
    ZoneEvacuation zones{{state, loads, evacuation, output}};

    WorkerIndex index;
    RackWait racks;
    CandidateFinder finder;
    std::unique_ptr<CandidateOrder> order;
    WorkerChooser chooser{state, tickets, health, index};
    LateWorkYield yields;
    TaskPlacer placer;
    PlacementDiagnosis diagnosis{{state, finder, estimates, chooser, racks}};
    QueueAges ages{state, estimates, diagnosis, output};
    WaitWatch waits{state, diagnosis, output};
};

Scheduler::Scheduler(const SchedulerLimits &limits, core::TimePoint now)
    : m_components{std::make_unique<Components>(limits, now)}
{
}

Scheduler::~Scheduler() = default;

void Scheduler::configure(FleetConfig config)
{
    m_components->state.configure(std::move(config));
}

void Scheduler::registerWorker(const WorkerEntry &entry, core::TimePoint now)
{
    m_components->registry.add(entry, now);
}

void Scheduler::unregisterWorker(const std::string &id)
{
    m_components->registry.remove(id);
}

void Scheduler::restoreWorker(const std::string &id, const std::string &pool)
{
    m_components->registry.restore(id, pool);
}

void Scheduler::setPreviousWorkersUnknown()
{
    m_components->leases.setPreviousWorkersUnknown();
}

void Scheduler::addJob(Job job, const std::optional<JobRecord> &record, bool predatesTerm, core::TimePoint now)
{
    if (!record.has_value() && !predatesTerm) {
        m_components->demand.recordArrival(job);
    }
    m_components->jobs.add(std::move(job), record, predatesTerm, now);
}

OpenTaskFigures Scheduler::openTasks() const noexcept
{
    return m_components->opener.figures();
}

void Scheduler::cancelJob(const std::string &id, std::int64_t wallMs, core::TimePoint now)
{
    m_components->jobs.cancel(id, wallMs, now);
}

void Scheduler::handleReport(const std::string &id, const WorkerReport &report, core::TimePoint sentAt, core::TimePoint now, std::int64_t wallMs)
{
    const Worker *worker = m_components->monitor.handleReport(id, report, sentAt, now, wallMs);
    if (worker != nullptr) {
        m_components->pacer.adjust(*worker, now);
    }
}

void Scheduler::handlePollFailure(const std::string &id, bool gone, core::TimePoint now)
{
    m_components->monitor.handlePollFailure(id, gone, now);
}

void Scheduler::handleRunningWorkers(const std::set<std::string> &running, core::TimePoint requestedAt, core::TimePoint now)
{
    m_components->monitor.handleRunningWorkers(running, requestedAt, now);
}

bool Scheduler::awaitsWorkerFate(core::TimePoint now) const noexcept
{
    return m_components->monitor.awaitsWorkerFate(now);
}

void Scheduler::handleStartReply(const StartCommand &command, StartOutcome outcome, std::int64_t clockMs, core::TimePoint now)
{
    m_components->runs.handleStartReply(command, outcome, clockMs, now);
}

void Scheduler::handleStopReply(const StopCommand &command, bool acknowledged, core::TimePoint now)
{
    m_components->runs.handleStopReply(command, acknowledged, now);
}

void Scheduler::handleAdvice(const AdviceRequest &request,
                             const std::optional<std::map<std::string, std::string>> &tickets,
                             core::Duration validFor,
                             core::TimePoint now)
{
    m_components->tickets.handleAdvice(request, tickets, validFor, now);
    if (tickets.has_value()) {
        m_components->state.requestPlacement();
    }
}

void Scheduler::handleSaved(const std::string &job, std::uint64_t version, bool stored)
{
    m_components->saves.handleSaved(job, version, stored);
    m_components->acks.advanceAll();
}

void Scheduler::handleSaved(const std::vector<SaveRequest> &saves, bool stored)
{
    for (const SaveRequest &request : saves) {
        m_components->saves.handleSaved(request.job, request.version, stored);
    }
    m_components->acks.advanceAll();
}

void Scheduler::handleUsedWorkersStored(std::uint64_t version)
{
    m_components->state.handleUsedWorkersStored(version);
}

void Scheduler::setCordoned(const std::string &id, bool cordoned, CordonReason reason)
{
    m_components->registry.setCordoned(id, cordoned, reason);
}

void Scheduler::setMaintenancePending(const std::string &id)
{
    m_components->registry.setMaintenancePending(id);
}

void Scheduler::evacuate(const std::string &id, core::TimePoint now)
{
    m_components->evacuation.evacuate(id, now);
}

void Scheduler::yieldWorker(const std::string &id, core::TimePoint now)
{
    m_components->yields.yieldWorker(id, now);
}

void Scheduler::setClosedZones(std::set<std::string> zones)
{
    m_components->zones.setClosedZones(std::move(zones));
}

void Scheduler::evacuateClosedZones(core::TimePoint now)
{
    m_components->zones.advance(now);
}

void Scheduler::advance(core::TimePoint now, std::int64_t wallMs)
{
    m_components->monitor.advance(now);
    m_components->crashes.advance(now, wallMs);
    m_components->runs.advance(now);
    m_components->classifier.advance(now, wallMs);
    m_components->jobs.advance(now, wallMs);
    m_components->loads.advance(now, wallMs);
    m_components->unreportedUse.update(now);
    m_components->yields.advance(now, wallMs);
    m_components->placer.advance(now, wallMs);
    m_components->ages.advance(now, wallMs);
    m_components->waits.advance(now, wallMs);
}

Commands Scheduler::takeCommands()
{
    return m_components->output.takeCommands();
}

std::vector<Decision> Scheduler::takeDecisions()
{
    return m_components->output.takeDecisions();
}

std::vector<PollCommand> Scheduler::takePolls(core::TimePoint now)
{
    return m_components->polls.take(now);
}

std::vector<SaveRequest> Scheduler::takeSaves(std::size_t maxEntries)
{
    return m_components->saves.take(maxEntries);
}

bool Scheduler::hasUnsaved() const noexcept
{
    return m_components->saves.hasUnsaved();
}

bool Scheduler::hasUnsavedEnd() const noexcept
{
    return m_components->saves.hasUnsavedEnd();
}

const std::map<std::string, Worker> &Scheduler::workers() const noexcept
{
    return std::as_const(m_components->state).workers();
}

const JobEntry *Scheduler::findJob(const std::string &id) const
{
    return m_components->state.findJob(id);
}

double Scheduler::cpuUtilization(const std::string &pool) const
{
    return m_components->loads.cpuUtilization(pool);
}

bool Scheduler::isStandby(const std::string &pool) const
{
    return m_components->state.isStandby(pool);
}

bool Scheduler::isZoneClosed(const std::string &zone) const
{
    return m_components->state.closedZones().contains(zone);
}

std::vector<std::string> Scheduler::standbyPools() const
{
    std::vector<std::string> pools;
    for (const std::pair<const std::string, PoolPolicy> &pool : m_components->state.config().pools) {
        if (pool.second.standby) {
            pools.push_back(pool.first);
        }
    }
    return pools;
}

bool Scheduler::isIdle(const std::string &id, core::TimePoint now) const
{
    return m_components->leases.isIdle(id, now);
}

bool Scheduler::runsContinuous(const Worker &worker) const
{
    return m_components->state.runsContinuous(worker);
}

bool Scheduler::runsBudgeted(const Worker &worker) const
{
    return m_components->state.runsBudgeted(worker);
}

std::int64_t Scheduler::evacuationTurns(const std::string &worker) const
{
    const Worker *known = std::as_const(m_components->state).findWorker(worker);
    return known == nullptr ? 0 : m_components->state.evacuationTurns(*known);
}

const std::map<std::string, PoolLoad> &Scheduler::poolLoads() const noexcept
{
    return m_components->loads.loads();
}

TeamFigures Scheduler::measureTeams(std::int64_t wallMs) const
{
    TeamFigures figures;
    const StateTable &state = m_components->state;
    for (const std::pair<const std::string, JobEntry> &item : state.jobs()) {
        const JobEntry &entry = item.second;
        if (isFinal(entry.state)) {
            continue;
        }
        TeamUse &use = figures.uses[{entry.job.pool, entry.job.team}];
        use.waitingJobs += entry.activeTasks == 0 ? 1 : 0;
        use.beyondRateJobs += entry.beyondRate ? 1 : 0;
        const bool late = std::any_of(entry.occurrences.begin(), entry.occurrences.end(), [&](const std::pair<const std::int64_t, Occurrence> &occurrence) {
            return occurrence.second.remainingSteps > 0 && m_components->estimates.slackMs(entry, occurrence.second, wallMs) < 0;
        });
        figures.lateJobs[entry.job.queue] += late ? 1 : 0;
    }
    for (const std::pair<const std::string, PoolPolicy> &pool : state.config().pools) {
        for (const std::pair<const std::string, double> &share : state.shares().shares(pool.first)) {
            TeamUse &use = figures.uses[{pool.first, share.first}];
            use.share = share.second;
            use.entitledShare = state.shares().entitledShare(pool.first, share.first);
        }
    }
    return figures;
}

const std::map<std::string, std::int64_t> &Scheduler::queueAgesMs() const noexcept
{
    return m_components->ages.agesMs();
}

WaitCounts Scheduler::takeWaitCounts() noexcept
{
    return m_components->waits.takeCounts();
}

admission::FleetDemand Scheduler::fleetDemand(double lateBoundFactor, std::int64_t wallMs) const
{
    return m_components->demand.measure(lateBoundFactor, wallMs);
}

std::uint64_t Scheduler::usedWorkersVersion() const noexcept
{
    return m_components->state.usedWorkersVersion();
}

const std::map<std::string, std::string> &Scheduler::usedWorkers() const noexcept
{
    return m_components->state.usedWorkers();
}

} // namespace oleanderwick::jobs

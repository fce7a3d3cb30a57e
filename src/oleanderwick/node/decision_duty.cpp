#include "decision_duty.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace oleanderwick::node
{

namespace internal
{

/** Period of `refreshView` and `publish`, and of `updatePermits` while no request waits. */
constexpr core::Duration rosterRefreshPeriod = std::chrono::milliseconds{50};
constexpr core::Duration planPeriod = std::chrono::milliseconds{250};
constexpr core::Duration planPeriodWhileWaiting = std::chrono::milliseconds{50};
constexpr core::Duration stepPeriodWhileWaiting = std::chrono::milliseconds{5};
/** Time for which a node may serve with an older configuration than a peer has. */
constexpr core::Duration maxConfigLag = std::chrono::seconds{4};
constexpr std::size_t maxEventsPerBatch = 64;

} // namespace internal

DecisionDuty::DecisionDuty(const core::NodeId &self, const std::string &zone, std::size_t fleetSize, std::uint64_t seed, DecisionPorts ports)
    : m_self{self}
    , m_ports{std::move(ports)}
    , m_permitHolder{self, fleetSize}
    , m_dispatcher{zone, seed, m_permitHolder}
    , m_roster{self, fleetSize, membership::Timeouts{}}
    , m_thread{[this] {
        run();
    }}
{
}

void DecisionDuty::run()
{
    for (;;) {
        DecisionEvent event = m_ports.events.pop();
        // Actions of events that have queued up meanwhile are passed to the I/O thread in one batch.
        std::size_t batchSize = 0;
        do {
            if (std::holds_alternative<Quit>(event)) {
                return;
            }
            decide(event);
        } while (++batchSize < internal::maxEventsPerBatch && m_ports.events.tryPop(event));
        flush();
    }
}

void DecisionDuty::decide(const DecisionEvent &event)
{
    // Read after the wait, so that a pause of the process is taken into account before anything is decided.
    m_now = core::BootClock::now();
    updateFreshness();
    std::visit(
        [this](const auto &message) {
            handle(message);
        },
        event);
    runPeriodicWork();
}

void DecisionDuty::updateFreshness()
{
    core::TimePoint until = m_roster.freshUntil();
    if (m_configBehindSince) {
        until = std::min(until, *m_configBehindSince + internal::maxConfigLag);
    }
    m_dispatcher.setFreshUntil(until);
}

void DecisionDuty::handle(const Quit &)
{
}

void DecisionDuty::handle(const Tick &)
{
    queueActions(m_dispatcher.tick(m_now));
}

void DecisionDuty::handle(const Leave &)
{
    m_leaving = true;
    m_dispatcher.stop();
    m_permitHolder.releaseUnused();
}

void DecisionDuty::handle(const dispatch::Arrival &arrival)
{
    queueActions(m_dispatcher.handleArrival(arrival, m_now));
}

void DecisionDuty::handle(const dispatch::AttemptResult &result)
{
    queueActions(m_dispatcher.handleAttemptResult(result, m_now));
}

void DecisionDuty::handle(const ConfigUpdated &update)
{
    if (update.snapshot->version() <= m_version) {
        return;
    }
    m_version = update.snapshot->version();
    for (const std::pair<const core::QueueId, config::Queue> &queue : update.snapshot->document().queues) {
        m_roster.raiseMaxRequestTime(std::chrono::milliseconds{queue.second.timeoutMs});
    }
    queueActions(m_dispatcher.configure(update.snapshot, m_now));
    logZoneChanges(update.snapshot->document().closedZones);
    m_lastRosterRefresh = core::TimePoint{};
    m_lastStep = core::TimePoint{};
    (void)m_ports.telemetry.tryPush(telemetry::Event{"config_in_force"}.with("version", static_cast<std::int64_t>(m_version)));
}

void DecisionDuty::logZoneChanges(const std::set<std::string> &closedZones)
{
    const auto log = [this, &closedZones](const char *event, const std::string &zone) {
        (void)m_ports.telemetry.tryPush(telemetry::Event{event}
                                            .with("zone", zone)
                                            .with("version", static_cast<std::int64_t>(m_version))
                                            .with("closed", static_cast<std::int64_t>(closedZones.size())));
    };
    for (const std::string &zone : closedZones) {
        if (!m_closedZones.contains(zone)) {
            log("zone_closed", zone);
        }
    }
    for (const std::string &zone : m_closedZones) {
        if (!closedZones.contains(zone)) {
            log("zone_opened", zone);
        }
    }
    m_closedZones = closedZones;
}

void DecisionDuty::updatePeerDemand(const membership::Digest &digest)
{
    m_permitHolder.setPeer(digest.node, digest.demands, digest.permitRequests, digest.ledgerSequences);
}

void DecisionDuty::handle(const PeerDigestReceived &received)
{
    if (m_roster.handleDigest(received.digest, m_now)) {
        updatePeerDemand(received.digest);
    }
}

void DecisionDuty::handle(const PeerReplyReceived &reply)
{
    if (reply.digest.node == m_self) {
        return;
    }
    m_roster.handleDigestReply(reply.digest, reply.sentAt, m_now);
    updatePeerDemand(reply.digest);
}

void DecisionDuty::handle(const LedgerReadDone &done)
{
    m_permitHolder.onRead(done.shard, done.stored);
    queueActions(m_dispatcher.tick(m_now));
}

void DecisionDuty::handle(const LedgerWriteDone &done)
{
    m_permitHolder.onWritten(done.shard, done.outcome, done.current);
    queueActions(m_dispatcher.tick(m_now));
}

void DecisionDuty::handle(const StoreContacted &contact)
{
    m_roster.recordStoreContact(contact.sentAt);
}

void DecisionDuty::handle(const RegisteredNodes &registered)
{
    m_roster.handleRegistrations(registered.nodes, m_permitHolder.holders(), m_now);
}

void DecisionDuty::handle(const OutOfService &out)
{
    queueActions(m_dispatcher.setOutOfService(out.instances, m_now));
    m_lastPlan = core::TimePoint{};
}

void DecisionDuty::queueActions(dispatch::Actions actions)
{
    m_actions.insert(m_actions.end(), std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
}

void DecisionDuty::flush()
{
    if (!m_actions.empty()) {
        m_ports.execute(std::exchange(m_actions, {}));
    }
    for (dispatch::Completion &completion : m_dispatcher.takeCompletions()) {
        // Completions are dropped while the telemetry ring is full, so that decisions never wait for it.
        (void)m_ports.telemetry.tryPush(std::move(completion));
    }
}

void DecisionDuty::runPeriodicWork()
{
    if (m_now - m_lastRosterRefresh >= internal::rosterRefreshPeriod) {
        m_lastRosterRefresh = m_now;
        refreshView();
        publish();
    }
    const core::Duration currentStepPeriod = m_dispatcher.hasWaitingRequests() ? internal::stepPeriodWhileWaiting : internal::rosterRefreshPeriod;
    if (m_now - m_lastStep >= currentStepPeriod) {
        m_lastStep = m_now;
        updatePermits();
    }
    if (m_leaving && !m_leftReported && m_dispatcher.size() == 0 && !m_permitHolder.holders().contains(m_self)) {
        m_leftReported = true;
        m_ports.onLeft();
    }
}

void DecisionDuty::refreshView()
{
    const std::vector<allotment::TeamDemand> remoteDemands = m_roster.remoteDemands(m_now);
    m_dispatcher.setRemoteDemands(remoteDemands);
    publishDemands(remoteDemands);
    m_permitHolder.setDeparted(m_roster.departed(m_now));
    std::set<core::NodeId> alive;
    for (core::NodeId &node : m_roster.alive(m_now)) {
        alive.insert(std::move(node));
    }
    for (const core::NodeId &node : m_previousAlive) {
        if (!alive.contains(node)) {
            m_permitHolder.removePeer(node);
            (void)m_ports.telemetry.tryPush(telemetry::Event{"peer_lost"}.with("peer", node.text()));
        }
    }
    for (const core::NodeId &node : alive) {
        if (node != m_self && !m_previousAlive.contains(node)) {
            (void)m_ports.telemetry.tryPush(telemetry::Event{"peer_heard"}.with("peer", node.text()));
        }
    }
    m_previousAlive = std::move(alive);
    if (m_roster.largestVersion(m_now) <= m_version) {
        m_configBehindSince.reset();
    } else if (!m_configBehindSince) {
        m_configBehindSince = m_now;
    }
}

void DecisionDuty::updatePermits()
{
    m_dispatcher.updateDemand(m_now);
    const core::Duration currentPlanPeriod = m_dispatcher.hasWaitingRequests() ? internal::planPeriodWhileWaiting : internal::planPeriod;
    if (m_now - m_lastPlan >= currentPlanPeriod) {
        m_lastPlan = m_now;
        m_permitHolder.plan();
    }
    const allotment::LedgerCalls ledgerCalls = m_permitHolder.step();
    for (const allotment::LedgerRead &read : ledgerCalls.reads) {
        if (!m_ports.store.tryPush(read)) {
            m_permitHolder.onRead(read.shard, std::nullopt);
        }
    }
    for (const allotment::LedgerWrite &write : ledgerCalls.writes) {
        if (!m_ports.store.tryPush(write)) {
            m_permitHolder.onWritten(write.shard, allotment::WriteOutcome::NotSent, std::nullopt);
        }
    }
}

void DecisionDuty::publishDemands(const std::vector<allotment::TeamDemand> &remoteDemands)
{
    std::map<core::PoolId, std::uint32_t> pools;
    for (const allotment::TeamDemand &demand : remoteDemands) {
        pools[demand.pool] += demand.running + demand.waiting;
    }
    for (const allotment::TeamDemand &demand : m_dispatcher.demands(m_now)) {
        pools[demand.pool] += demand.running + demand.waiting;
    }
    m_ports.demands.write(std::move(pools));
}

void DecisionDuty::publish()
{
    membership::Digest digest;
    digest.node = m_self;
    digest.sequence = ++m_sequence;
    digest.version = m_version;
    digest.leaving = m_leaving;
    digest.storeAgeMs = core::milliseconds(m_roster.storeAge(m_now));
    digest.alive = m_roster.alive(m_now);
    digest.demands = m_dispatcher.demands(m_now);
    digest.permitRequests = m_permitHolder.permitRequests();
    digest.ledgerSequences = m_permitHolder.sequences();
    m_ports.digest.write(std::move(digest));
}

} // namespace oleanderwick::node

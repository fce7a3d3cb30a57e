#include "decision_duty.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace oleanderwick::node
{

namespace internal
{

constexpr core::Duration viewPeriod = std::chrono::milliseconds{50};
constexpr core::Duration planPeriod = std::chrono::milliseconds{250};
constexpr core::Duration urgentPlan = std::chrono::milliseconds{50};
constexpr core::Duration urgentStep = std::chrono::milliseconds{5};
constexpr core::Duration behindFor = std::chrono::seconds{4};
constexpr std::size_t mostAtOnce = 64;

} // namespace internal

DecisionDuty::DecisionDuty(const core::NodeId &self, const std::string &zone, std::size_t fleetSize, std::uint64_t seed, DecisionPorts ports)
    : m_self{self}
    , m_ports{std::move(ports)}
    , m_holder{self, fleetSize}
    , m_dispatcher{zone, seed, m_holder}
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
        // What has gathered meanwhile goes to the I/O in one piece.
        std::size_t taken = 0;
        do {
            if (std::holds_alternative<Quit>(event)) {
                return;
            }
            decide(event);
        } while (++taken < internal::mostAtOnce && m_ports.events.tryPop(event));
        flush();
    }
}

void DecisionDuty::decide(const DecisionEvent &event)
{
    // Read after the wait: a pause of the process must count before anything is decided.
    m_now = core::BootClock::now();
    noteBehind();
    std::visit(
        [this](const auto &message) {
            handle(message);
        },
        event);
    afterEvent();
}

void DecisionDuty::noteBehind()
{
    core::TimePoint until = m_roster.freshUntil();
    if (m_behindSince) {
        until = std::min(until, *m_behindSince + internal::behindFor);
    }
    m_dispatcher.setFreshUntil(until);
}

void DecisionDuty::handle(const Quit &)
{
}

void DecisionDuty::handle(const Tick &)
{
    act(m_dispatcher.tick(m_now));
}

void DecisionDuty::handle(const Leave &)
{
    m_leaving = true;
    m_dispatcher.stop();
    m_holder.releaseUnused();
}

void DecisionDuty::handle(const dispatch::Arrival &arrival)
{
    act(m_dispatcher.handleArrival(arrival, m_now));
}

void DecisionDuty::handle(const dispatch::AttemptResult &end)
{
    act(m_dispatcher.handleAttemptResult(end, m_now));
}

void DecisionDuty::handle(const ConfigArrived &arrived)
{
    if (arrived.snapshot->version() <= m_version) {
        return;
    }
    m_version = arrived.snapshot->version();
    for (const std::pair<const core::QueueId, config::Queue> &queue : arrived.snapshot->document().queues) {
        m_roster.raiseMaxRequestTime(std::chrono::milliseconds{queue.second.timeoutMs});
    }
    act(m_dispatcher.configure(arrived.snapshot, m_now));
    m_lastView = core::TimePoint{};
    m_lastStep = core::TimePoint{};
    (void)m_ports.telemetry.tryPush(telemetry::Event{"config_in_force"}.with("version", static_cast<std::int64_t>(m_version)));
}

void DecisionDuty::tellHolder(const membership::Digest &digest)
{
    m_holder.setPeer(digest.node, digest.demands, digest.permitRequests, digest.ledgerSequences);
}

void DecisionDuty::handle(const PeerHeard &heard)
{
    if (m_roster.handleDigest(heard.digest, m_now)) {
        tellHolder(heard.digest);
    }
}

void DecisionDuty::handle(const PeerReplied &replied)
{
    if (replied.digest.node == m_self) {
        return;
    }
    m_roster.handleDigestReply(replied.digest, replied.sentAt, m_now);
    tellHolder(replied.digest);
}

void DecisionDuty::handle(const LedgerReadDone &done)
{
    m_holder.onRead(done.shard, done.stored);
    act(m_dispatcher.tick(m_now));
}

void DecisionDuty::handle(const LedgerWriteDone &done)
{
    m_holder.onWritten(done.shard, done.end, done.current);
    act(m_dispatcher.tick(m_now));
}

void DecisionDuty::handle(const StoreHeard &heard)
{
    m_roster.recordStoreContact(heard.sentAt);
}

void DecisionDuty::handle(const NodesSeen &seen)
{
    m_roster.handleRegistrations(seen.nodes, m_holder.holders(), m_now);
}

void DecisionDuty::handle(const OutOfService &out)
{
    act(m_dispatcher.setOutOfService(out.instances, m_now));
    m_lastPlan = core::TimePoint{};
}

void DecisionDuty::act(dispatch::Actions actions)
{
    m_actions.insert(m_actions.end(), std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
}

void DecisionDuty::flush()
{
    if (!m_actions.empty()) {
        m_ports.act(std::exchange(m_actions, {}));
    }
    for (dispatch::Completion &completion : m_dispatcher.takeCompletions()) {
        // Telemetry that falls behind is dropped rather than waited for.
        (void)m_ports.telemetry.tryPush(std::move(completion));
    }
}

void DecisionDuty::afterEvent()
{
    if (m_now - m_lastView >= internal::viewPeriod) {
        m_lastView = m_now;
        refreshView();
        publish();
    }
    const core::Duration pace = m_dispatcher.hasWaitingRequests() ? internal::urgentStep : internal::viewPeriod;
    if (m_now - m_lastStep >= pace) {
        m_lastStep = m_now;
        stepHolder();
    }
    if (m_leaving && !m_left && m_dispatcher.size() == 0 && !m_holder.holders().contains(m_self)) {
        m_left = true;
        m_ports.left();
    }
}

void DecisionDuty::refreshView()
{
    const std::vector<allotment::TeamDemand> elsewhere = m_roster.remoteDemands(m_now);
    m_dispatcher.setRemoteDemands(elsewhere);
    publishDemands(elsewhere);
    m_holder.setDeparted(m_roster.departed(m_now));
    std::set<core::NodeId> alive;
    for (core::NodeId &node : m_roster.alive(m_now)) {
        alive.insert(std::move(node));
    }
    for (const core::NodeId &node : m_aliveBefore) {
        if (!alive.contains(node)) {
            m_holder.removePeer(node);
            (void)m_ports.telemetry.tryPush(telemetry::Event{"peer_lost"}.with("peer", node.text()));
        }
    }
    for (const core::NodeId &node : alive) {
        if (node != m_self && !m_aliveBefore.contains(node)) {
            (void)m_ports.telemetry.tryPush(telemetry::Event{"peer_heard"}.with("peer", node.text()));
        }
    }
    m_aliveBefore = std::move(alive);
    if (m_roster.largestVersion(m_now) <= m_version) {
        m_behindSince.reset();
    } else if (!m_behindSince) {
        m_behindSince = m_now;
    }
}

void DecisionDuty::stepHolder()
{
    m_dispatcher.updateDemand(m_now);
    const core::Duration planPace = m_dispatcher.hasWaitingRequests() ? internal::urgentPlan : internal::planPeriod;
    if (m_now - m_lastPlan >= planPace) {
        m_lastPlan = m_now;
        m_holder.plan();
    }
    const allotment::LedgerCalls step = m_holder.step();
    for (const allotment::LedgerRead &read : step.reads) {
        if (!m_ports.store.tryPush(read)) {
            m_holder.onRead(read.shard, std::nullopt);
        }
    }
    for (const allotment::LedgerWrite &write : step.writes) {
        if (!m_ports.store.tryPush(write)) {
            m_holder.onWritten(write.shard, allotment::WriteOutcome::NotSent, std::nullopt);
        }
    }
}

void DecisionDuty::publishDemands(const std::vector<allotment::TeamDemand> &elsewhere)
{
    std::map<core::PoolId, std::uint32_t> pools;
    for (const allotment::TeamDemand &demand : elsewhere) {
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
    digest.permitRequests = m_holder.permitRequests();
    digest.ledgerSequences = m_holder.sequences();
    m_ports.digest.write(std::move(digest));
}

} // namespace oleanderwick::node

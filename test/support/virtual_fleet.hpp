#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "oleanderwick/dispatch/dispatch.hpp"
#include "oleanderwick/membership/membership.hpp"
#include "support/fleet_model.hpp"

namespace oleanderwick::test
{

/** @brief Completed request from the caller's point of view. */
struct FinishedRequest {
    core::TeamId team;
    core::QueueId queue;
    core::TimePoint arrival;
    core::Duration total{};
    bool delivered{false};
    core::Refusal refusal;
    std::size_t node{0};
    bool idempotent{false};
    int runs{0}; /**< Number of exchanges after which an upstream may have run it. */
    routing::ExchangeOutcome lastOutcome{routing::ExchangeOutcome::NotConnected};
};

/** @brief Dispatchers with permit holders in virtual time, with one store and simulated upstreams. */
class VirtualFleet
{
public:
    /** @brief Simulated exchange: its duration and outcome. */
    struct SimulatedExchange {
        core::Duration run{};
        routing::ExchangeOutcome outcome{routing::ExchangeOutcome::Complete};
    };
    using ExchangeOf = std::function<SimulatedExchange(const dispatch::StartAttempt &, std::mt19937_64 &)>;

    VirtualFleet(std::size_t nodes, config::Document document, ExchangeOf exchangeOf)
        : m_document{std::move(document)}
        , m_exchangeOf{std::move(exchangeOf)}
    {
        for (std::size_t index = 0; index < nodes; ++index) {
            const core::NodeId id{"n" + std::to_string(index)};
            Node node;
            node.holder = std::make_unique<allotment::PermitHolder>(id, nodes);
            node.dispatcher = std::make_unique<dispatch::Dispatcher>("a", index, *node.holder);
            node.roster = std::make_unique<membership::Roster>(id, nodes, membership::Timeouts{});
            node.id = id;
            m_nodes.push_back(std::move(node));
        }
        applyConfiguration(m_document);
        for (int round = 0; round < settleRounds; ++round) {
            exchangeDigests();
        }
    }

    [[nodiscard]] core::TimePoint now() const
    {
        return m_now;
    }

    [[nodiscard]] const std::vector<FinishedRequest> &completed() const
    {
        return m_completed;
    }

    [[nodiscard]] std::uint32_t running(const std::string &team) const
    {
        const auto found = m_running.find(team);
        return found == m_running.end() ? 0 : found->second;
    }

    [[nodiscard]] std::uint32_t peakRunning(const std::string &team) const
    {
        const auto found = m_peak.find(team);
        return found == m_peak.end() ? 0 : found->second;
    }

    [[nodiscard]] std::uint32_t peakOn(const std::string &upstream) const
    {
        const auto found = m_upstreamPeak.find(upstream);
        return found == m_upstreamPeak.end() ? 0 : found->second;
    }

    [[nodiscard]] const allotment::PermitHolder &holder(std::size_t node) const
    {
        return *m_nodes[node].holder;
    }

    [[nodiscard]] const dispatch::Dispatcher &dispatcher(std::size_t node) const
    {
        return *m_nodes[node].dispatcher;
    }

    [[nodiscard]] std::uint64_t attempts() const
    {
        return m_attempts;
    }

    void applyConfiguration(config::Document document)
    {
        config::Record record;
        record.version = ++m_version;
        record.document = std::move(document);
        const config::SnapshotPtr snapshot = std::make_shared<const config::Snapshot>(record);
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            perform(index, m_nodes[index].dispatcher->configure(snapshot, m_now));
        }
    }

    void setStoreUnavailable(bool unavailable)
    {
        m_storeUnavailable = unavailable;
    }

    void send(std::size_t node, const std::string &queue, const std::string &key, bool idempotent = true)
    {
        dispatch::Arrival arrival;
        arrival.number = ++m_lastNumber;
        arrival.queue = core::QueueId{queue};
        if (!key.empty()) {
            arrival.key = config::PresentedKey{core::KeyId{key}, key};
        }
        arrival.idempotent = idempotent;
        m_requests[arrival.number] = OpenRequest{core::TeamId{key}, arrival.queue, m_now, node, idempotent};
        perform(node, m_nodes[node].dispatcher->handleArrival(arrival, m_now));
        stepHolderIfDue(node);
    }

    /** Advances the virtual time by `span`, calling `load` every millisecond. */
    void runFor(core::Duration span, const std::function<void()> &load)
    {
        const core::TimePoint end = m_now + span;
        while (m_now < end) {
            m_now += timeStep;
            deliverResults();
            load();
            ++m_steps;
            if (m_steps % stepsPerTick == 0) {
                tick();
            }
            if (m_steps % stepsPerDigest == 0) {
                exchangeDigests();
            }
        }
    }

private:
    struct Node {
        core::NodeId id;
        std::unique_ptr<allotment::PermitHolder> holder;
        std::unique_ptr<dispatch::Dispatcher> dispatcher;
        std::unique_ptr<membership::Roster> roster;
        core::TimePoint lastStep;
        core::TimePoint lastPlan;
    };
    struct OpenRequest {
        core::TeamId team;
        core::QueueId queue;
        core::TimePoint arrival;
        std::size_t node{0};
        bool idempotent{false};
        int runs{0};
        routing::ExchangeOutcome lastOutcome{routing::ExchangeOutcome::NotConnected};
    };
    struct ScheduledEnd {
        core::TimePoint at;
        std::size_t node{};
        dispatch::AttemptResult result;
        core::InstanceId upstream;
        [[nodiscard]] bool operator>(const ScheduledEnd &other) const
        {
            return at > other.at;
        }
    };

    static constexpr core::Duration timeStep = std::chrono::milliseconds{1};
    static constexpr int stepsPerTick = 10;
    static constexpr int stepsPerDigest = 250;
    static constexpr int settleRounds = 12;

    [[nodiscard]] static bool mayRun(routing::ExchangeOutcome outcome)
    {
        using routing::ExchangeOutcome;
        return outcome != ExchangeOutcome::NotConnected && outcome != ExchangeOutcome::NothingSent && outcome != ExchangeOutcome::RefusedNotRun;
    }

    void tick()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            perform(index, m_nodes[index].dispatcher->tick(m_now));
            stepHolderIfDue(index);
        }
    }

    void stepHolderIfDue(std::size_t index)
    {
        Node &node = m_nodes[index];
        const core::Duration period = std::chrono::milliseconds{node.dispatcher->hasWaitingRequests() ? 5 : 50};
        if (m_now - node.lastStep >= period) {
            node.lastStep = m_now;
            stepHolder(index);
        }
    }

    void stepHolder(std::size_t index)
    {
        Node &node = m_nodes[index];
        node.dispatcher->updateDemand(m_now);
        const core::Duration period = std::chrono::milliseconds{node.dispatcher->hasWaitingRequests() ? 50 : 250};
        if (m_now - node.lastPlan >= period || m_steps == 0) {
            node.lastPlan = m_now;
            node.holder->plan();
        }
        const allotment::LedgerCalls calls = node.holder->step();
        for (const allotment::LedgerRead &read : calls.reads) {
            node.holder->onRead(read.shard, m_storeUnavailable ? std::nullopt : std::optional{m_store.read(read.shard)});
        }
        for (const allotment::LedgerWrite &write : calls.writes) {
            using allotment::WriteOutcome;
            const bool done = !m_storeUnavailable && m_store.apply(write);
            const WriteOutcome outcome = m_storeUnavailable ? WriteOutcome::NotSent : (done ? WriteOutcome::Written : WriteOutcome::Conflict);
            node.holder->onWritten(write.shard, outcome, m_storeUnavailable ? std::nullopt : std::optional{m_store.read(write.shard)});
        }
        perform(index, node.dispatcher->tick(m_now));
    }

    void exchangeDigests()
    {
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            Node &node = m_nodes[index];
            node.dispatcher->updateDemand(m_now);
            membership::Digest digest;
            digest.node = node.id;
            digest.sequence = ++m_sequence;
            digest.demands = node.dispatcher->demands(m_now);
            digest.permitRequests = node.holder->permitRequests();
            digest.ledgerSequences = node.holder->sequences();
            for (std::size_t other = 0; other < m_nodes.size(); ++other) {
                if (other != index) {
                    m_nodes[other].roster->handleDigest(digest, m_now);
                    m_nodes[other].holder->setPeer(digest.node, digest.demands, digest.permitRequests, digest.ledgerSequences);
                }
            }
        }
        for (std::size_t index = 0; index < m_nodes.size(); ++index) {
            m_nodes[index].dispatcher->setRemoteDemands(m_nodes[index].roster->remoteDemands(m_now));
            stepHolder(index);
        }
    }

    void perform(std::size_t node, const dispatch::Actions &actions)
    {
        for (const dispatch::Action &action : actions) {
            if (const dispatch::StartAttempt *start = std::get_if<dispatch::StartAttempt>(&action)) {
                startExchange(node, *start);
            } else if (const dispatch::Refuse *refuse = std::get_if<dispatch::Refuse>(&action)) {
                recordCompletion(refuse->number, false, refuse->refusal);
            } else if (const dispatch::Deliver *deliver = std::get_if<dispatch::Deliver>(&action)) {
                recordCompletion(deliver->number, true, {});
            }
        }
    }

    void startExchange(std::size_t node, const dispatch::StartAttempt &start)
    {
        ++m_attempts;
        SimulatedExchange exchange = m_exchangeOf(start, m_random);
        if (exchange.run > start.timeout) {
            exchange = SimulatedExchange{start.timeout, routing::ExchangeOutcome::TimedOut};
        }
        OpenRequest &open = m_requests.at(start.number);
        open.lastOutcome = exchange.outcome;
        open.runs += mayRun(exchange.outcome) ? 1 : 0;
        const std::string &team = open.team.text();
        m_peak[team] = std::max(m_peak[team], ++m_running[team]);
        std::uint32_t &peak = m_upstreamPeak[start.upstream.text()];
        peak = std::max(peak, ++m_upstreamRunning[start.upstream.text()]);
        m_scheduledEnds.push(ScheduledEnd{m_now + exchange.run, node, dispatch::AttemptResult{start.number, exchange.outcome, false}, start.upstream});
    }

    void deliverResults()
    {
        while (!m_scheduledEnds.empty() && m_scheduledEnds.top().at <= m_now) {
            const ScheduledEnd end = m_scheduledEnds.top();
            m_scheduledEnds.pop();
            --m_running[m_requests.at(end.result.number).team.text()];
            --m_upstreamRunning[end.upstream.text()];
            perform(end.node, m_nodes[end.node].dispatcher->handleAttemptResult(end.result, m_now));
        }
    }

    void recordCompletion(admission::RequestNumber number, bool delivered, const core::Refusal &refusal)
    {
        const OpenRequest &open = m_requests.at(number);
        m_completed.push_back(FinishedRequest{
            open.team, open.queue, open.arrival, m_now - open.arrival, delivered, refusal, open.node, open.idempotent, open.runs, open.lastOutcome});
    }

    config::Document m_document;
    ExchangeOf m_exchangeOf;
    std::mt19937_64 m_random{7};
    core::TimePoint m_now{std::chrono::hours{1}};
    std::uint64_t m_steps{0};
    bool m_storeUnavailable{false};
    config::Version m_version{0};
    std::uint64_t m_sequence{0};
    admission::RequestNumber m_lastNumber{0};
    std::uint64_t m_attempts{0};
    MemoryLedgerStore m_store;
    std::vector<Node> m_nodes;
    std::map<admission::RequestNumber, OpenRequest> m_requests;
    std::priority_queue<ScheduledEnd, std::vector<ScheduledEnd>, std::greater<>> m_scheduledEnds;
    std::map<std::string, std::uint32_t> m_running;
    std::map<std::string, std::uint32_t> m_peak;
    std::map<std::string, std::uint32_t> m_upstreamRunning;
    std::map<std::string, std::uint32_t> m_upstreamPeak;
    std::vector<FinishedRequest> m_completed;
};

/** @brief Builder of small configurations for tests; the identifier and the secret of a team's key are the team's name. */
class DocumentBuilder
{
public:
    DocumentBuilder &pool(const std::string &name, std::uint32_t instances, std::uint32_t slots)
    {
        m_document.pools.emplace(core::PoolId{name}, config::Pool{});
        for (std::uint32_t index = 0; index < instances; ++index) {
            config::Instance instance;
            instance.pool = core::PoolId{name};
            instance.address = "127.0.0.1:" + std::to_string(9000 + m_document.instances.size());
            instance.zone = "a";
            instance.slots = slots;
            m_document.instances.emplace(core::InstanceId{name + std::to_string(index)}, instance);
        }
        return *this;
    }

    DocumentBuilder &team(const std::string &name, std::uint32_t share, std::uint32_t upperLimit)
    {
        config::Team team{share, upperLimit, {}};
        team.keys.emplace(core::KeyId{name}, config::TeamKey{config::sha256Hex(name)});
        m_document.teams.emplace(core::TeamId{name}, team);
        return *this;
    }

    DocumentBuilder &queue(const std::string &name, const std::string &pool, const std::vector<std::string> &teams, std::uint32_t timeoutMs = 30'000)
    {
        config::Queue queue;
        queue.pool = core::PoolId{pool};
        for (const std::string &team : teams) {
            queue.teams.emplace_back(team);
        }
        queue.timeoutMs = timeoutMs;
        m_document.queues.emplace(core::QueueId{name}, queue);
        return *this;
    }

    [[nodiscard]] config::Document build() const
    {
        return m_document;
    }

private:
    config::Document m_document;
};

} // namespace oleanderwick::test

#include "dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "internal/rules.hpp"

namespace oleanderwick::dispatch
{

Dispatcher::Dispatcher(std::string zone, std::uint64_t seed, allotment::PermitHolder &holder)
    : m_zone{std::move(zone)}
    , m_random{seed}
    , m_holder{holder}
{
}

Dispatcher::size_type Dispatcher::size() const noexcept
{
    return m_requests.size();
}

bool Dispatcher::hasWaitingRequests() const noexcept
{
    return std::any_of(m_pools.begin(), m_pools.end(), [](const std::pair<const core::PoolId, PoolState> &pool) {
        return pool.second.queue.size() > 0;
    });
}

std::vector<allotment::TeamDemand> Dispatcher::demands(core::TimePoint now) const
{
    std::vector<allotment::TeamDemand> demands;
    for (const std::pair<const core::PoolId, PoolState> &pool : m_pools) {
        for (const admission::TeamLoad &load : pool.second.queue.loads(now)) {
            const std::uint32_t oldestWaitMs = static_cast<std::uint32_t>(core::milliseconds(load.oldestWait));
            demands.push_back(allotment::TeamDemand{pool.first, load.team, load.running, load.waiting, load.recentPeak, oldestWaitMs});
        }
    }
    return demands;
}

std::vector<Completion> Dispatcher::takeCompletions()
{
    return std::exchange(m_completions, {});
}

void Dispatcher::setFreshUntil(core::TimePoint until) noexcept
{
    m_freshUntil = until;
}

void Dispatcher::stop() noexcept
{
    m_stopping = true;
}

Dispatcher::PoolState &Dispatcher::poolOf(const core::PoolId &id)
{
    return m_pools.try_emplace(id, id, m_zone).first->second;
}

Actions Dispatcher::configure(config::SnapshotPtr snapshot, core::TimePoint now)
{
    Actions actions;
    if (m_snapshot != nullptr && snapshot->version() <= m_snapshot->version()) {
        return actions;
    }
    m_snapshot = std::move(snapshot);
    for (const std::pair<const core::PoolId, config::Pool> &pool : m_snapshot->document().pools) {
        (void)poolOf(pool.first);
    }
    applyInstancesAndLimits(now);
    for (std::pair<const core::PoolId, PoolState> &pool : m_pools) {
        pool.second.queue.setShare(config::openTeam(), 1);
    }
    for (const std::pair<const core::QueueId, config::Queue> &queue : m_snapshot->document().queues) {
        for (const core::TeamId &team : queue.second.teams) {
            poolOf(queue.second.pool).queue.setShare(team, m_snapshot->document().teams.at(team).share);
        }
    }
    refuseDisallowed(now, actions);
    startAllWaiting(now, actions);
    return actions;
}

Actions Dispatcher::setOutOfService(std::set<core::InstanceId> instances, core::TimePoint now)
{
    Actions actions;
    m_outOfService = std::move(instances);
    if (m_snapshot != nullptr) {
        applyInstancesAndLimits(now);
        startAllWaiting(now, actions);
    }
    return actions;
}

void Dispatcher::applyInstancesAndLimits(core::TimePoint now)
{
    m_holder.configure(*m_snapshot, m_outOfService);
    std::map<core::PoolId, std::vector<routing::UpstreamInfo>> upstreams;
    for (const std::pair<const core::InstanceId, config::Instance> &entry : m_snapshot->document().instances) {
        const config::Instance &instance = entry.second;
        const bool leaving = !config::acceptsWork(m_snapshot->document(), instance) || m_outOfService.contains(entry.first);
        // Running requests use up to one connection for each slot; only connections beyond that may stay open while idle.
        const std::uint32_t idle = instance.connections > instance.slots ? instance.connections - instance.slots : 0;
        upstreams[instance.pool].push_back(routing::UpstreamInfo{entry.first, instance.address, instance.zone, leaving, idle});
    }
    for (std::pair<const core::PoolId, PoolState> &pool : m_pools) {
        pool.second.upstreams.assign(upstreams[pool.first], now);
    }
}

bool Dispatcher::stillAllowed(const Request &request) const
{
    const config::Queue *queue = m_snapshot->queue(request.queue);
    if (queue == nullptr || queue->pool != request.pool) {
        return false;
    }
    if (request.team == config::openTeam()) {
        return queue->open;
    }
    const auto team = m_snapshot->document().teams.find(request.team);
    return team != m_snapshot->document().teams.end() && team->second.keys.contains(request.key) && config::Snapshot::allows(*queue, request.team);
}

void Dispatcher::refuseDisallowed(core::TimePoint now, Actions &actions)
{
    std::vector<admission::RequestNumber> disallowed;
    for (const Requests::value_type &entry : m_requests) {
        if (entry.second.upstream.empty() && !stillAllowed(entry.second)) {
            disallowed.push_back(entry.first);
        }
    }
    std::sort(disallowed.begin(), disallowed.end());
    for (const admission::RequestNumber number : disallowed) {
        const auto entry = m_requests.find(number);
        poolOf(entry->second.pool).queue.erase(number);
        refuse(entry, internal::notRun(internal::statusUnauthorized, "no_longer_allowed"), now, actions);
    }
}

void Dispatcher::setRemoteDemands(const std::vector<allotment::TeamDemand> &demands)
{
    for (std::pair<const core::PoolId, PoolState> &pool : m_pools) {
        pool.second.queue.clearRemoteDemand();
    }
    for (const allotment::TeamDemand &demand : demands) {
        const auto pool = m_pools.find(demand.pool);
        if (pool != m_pools.end()) {
            pool->second.queue.setRemoteDemand(demand.team, demand.running + demand.waiting);
        }
    }
}

std::optional<core::Refusal> Dispatcher::checkArrival(const Arrival &arrival, core::TimePoint now, core::TeamId &team) const
{
    if (m_stopping) {
        return internal::notRun(internal::statusUnavailable, "node_stopping", internal::minRetryAfter);
    }
    if (m_snapshot == nullptr || now >= m_freshUntil) {
        return internal::notRun(internal::statusUnavailable, "configuration_not_fresh", internal::fixedRetryAfter);
    }
    const config::Queue *queue = m_snapshot->queue(arrival.queue);
    if (queue != nullptr && queue->open) {
        team = config::openTeam();
        return std::nullopt;
    }
    const std::optional<core::TeamId> keyTeam = arrival.key ? m_snapshot->teamOf(*arrival.key) : std::nullopt;
    if (!keyTeam) {
        return internal::notRun(internal::statusUnauthorized, arrival.key ? "bad_key" : "no_key");
    }
    if (queue == nullptr) {
        return internal::notRun(internal::statusNotFound, "no_such_queue");
    }
    if (!config::Snapshot::allows(*queue, *keyTeam)) {
        return internal::notRun(internal::statusForbidden, "team_not_allowed");
    }
    if (m_snapshot->document().teams.at(*keyTeam).upperLimit == 0) {
        return internal::notRun(internal::statusTooMany, "upper_limit_zero", internal::fixedRetryAfter);
    }
    team = *keyTeam;
    return std::nullopt;
}

std::optional<core::Refusal> Dispatcher::checkStartInTime(const PoolState &pool, const Request &request, core::TimePoint now) const
{
    if (pool.upstreams.size() == 0) {
        return internal::notRun(internal::statusUnavailable, "pool_empty", internal::fixedRetryAfter);
    }
    const core::Duration expected = m_runTimes.expectedWait(request.queue, pool.queue.waiting(request.team), pool.queue.running(request.team));
    if (now + expected + m_runTimes.mean(request.queue) > request.deadline) {
        return internal::notRun(internal::statusTooMany, "cannot_start_in_time", retryAfter(request, pool));
    }
    return std::nullopt;
}

core::Duration Dispatcher::retryAfter(const Request &request, const PoolState &pool) const
{
    const core::Duration wait = m_runTimes.expectedWait(request.queue, pool.queue.waiting(request.team), pool.queue.running(request.team));
    return std::max(wait, internal::minRetryAfter);
}

Dispatcher::Request Dispatcher::makeRequest(const Arrival &arrival, const core::TeamId &team, core::TimePoint now) const
{
    const config::Queue &queue = *m_snapshot->queue(arrival.queue);
    const core::Duration maxTimeout = std::chrono::milliseconds{queue.timeoutMs};
    const bool hasTimeout = arrival.timeout > core::Duration::zero();
    Request request;
    request.team = team;
    request.queue = arrival.queue;
    request.pool = queue.pool;
    request.key = arrival.key ? arrival.key->id : core::KeyId{};
    request.idempotent = arrival.idempotent;
    request.urgent = arrival.urgent;
    request.arrival = now;
    request.deadline = now + (hasTimeout ? std::min(arrival.timeout, maxTimeout) : maxTimeout);
    return request;
}

Actions Dispatcher::handleArrival(const Arrival &arrival, core::TimePoint now)
{
    Actions actions;
    core::TeamId team;
    std::optional<core::Refusal> refusal = checkArrival(arrival, now, team);
    if (refusal) {
        m_completions.push_back(Completion{arrival.number, team, arrival.queue, {}, refusal->reason, 0, {}, {}});
        actions.emplace_back(Refuse{arrival.number, *std::move(refusal)});
        return actions;
    }
    const auto entry = m_requests.emplace(arrival.number, makeRequest(arrival, team, now)).first;
    PoolState &pool = poolOf(entry->second.pool);
    refusal = checkStartInTime(pool, entry->second, now);
    if (refusal) {
        refuse(entry, *std::move(refusal), now, actions);
        return actions;
    }
    if (!ensureQueueSpace(pool, entry->second, now, actions)) {
        refuse(entry, internal::notRun(internal::statusTooMany, "queue_full", retryAfter(entry->second, pool)), now, actions);
        return actions;
    }
    enqueue(arrival.number, entry->second, arrival.urgent);
    startWaiting(pool, now, actions);
    return actions;
}

bool Dispatcher::ensureQueueSpace(PoolState &pool, const Request &request, core::TimePoint now, Actions &actions)
{
    if (pool.queue.waiting(request.queue) < m_snapshot->queue(request.queue)->maxLength) {
        return true;
    }
    // A team with a long backlog must not block the other teams on a shared queue.
    const std::optional<admission::QueuedRequest> evicted = pool.queue.evict(request.queue, request.team);
    if (!evicted) {
        return false;
    }
    const auto entry = m_requests.find(evicted->number);
    const core::Refusal refusal{internal::statusTooMany, entry->second.outcome, "queue_full", retryAfter(entry->second, pool)};
    refuse(entry, refusal, now, actions);
    return true;
}

void Dispatcher::enqueue(admission::RequestNumber number, const Request &request, bool urgent)
{
    const core::TimePoint latestStart = request.deadline - std::min(m_runTimes.mean(request.queue), (request.deadline - request.arrival) / 2);
    poolOf(request.pool).queue.push(admission::QueuedRequest{number, request.team, request.queue, urgent, request.arrival, latestStart});
}

bool Dispatcher::eligible(const core::TeamId &team) const
{
    if (team == config::openTeam()) {
        return true;
    }
    const auto running = m_teamRunning.find(team);
    return (running == m_teamRunning.end() ? 0 : running->second) < m_holder.usable(allotment::Group{allotment::Group::Kind::Team, team.text()});
}

void Dispatcher::startWaiting(PoolState &pool, core::TimePoint now, Actions &actions)
{
    if (now >= m_freshUntil || m_snapshot == nullptr) {
        return;
    }
    const admission::FairQueue::Eligible mayStart = [this](const core::TeamId &team) {
        return eligible(team);
    };
    while (pool.queue.anyWaiting(mayStart) && pool.running < m_holder.usable(internal::poolGroup(pool.id))) {
        const std::optional<core::InstanceId> upstream = choose(pool, core::InstanceId{}, now);
        if (!upstream) {
            return;
        }
        const std::optional<admission::QueuedRequest> next = pool.queue.pop(mayStart);
        OLEANDERWICK_ASSERT(next.has_value(), "an eligible team has a waiting request");
        const auto entry = m_requests.find(next->number);
        const core::InstanceId &previousUpstream = entry->second.previousUpstream;
        startAttempt(entry, pool, previousUpstream == *upstream ? choose(pool, previousUpstream, now).value_or(previousUpstream) : *upstream, now, actions);
    }
}

void Dispatcher::startAllWaiting(core::TimePoint now, Actions &actions)
{
    for (std::pair<const core::PoolId, PoolState> &pool : m_pools) {
        startWaiting(pool.second, now, actions);
    }
}

void Dispatcher::refuseExpired(PoolState &pool, core::TimePoint now, Actions &actions)
{
    for (const admission::QueuedRequest &waiting : pool.queue.expire(now)) {
        const auto entry = m_requests.find(waiting.number);
        const core::Refusal refusal{internal::statusTimeout, entry->second.outcome, "not_started_in_time", retryAfter(entry->second, pool)};
        refuse(entry, refusal, now, actions);
    }
}

Actions Dispatcher::tick(core::TimePoint now)
{
    Actions actions;
    releaseUncertainRuns(now);
    const bool decay = now - m_lastDecay >= admission::FairQueue::decayPeriod;
    m_lastDecay = decay ? now : m_lastDecay;
    for (std::pair<const core::PoolId, PoolState> &pool : m_pools) {
        if (decay) {
            pool.second.queue.decay();
        }
        refuseExpired(pool.second, now, actions);
    }
    startAllWaiting(now, actions);
    return actions;
}

void Dispatcher::refuse(Requests::iterator entry, core::Refusal refusal, core::TimePoint now, Actions &actions)
{
    const admission::RequestNumber number = entry->first;
    complete(entry, refusal.reason, now);
    actions.emplace_back(Refuse{number, std::move(refusal)});
}

void Dispatcher::complete(Requests::iterator entry, std::string reason, core::TimePoint now)
{
    const Request &request = entry->second;
    const bool started = request.attempts > 0;
    const core::Duration wait = (started ? request.firstStart : now) - request.arrival;
    const core::Duration run = started ? now - request.firstStart : core::Duration::zero();
    m_completions.push_back(Completion{entry->first, request.team, request.queue, request.upstream, std::move(reason), request.attempts, wait, run});
    m_requests.erase(entry);
}

void Dispatcher::updateDemand(core::TimePoint now)
{
    m_holder.setDemands(demands(now));
    for (const std::pair<const core::InstanceId, std::uint32_t> &instance : m_instanceRunning) {
        m_holder.setRunning(internal::instanceLimit(instance.first), instance.second);
    }
    for (const std::pair<const core::TeamId, std::uint32_t> &team : m_teamRunning) {
        m_holder.setRunning(internal::teamLimit(team.first), team.second);
    }
}

} // namespace oleanderwick::dispatch

// Upstream side of the dispatcher: choice of upstream, attempts, retries, and release of permits.

#include "dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "internal/rules.hpp"

namespace oleanderwick::dispatch
{

core::Duration Dispatcher::attemptTimeout(const Request &request, core::TimePoint now) const
{
    const core::Duration timeLeft = request.deadline - now;
    const core::Duration meanRun = m_runTimes.mean(request.queue);
    const bool shorten = request.idempotent && request.attempts < internal::maxAttempts && meanRun > core::Duration::zero();
    return shorten && meanRun * internal::meanRunsInTimeLeft < timeLeft ? timeLeft / 2 : timeLeft;
}

void Dispatcher::startAttempt(Requests::iterator entry, PoolState &pool, const core::InstanceId &upstream, core::TimePoint now, Actions &actions)
{
    Request &request = entry->second;
    pool.upstreams.start(upstream);
    ++pool.running;
    ++m_teamRunning[request.team];
    ++m_instanceRunning[upstream];
    ++request.attempts;
    request.upstream = upstream;
    request.attemptStart = now;
    if (request.attempts == 1) {
        request.firstStart = now;
        m_budgets[request.queue].deposit();
    }
    const bool fresh = !request.idempotent || request.attempts > 1;
    const routing::UpstreamInfo &info = *pool.upstreams.find(upstream);
    const core::Duration timeout = attemptTimeout(request, now);
    actions.emplace_back(
        StartAttempt{entry->first, upstream, info.address, request.attempts, timeout, request.deadline - now, fresh, info.idleConnections, m_freshUntil});
}

Actions Dispatcher::handleAttemptResult(const AttemptResult &result, core::TimePoint now)
{
    Actions actions;
    const auto entry = m_requests.find(result.number);
    if (entry == m_requests.end() || entry->second.upstream.empty()) {
        return actions;
    }
    Request &request = entry->second;
    PoolState &pool = poolOf(request.pool);
    const routing::RetryDecision decision = routing::decideRetry(routing::Attempt{result.outcome, request.idempotent});
    const RunPermits run{request.deadline, request.pool, request.team, request.queue, request.upstream};
    if (result.outcome == routing::ExchangeOutcome::RefusedNotRun) {
        pool.upstreams.markRefused(request.upstream, now);
    } else if (result.outcome != routing::ExchangeOutcome::NothingSent) {
        pool.upstreams.observe(request.upstream, decision.countsAsFailure, now - request.attemptStart, now);
    }
    request.lostUpstreams += routing::isUpstreamLost(result.outcome) ? 1 : 0;
    if (result.leaving) {
        pool.upstreams.markLeaving(request.upstream, now);
    }
    if (decision.mayStillRun && now < request.deadline) {
        m_uncertainRuns.push_back(run);
    } else {
        release(run);
    }
    if (decision.step == routing::RetryDecision::Step::Deliver) {
        m_runTimes.observe(request.queue, now - request.attemptStart);
        complete(entry, "delivered", now);
        actions.emplace_back(Deliver{result.number});
    } else {
        retryOrRefuse(entry, decision, now, actions);
    }
    startWaiting(pool, now, actions);
    return actions;
}

void Dispatcher::retryOrRefuse(Requests::iterator entry, const routing::RetryDecision &decision, core::TimePoint now, Actions &actions)
{
    Request &request = entry->second;
    if (decision.outcome != core::Outcome::NotRun) {
        request.outcome = decision.outcome;
    }
    const bool hasAttempts = request.attempts < internal::maxAttempts && request.lostUpstreams < internal::maxLostUpstreams;
    const bool mayRetry = decision.step == routing::RetryDecision::Step::Retry && hasAttempts && now < request.deadline;
    if (mayRetry && stillAllowed(request) && (!decision.costsBudget || m_budgets[request.queue].withdraw())) {
        request.previousUpstream = std::exchange(request.upstream, core::InstanceId{});
        enqueue(entry->first, request, true);
        return;
    }
    const int status = now >= request.deadline     ? internal::statusTimeout
        : request.outcome == core::Outcome::NotRun ? internal::statusUnavailable
                                                   : internal::statusBadGateway;
    const core::Duration retryDelay = request.outcome == core::Outcome::NotRun ? internal::fixedRetryAfter : core::Duration::zero();
    refuse(entry, core::Refusal{status, request.outcome, "upstream_failed", retryDelay}, now, actions);
}

void Dispatcher::release(const RunPermits &run)
{
    PoolState &pool = poolOf(run.pool);
    pool.queue.finish(run.team, run.queue);
    pool.upstreams.finish(run.upstream);
    --pool.running;
    --m_teamRunning[run.team];
    const auto instance = m_instanceRunning.find(run.upstream);
    if (--instance->second == 0) {
        m_holder.setRunning(internal::instanceLimit(run.upstream), 0);
        m_instanceRunning.erase(instance);
    }
}

void Dispatcher::releaseUncertainRuns(core::TimePoint now)
{
    const auto kept = std::stable_partition(m_uncertainRuns.begin(), m_uncertainRuns.end(), [now](const RunPermits &run) {
        return now < run.until;
    });
    for (auto run = kept; run != m_uncertainRuns.end(); ++run) {
        release(*run);
    }
    m_uncertainRuns.erase(kept, m_uncertainRuns.end());
}

std::uint32_t Dispatcher::freeSlots(const PoolState &pool, const core::InstanceId &instance) const
{
    const auto running = m_instanceRunning.find(instance);
    const std::uint32_t total = running == m_instanceRunning.end() ? 0 : running->second;
    // An instance that was moved to this pool may still run requests of its former pool.
    const std::uint32_t otherPools = total - pool.upstreams.running(instance);
    const std::uint32_t usable = m_holder.usable(internal::instanceLimit(instance));
    return usable > otherPools ? usable - otherPools : 0;
}

std::optional<core::InstanceId> Dispatcher::choose(const PoolState &pool, const core::InstanceId &previousUpstream, core::TimePoint now)
{
    const routing::UpstreamTable::SlotsOf slotsOf = [this, &pool](const core::InstanceId &instance) {
        return freeSlots(pool, instance);
    };
    return pool.upstreams.choose(slotsOf, previousUpstream, now, m_random);
}

} // namespace oleanderwick::dispatch

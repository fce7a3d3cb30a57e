// Upstream side of the dispatcher: choice of upstream, attempts, retries, and release of permits.

#include "dispatcher.hpp"

#include <algorithm>
#include <utility>

#include "internal/rules.hpp"

namespace oleanderwick::dispatch
{

core::Duration Dispatcher::attemptTimeout(const Request &request, core::TimePoint now) const
{
    const core::Duration left = request.deadline - now;
    const core::Duration usual = m_runTimes.mean(request.queue);
    const bool shorten = request.idempotent && request.attempts < internal::maxAttempts && usual > core::Duration::zero();
    return shorten && usual * internal::usualRunsInTime < left ? left / 2 : left;
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

Actions Dispatcher::handleAttemptResult(const AttemptResult &end, core::TimePoint now)
{
    Actions actions;
    const auto entry = m_requests.find(end.number);
    if (entry == m_requests.end() || entry->second.upstream.empty()) {
        return actions;
    }
    Request &request = entry->second;
    PoolState &pool = poolOf(request.pool);
    const routing::RetryDecision verdict = routing::decideRetry(routing::Attempt{end.outcome, request.idempotent});
    const Lingering use{request.deadline, request.pool, request.team, request.queue, request.upstream};
    if (end.outcome == routing::ExchangeOutcome::RefusedNotRun) {
        pool.upstreams.markRefused(request.upstream, now);
    } else if (end.outcome != routing::ExchangeOutcome::NothingSent) {
        pool.upstreams.observe(request.upstream, verdict.blamesUpstream, now - request.attemptStart, now);
    }
    if (end.leaving) {
        pool.upstreams.markLeaving(request.upstream, now);
    }
    if (verdict.mayStillRun && now < request.deadline) {
        m_lingering.push_back(use);
    } else {
        release(use);
    }
    if (verdict.step == routing::RetryDecision::Step::Deliver) {
        m_runTimes.observe(request.queue, now - request.attemptStart);
        complete(entry, "delivered", now);
        actions.emplace_back(Deliver{end.number});
    } else {
        retryOrRefuse(entry, verdict, now, actions);
    }
    pump(pool, now, actions);
    return actions;
}

void Dispatcher::retryOrRefuse(Requests::iterator entry, const routing::RetryDecision &verdict, core::TimePoint now, Actions &actions)
{
    Request &request = entry->second;
    if (verdict.outcome != core::Outcome::NotRun) {
        request.outcome = verdict.outcome;
    }
    const bool wanted = verdict.step == routing::RetryDecision::Step::Retry && request.attempts < internal::maxAttempts && now < request.deadline;
    if (wanted && stillAllowed(request) && (!verdict.costsBudget || m_budgets[request.queue].withdraw())) {
        request.avoid = std::exchange(request.upstream, core::InstanceId{});
        enqueue(entry->first, request, true);
        return;
    }
    const int status = now >= request.deadline     ? internal::statusTimeout
        : request.outcome == core::Outcome::NotRun ? internal::statusUnavailable
                                                   : internal::statusBadGateway;
    const core::Duration retry = request.outcome == core::Outcome::NotRun ? internal::refusalRetryAfter : core::Duration::zero();
    refuse(entry, core::Refusal{status, request.outcome, "upstream_failed", retry}, now, actions);
}

void Dispatcher::release(const Lingering &use)
{
    PoolState &pool = poolOf(use.pool);
    pool.queue.finish(use.team, use.queue);
    pool.upstreams.finish(use.upstream);
    --pool.running;
    --m_teamRunning[use.team];
    const auto instance = m_instanceRunning.find(use.upstream);
    if (--instance->second == 0) {
        m_holder.setRunning(internal::instanceUnit(use.upstream), 0);
        m_instanceRunning.erase(instance);
    }
}

void Dispatcher::releaseLingering(core::TimePoint now)
{
    const auto kept = std::stable_partition(m_lingering.begin(), m_lingering.end(), [now](const Lingering &use) {
        return now < use.until;
    });
    for (auto use = kept; use != m_lingering.end(); ++use) {
        release(*use);
    }
    m_lingering.erase(kept, m_lingering.end());
}

std::uint32_t Dispatcher::freeSlots(const PoolState &pool, const core::InstanceId &instance) const
{
    const auto running = m_instanceRunning.find(instance);
    const std::uint32_t all = running == m_instanceRunning.end() ? 0 : running->second;
    // An instance that was moved to this pool may still run requests of its former pool.
    const std::uint32_t elsewhere = all - pool.upstreams.running(instance);
    const std::uint32_t usable = m_holder.usable(internal::instanceUnit(instance));
    return usable > elsewhere ? usable - elsewhere : 0;
}

std::optional<core::InstanceId> Dispatcher::choose(const PoolState &pool, const core::InstanceId &avoid, core::TimePoint now)
{
    const routing::UpstreamTable::SlotsOf slotsOf = [this, &pool](const core::InstanceId &instance) {
        return freeSlots(pool, instance);
    };
    return pool.upstreams.choose(slotsOf, avoid, now, m_random);
}

} // namespace oleanderwick::dispatch

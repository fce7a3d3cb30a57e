#include "fair_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace oleanderwick::admission
{

FairQueue::size_type FairQueue::size() const noexcept
{
    return m_size;
}

FairQueue::size_type FairQueue::waiting(const core::QueueId &queue) const
{
    size_type count = 0;
    for (const std::pair<const core::TeamId, TeamState> &team : m_teams) {
        const auto teamQueue = team.second.queues.find(queue);
        count += teamQueue == team.second.queues.end() ? 0 : teamQueue->second.requests.size();
    }
    return count;
}

FairQueue::size_type FairQueue::waiting(const core::TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.waiting;
}

std::uint32_t FairQueue::running(const core::TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? 0 : found->second.running;
}

std::vector<TeamLoad> FairQueue::loads(core::TimePoint now) const
{
    std::vector<TeamLoad> loads;
    for (const std::pair<const core::TeamId, TeamState> &team : m_teams) {
        const TeamState &state = team.second;
        const std::uint32_t recentPeak = static_cast<std::uint32_t>(std::lround(state.recentPeak));
        if (state.running > 0 || state.waiting > 0 || recentPeak > 0) {
            loads.push_back(TeamLoad{team.first, state.running, static_cast<std::uint32_t>(state.waiting), recentPeak, oldestWait(state, now)});
        }
    }
    return loads;
}

core::Duration FairQueue::oldestWait(const TeamState &state, core::TimePoint now)
{
    core::Duration oldest = core::Duration::zero();
    for (const std::pair<const core::QueueId, TeamQueue> &teamQueue : state.queues) {
        if (!teamQueue.second.requests.empty()) {
            oldest = std::max(oldest, now - teamQueue.second.requests.front().arrival);
        }
    }
    return oldest;
}

double FairQueue::weight(const TeamState &state)
{
    const double localDemand = static_cast<double>(state.running) + static_cast<double>(state.waiting);
    return state.share * localDemand / std::max(1.0, localDemand + state.remoteDemand);
}

double FairQueue::usagePerWeight(const TeamState &state)
{
    // Adding one half (Webster method) favours neither small nor large shares when slots are assigned one by one.
    constexpr double roundingOffset = 0.5;
    const double own = weight(state);
    return own > 0.0 ? (state.running + roundingOffset - state.credit) / own : std::numeric_limits<double>::infinity();
}

bool FairQueue::anyWaiting(const Eligible &eligible) const
{
    return std::any_of(m_teams.begin(), m_teams.end(), [&eligible](const std::pair<const core::TeamId, TeamState> &team) {
        return team.second.waiting > 0 && eligible(team.first);
    });
}

void FairQueue::setShare(const core::TeamId &team, std::uint32_t share)
{
    m_teams[team].share = share;
}

void FairQueue::setRemoteDemand(const core::TeamId &team, std::uint32_t count)
{
    m_teams[team].remoteDemand = count;
}

void FairQueue::clearRemoteDemand()
{
    for (std::pair<const core::TeamId, TeamState> &team : m_teams) {
        team.second.remoteDemand = 0;
    }
}

void FairQueue::decay()
{
    constexpr double smoothing = 0.01; // Weight of a new sample, one each `decayPeriod`.
    for (std::pair<const core::TeamId, TeamState> &team : m_teams) {
        TeamState &state = team.second;
        const double current = state.running;
        state.recentPeak = std::max(current, state.recentPeak + (current - state.recentPeak) * smoothing);
    }
    updateCredits();
}

void FairQueue::updateCredits()
{
    constexpr double smoothing = 0.05; // Weight of a new sample, one each `decayPeriod`.
    constexpr double maxCredit = 2.0;
    double weights = 0.0;
    double slots = 0.0;
    for (const std::pair<const core::TeamId, TeamState> &team : m_teams) {
        if (team.second.waiting > 0) {
            weights += weight(team.second);
            slots += team.second.running;
        }
    }
    for (std::pair<const core::TeamId, TeamState> &team : m_teams) {
        TeamState &state = team.second;
        if (state.waiting == 0 || weights <= 0.0) {
            state.credit = 0.0;
            continue;
        }
        const double entitled = slots * weight(state) / weights;
        state.credit = std::clamp(state.credit + (entitled - state.running) * smoothing, -maxCredit, maxCredit);
    }
}

void FairQueue::push(QueuedRequest request)
{
    TeamState &state = m_teams[request.team];
    std::deque<QueuedRequest> &requests = state.queues[request.queue].requests;
    ++state.waiting;
    ++m_size;
    if (!request.urgent) {
        requests.push_back(std::move(request));
        return;
    }
    const auto firstNormal = std::find_if(requests.begin(), requests.end(), [](const QueuedRequest &other) {
        return !other.urgent;
    });
    requests.insert(firstNormal, std::move(request));
}

FairQueue::TeamQueue &FairQueue::nextQueue(TeamState &state)
{
    TeamQueue *best = nullptr;
    for (std::pair<const core::QueueId, TeamQueue> &entry : state.queues) {
        TeamQueue &teamQueue = entry.second;
        if (teamQueue.requests.empty()) {
            continue;
        }
        const bool earlier = best != nullptr && teamQueue.running == best->running && teamQueue.requests.front().arrival < best->requests.front().arrival;
        if (best == nullptr || teamQueue.running < best->running || earlier) {
            best = &teamQueue;
        }
    }
    OLEANDERWICK_ASSERT(best != nullptr, "a waiting team has a queued request");
    return *best;
}

std::optional<QueuedRequest> FairQueue::evict(const core::QueueId &queue, const core::TeamId &team)
{
    TeamState *longest = nullptr;
    const auto lengthOf = [&queue](const TeamState &state) {
        const auto teamQueue = state.queues.find(queue);
        return teamQueue == state.queues.end() ? 0 : teamQueue->second.requests.size();
    };
    for (std::pair<const core::TeamId, TeamState> &entry : m_teams) {
        if (longest == nullptr || lengthOf(entry.second) > lengthOf(*longest)) {
            longest = &entry.second;
        }
    }
    const auto own = m_teams.find(team);
    const size_type ownLength = own == m_teams.end() ? 0 : lengthOf(own->second);
    if (longest == nullptr || lengthOf(*longest) <= ownLength + 1) {
        return std::nullopt;
    }
    std::deque<QueuedRequest> &requests = longest->queues.at(queue).requests;
    QueuedRequest evicted = std::move(requests.back());
    requests.pop_back();
    --longest->waiting;
    --m_size;
    return evicted;
}

std::optional<QueuedRequest> FairQueue::pop(const Eligible &eligible)
{
    TeamState *best = nullptr;
    for (std::pair<const core::TeamId, TeamState> &team : m_teams) {
        TeamState &state = team.second;
        if (state.waiting == 0 || !eligible(team.first)) {
            continue;
        }
        if (best == nullptr || usagePerWeight(state) < usagePerWeight(*best)) {
            best = &state;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    TeamQueue &teamQueue = nextQueue(*best);
    QueuedRequest request = std::move(teamQueue.requests.front());
    teamQueue.requests.pop_front();
    ++teamQueue.running;
    ++best->running;
    --best->waiting;
    --m_size;
    return request;
}

void FairQueue::finish(const core::TeamId &team, const core::QueueId &queue)
{
    TeamState &state = m_teams[team];
    TeamQueue &teamQueue = state.queues[queue];
    OLEANDERWICK_ASSERT(state.running > 0 && teamQueue.running > 0, "only a running request can finish");
    --state.running;
    --teamQueue.running;
}

std::optional<QueuedRequest> FairQueue::erase(RequestNumber number)
{
    for (std::pair<const core::TeamId, TeamState> &team : m_teams) {
        for (std::pair<const core::QueueId, TeamQueue> &teamQueue : team.second.queues) {
            std::deque<QueuedRequest> &requests = teamQueue.second.requests;
            const auto found = std::find_if(requests.begin(), requests.end(), [number](const QueuedRequest &request) {
                return request.number == number;
            });
            if (found != requests.end()) {
                QueuedRequest request = std::move(*found);
                requests.erase(found);
                --team.second.waiting;
                --m_size;
                return request;
            }
        }
    }
    return std::nullopt;
}

std::vector<QueuedRequest> FairQueue::expire(core::TimePoint now)
{
    std::vector<QueuedRequest> expired;
    for (std::pair<const core::TeamId, TeamState> &team : m_teams) {
        for (std::pair<const core::QueueId, TeamQueue> &teamQueue : team.second.queues) {
            std::deque<QueuedRequest> &requests = teamQueue.second.requests;
            const auto kept = std::stable_partition(requests.begin(), requests.end(), [now](const QueuedRequest &request) {
                return now < request.latestStart;
            });
            const size_type count = static_cast<size_type>(requests.end() - kept);
            std::move(kept, requests.end(), std::back_inserter(expired));
            requests.erase(kept, requests.end());
            team.second.waiting -= count;
            m_size -= count;
        }
    }
    return expired;
}

} // namespace oleanderwick::admission

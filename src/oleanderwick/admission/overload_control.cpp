#include "overload_control.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace oleanderwick::admission
{

namespace internal
{

/** Interval of publications, and of looking for an overload before the first one: a flood of ten times the capacity adds 10 s of work each second. */
constexpr core::Duration publishInterval = std::chrono::milliseconds{500};
constexpr core::Duration watchInterval = std::chrono::milliseconds{100};
/** Time for which a pool stays controlled after its overload; without it the overload would return as soon as the fraction is lifted. */
constexpr core::Duration controlHold = std::chrono::seconds{2};
/** Time constant of the estimate of the offered load. */
constexpr double offeredTimeConstantS = 1.0;
/** Time constant of the comparison with a team's rate; as long as the bursts that the rate allows. */
constexpr double rateTimeConstantS = 5.0;
/** Weight of the newest work per job. */
constexpr double workWeight = 0.2;
/** Backlog that keeps a pool busy between two publications, and time in which the rest of it should be served. */
constexpr double targetBacklogS = 0.5;
constexpr double drainTimeS = 2.0;
constexpr double minAllowed = 0.1;
constexpr double maxAllowed = 1.5;
/** Offered load below which a share without backlog is forgotten, in jobs a second. */
constexpr double minOffered = 0.01;
constexpr double ownerFactorFall = 0.8;
constexpr double ownerFactorRise = 1.1;
constexpr double minOwnerFactor = 0.1;
constexpr double maxRoomMs = 3'600'000.0;

double weightOf(const std::map<std::string, double> &weights, const std::string &name)
{
    const auto weight = weights.find(name);
    return weight == weights.end() || weight->second <= 0.0 ? 1.0 : weight->second;
}

double smoothing(double seconds, double timeConstant)
{
    return 1.0 - std::exp(-seconds / timeConstant);
}

} // namespace internal

std::map<std::string, double> waterFill(const std::map<std::string, double> &demands, const std::map<std::string, double> &weights, double amount)
{
    std::map<std::string, double> parts;
    std::vector<std::pair<double, std::string>> order;
    double weightSum = 0.0;
    for (const std::pair<const std::string, double> &demand : demands) {
        const double weight = internal::weightOf(weights, demand.first);
        order.emplace_back(demand.second / weight, demand.first);
        weightSum += weight;
    }
    // Those with the least demand for their weight are served in full first; what they leave raises the level for the others.
    std::sort(order.begin(), order.end());
    double left = std::max(amount, 0.0);
    for (const std::pair<double, std::string> &entry : order) {
        const double weight = internal::weightOf(weights, entry.second);
        const double part = std::min(demands.at(entry.second), left * weight / weightSum);
        parts[entry.second] = part;
        left -= part;
        weightSum -= weight;
    }
    return parts;
}

bool OverloadControl::isDue(core::TimePoint now) const noexcept
{
    return !m_updatedAt.has_value() || now - *m_updatedAt >= (m_published ? internal::publishInterval : internal::watchInterval);
}

void OverloadControl::restore(const LoadFigures &figures)
{
    m_version = std::max(m_version, figures.version);
    m_restored = figures.overloaded ? figures : LoadFigures{};
    m_published = m_published || figures.overloaded;
}

double OverloadControl::admitOf(const Name &name, const Share &share) const
{
    if (share.isLimited) {
        return share.figures.admit;
    }
    const ShareFigures *restored = m_restored.find(std::get<1>(name), std::get<2>(name));
    return restored == nullptr ? 1.0 : restored->admit;
}

void OverloadControl::observe(const FleetDemand &demand, double seconds)
{
    std::set<Name> listed;
    for (const ShareDemand &item : demand.shares) {
        const Name name{item.pool, item.queue, item.team};
        listed.insert(name);
        Share &share = m_shares[name];
        const std::uint64_t newJobs = item.arrivedJobs - std::min(item.arrivedJobs, share.seenJobs);
        const double jobs = static_cast<double>(newJobs);
        if (newJobs > 0) {
            const double work = std::max(item.arrivedWork - share.seenWork, 0.0) / jobs;
            share.workPerJob = share.workPerJob > 0.0 ? share.workPerJob + internal::workWeight * (work - share.workPerJob) : work;
        }
        share.seenJobs = item.arrivedJobs;
        share.seenWork = item.arrivedWork;
        share.backlog = item.backlog;
        const double offered = jobs / seconds / std::max(admitOf(name, share), 0.001);
        share.offeredJobs = share.offeredJobs > 0.0
            ? share.offeredJobs + internal::smoothing(seconds, internal::offeredTimeConstantS) * (offered - share.offeredJobs)
            : offered;
        share.newestOffered = offered;
        share.sustainedJobs += internal::smoothing(seconds, internal::rateTimeConstantS) * (offered - share.sustainedJobs);
    }
    std::erase_if(m_shares, [&listed](const std::pair<const Name, Share> &item) {
        return !listed.contains(item.first) || (item.second.backlog <= 0.0 && item.second.offeredJobs < internal::minOffered && item.second.seenJobs == 0);
    });
}

void OverloadControl::divide(const std::string &pool, double capacity, const std::map<std::string, double> &rates)
{
    std::map<std::string, double> teamDemands;
    std::map<std::string, std::map<std::string, double>> queueDemands;
    for (const std::pair<const Name, Share> &item : m_shares) {
        if (std::get<0>(item.first) == pool) {
            const double cores = item.second.offeredJobs * item.second.workPerJob + item.second.backlog / internal::drainTimeS;
            teamDemands[std::get<2>(item.first)] += cores;
            queueDemands[std::get<2>(item.first)][std::get<1>(item.first)] += cores;
        }
    }
    const std::map<std::string, double> parts = waterFill(teamDemands, rates, capacity);
    std::map<std::string, std::map<std::string, double>> queueParts;
    for (const std::pair<const std::string, double> &part : parts) {
        queueParts[part.first] = waterFill(queueDemands[part.first], {}, part.second);
    }
    for (std::pair<const Name, Share> &item : m_shares) {
        if (std::get<0>(item.first) == pool) {
            item.second.fair = queueParts[std::get<2>(item.first)][std::get<1>(item.first)];
        }
    }
}

void OverloadControl::limit(const std::string &pool, const PoolState &state, double capacity, const std::map<std::string, double> &rates)
{
    std::map<std::string, double> sustained = sumByTeam(&Share::sustainedJobs);
    const auto rateOf = [&rates](const std::string &team) {
        const auto rate = rates.find(team);
        return rate == rates.end() ? 0.0 : rate->second;
    };
    // Part of each team's jobs that is within its rate. A team beyond its rate loses it as far as it has filled its share with a backlog.
    const std::map<std::string, double> newest = sumByTeam(&Share::offeredJobs);
    // The figures hold until the next publication, so a team counts as it will by then: a flood would otherwise go on for another interval.
    const double ahead = internal::smoothing(std::chrono::duration<double>(internal::publishInterval).count(), internal::rateTimeConstantS);
    for (std::pair<const std::string, double> &team : sustained) {
        team.second += ahead * (newest.at(team.first) - team.second);
    }
    const auto claimOf = [&sustained, &newest, &rateOf](const std::string &team, const Share &share) {
        const double rate = rateOf(team);
        if (rate <= 0.0 || sustained.at(team) <= rate) {
            return rate <= 0.0 ? 0.0 : 1.0;
        }
        const double excess = share.backlog - share.fair * internal::targetBacklogS;
        return rate / std::max(sustained.at(team), newest.at(team)) * std::clamp(1.0 - excess / std::max(share.fair * internal::drainTimeS, 1e-9), 0.0, 1.0);
    };
    // The claims are scaled down where the pool can't even carry these.
    double claimed = 0.0;
    for (const std::pair<const Name, Share> &item : m_shares) {
        if (std::get<0>(item.first) == pool) {
            claimed += claimOf(std::get<2>(item.first), item.second) * item.second.offeredJobs * item.second.workPerJob;
        }
    }
    const double claimScale = claimed > capacity ? capacity / claimed : 1.0;
    for (std::pair<const Name, Share> &item : m_shares) {
        if (std::get<0>(item.first) != pool) {
            continue;
        }
        const std::string &team = std::get<2>(item.first);
        Share &share = item.second;
        const double offered = share.offeredJobs * share.workPerJob;
        const double excess = share.backlog - share.fair * internal::targetBacklogS;
        const double highest = share.fair * internal::maxAllowed;
        const double allowed = state.overloaded ? std::clamp(share.fair - excess / internal::drainTimeS, share.fair * internal::minAllowed, highest) : highest;
        const double admit = offered > allowed ? allowed / offered : 1.0;
        share.figures.admit = std::clamp(std::max(admit, claimOf(team, share) * claimScale), 0.001, 1.0);
        share.figures.backlog = share.backlog;
        share.figures.serviceRate = share.workPerJob > 0.0 ? share.fair / share.workPerJob : 0.0;
        const double roomMs = share.backlog <= 0.0 ? 0.0 : share.fair > 0.0 ? 1000.0 * share.backlog / share.fair : internal::maxRoomMs;
        share.figures.roomMs = std::llround(std::min(roomMs, internal::maxRoomMs));
        share.figures.beyondRate = rateOf(team) > 0.0 && sustained.at(team) > rateOf(team);
        share.isLimited = true;
    }
}

void OverloadControl::takeNewestOffered(const std::string &pool)
{
    for (std::pair<const Name, Share> &item : m_shares) {
        if (std::get<0>(item.first) == pool && !m_published) {
            item.second.offeredJobs = std::max(item.second.offeredJobs, item.second.newestOffered);
        }
    }
}

std::map<std::string, double> OverloadControl::sumByTeam(double Share::*figure) const
{
    std::map<std::string, double> sums;
    for (const std::pair<const Name, Share> &item : m_shares) {
        sums[std::get<2>(item.first)] += item.second.*figure;
    }
    return sums;
}

bool OverloadControl::isControlled(const std::string &pool, core::TimePoint now) const
{
    const auto overloadedAt = m_overloadedAt.find(pool);
    return overloadedAt != m_overloadedAt.end() && now - overloadedAt->second < internal::controlHold;
}

std::optional<LoadFigures> OverloadControl::update(const FleetDemand &demand, core::TimePoint now, std::int64_t wallMs)
{
    const bool isFirst = !m_updatedAt.has_value();
    const double seconds = isFirst ? 0.0 : std::chrono::duration<double>(now - *m_updatedAt).count();
    m_updatedAt = now;
    if (isFirst || seconds <= 0.0) {
        return std::nullopt;
    }
    observe(demand, seconds);
    m_ownerFactor = demand.ownerOverloaded ? std::max(internal::minOwnerFactor, m_ownerFactor * internal::ownerFactorFall)
                                           : std::min(1.0, m_ownerFactor * internal::ownerFactorRise);
    LoadFigures figures;
    for (const std::pair<const std::string, PoolState> &pool : demand.pools) {
        if (pool.second.overloaded || demand.ownerOverloaded) {
            m_overloadedAt[pool.first] = now;
        }
        const bool controlled = isControlled(pool.first, now);
        if (controlled) {
            takeNewestOffered(pool.first);
            const double capacity = pool.second.capacity * m_ownerFactor;
            divide(pool.first, capacity, demand.rates);
            limit(pool.first, pool.second, capacity, demand.rates);
        }
        for (std::pair<const Name, Share> &item : m_shares) {
            if (std::get<0>(item.first) != pool.first) {
                continue;
            }
            if (!controlled) {
                item.second.figures = {};
                item.second.isLimited = true;
            } else if (item.second.backlog > 0.0 || item.second.figures.admit < 1.0) {
                figures.queues[std::get<1>(item.first)].teams[std::get<2>(item.first)] = item.second.figures;
            }
        }
        figures.overloaded = figures.overloaded || controlled;
    }
    if (!figures.overloaded && !m_published) {
        return std::nullopt;
    }
    m_published = figures.overloaded;
    m_version = std::max(m_version + 1, wallMs);
    figures.version = m_version;
    figures.wallMs = wallMs;
    return figures;
}

} // namespace oleanderwick::admission

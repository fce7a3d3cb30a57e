#include "fair_order.hpp"

#include <algorithm>
#include <set>
#include <tuple>

#include "../fairness/water_filling.hpp"

namespace oleanderwick::jobs
{

namespace internal
{

/** Weight of a team whose weight is 0: it gets what the others leave. */
constexpr double smallestWeight = 1e-9;

/** Number of tasks with a demand that fit into some room, at most `most`. */
std::int64_t countFitting(const Resources &each, const Resources &room, std::int64_t most)
{
    std::int64_t count = most;
    for (const std::int64_t Resources::*const amount : {&Resources::cpu, &Resources::memory, &Resources::gpu}) {
        if (each.*amount > 0) {
            count = std::min(count, std::max<std::int64_t>(room.*amount, 0) / (each.*amount));
        }
    }
    return count;
}

bool hasLabel(const Worker &worker, const std::string &label)
{
    const std::vector<std::string> &labels = worker.entry.labels;
    return label.empty() || std::find(labels.begin(), labels.end(), label) != labels.end();
}

} // namespace internal

FairOrder::FairOrder(const Collaborators &collaborators)
    : m_with{collaborators}
    , m_slackOrder{collaborators.loads, collaborators.estimates}
{
}

std::int64_t FairOrder::startableTasks(const Candidate &candidate) const
{
    const TaskList &tasks = candidate.tasks();
    return std::count_if(tasks.begin(), tasks.end(), [this, &candidate](const Task &task) {
        return candidate.mayStart(task, m_now);
    });
}

std::map<std::string, FairOrder::PoolDemand> FairOrder::measureDemands(const std::vector<Candidate> &candidates) const
{
    std::map<std::string, PoolDemand> demands;
    std::map<std::string, Resources> demandByTeam;
    for (const Candidate &candidate : candidates) {
        const Step &step = candidate.definition();
        const std::string &team = candidate.entry->job.team;
        const std::int64_t startable = startableTasks(candidate);
        Resources &ofTeam = demandByTeam[team];
        std::int64_t count = 0;
        while (count < startable && m_with.state.isWithinTeamLimit(team, ofTeam + step.each)) {
            ofTeam = ofTeam + step.each;
            ++count;
        }
        if (count == 0) {
            continue;
        }
        PoolDemand &demand = demands[candidate.entry->job.pool];
        const Resources each = StateTable::demandOf(step);
        demand.steps.push_back(Demand{each, count, step.requiredLabel});
        fairness::Amounts &waiting = demand.waiting[team];
        waiting = {waiting[0] + each.cpu * count, waiting[1] + each.memory * count, waiting[2] + each.gpu * count};
    }
    return demands;
}

bool FairOrder::fitsFreeRoom(const std::string &pool, std::vector<Demand> &steps) const
{
    std::vector<std::pair<const Worker *, Resources>> rooms;
    for (const Worker *worker : m_with.index.workersOf(pool)) {
        if (m_with.health.mayStart(*worker, m_now)) {
            rooms.emplace_back(worker, worker->freeRoom());
        }
    }
    std::sort(steps.begin(), steps.end(), [](const Demand &left, const Demand &right) {
        return std::tie(left.each.gpu, left.each.cpu, left.each.memory) > std::tie(right.each.gpu, right.each.cpu, right.each.memory);
    });
    for (const Demand &step : steps) {
        std::int64_t left = step.count;
        bool anyWorker = false;
        for (std::pair<const Worker *, Resources> &room : rooms) {
            if (left > 0 && internal::hasLabel(*room.first, step.label)) {
                anyWorker = true;
                const std::int64_t placed = internal::countFitting(step.each, room.second, left);
                room.second = room.second - Resources{step.each.cpu * placed, step.each.memory * placed, step.each.gpu * placed};
                left -= placed;
            }
        }
        if (anyWorker && left > 0) {
            return false;
        }
    }
    return true;
}

double FairOrder::weightOf(const std::string &team) const
{
    const auto policy = m_with.state.config().teams.find(team);
    return policy == m_with.state.config().teams.end() ? 1.0 : std::max(policy->second.weight, internal::smallestWeight);
}

double FairOrder::levelOf(const std::string &pool, const std::string &team) const
{
    const fairness::ShareTable &shares = m_with.state.shares();
    return (shares.share(pool, team) + shares.debt(pool, team)) / weightOf(team);
}

void FairOrder::updateDebts(const std::string &pool, const PoolDemand *demand)
{
    fairness::ShareTable &shares = m_with.state.shares();
    Resources capacity;
    for (const Worker *worker : m_with.index.workersOf(pool)) {
        capacity = capacity + worker->entry.capacity;
    }
    shares.setCapacity(pool, {capacity.cpu, capacity.memory, capacity.gpu});
    std::map<std::string, double> entitled;
    if (demand != nullptr) {
        std::map<std::string, fairness::Claim> claims;
        double total = 0.0;
        for (const std::pair<const std::string, double> &share : shares.shares(pool)) {
            claims[share.first] = fairness::Claim{share.second, weightOf(share.first)};
            total += share.second;
        }
        for (const std::pair<const std::string, fairness::Amounts> &waiting : demand->waiting) {
            claims[waiting.first] = fairness::Claim{shares.share(pool, waiting.first, waiting.second), weightOf(waiting.first)};
        }
        entitled = fairness::fillByWeight(total, claims);
    }
    shares.updateDebts(pool, entitled, m_now);
}

void FairOrder::arrange(std::vector<Candidate> candidates, core::TimePoint now)
{
    m_now = now;
    m_next = 0;
    m_last = nullptr;
    m_sequence.clear();
    m_fullPools.clear();
    std::map<std::string, PoolDemand> demands = measureDemands(candidates);
    for (const std::pair<const std::string, PoolPolicy> &pool : m_with.state.config().pools) {
        const auto demand = demands.find(pool.first);
        const bool full = demand != demands.end() && !fitsFreeRoom(pool.first, demand->second.steps);
        updateDebts(pool.first, full ? &demand->second : nullptr);
        if (full) {
            m_fullPools[pool.first];
        }
    }
    std::set<std::string> waitingJobs;
    std::erase_if(candidates, [this, &waitingJobs](const Candidate &candidate) {
        waitingJobs.insert(candidate.entry->job.id);
        return candidate.withoutRoom && !m_fullPools.contains(candidate.entry->job.pool);
    });
    std::erase_if(m_passedOverSince, [&waitingJobs](const std::pair<const std::string, core::TimePoint> &job) {
        return !waitingJobs.contains(job.first);
    });
    m_sequence.reserve(candidates.size());
    m_slackOrder.arrange(std::move(candidates), now);
    for (const Candidate *candidate = m_slackOrder.next(); candidate != nullptr; candidate = m_slackOrder.next()) {
        m_sequence.push_back(*candidate);
    }
    queueCandidates();
}

void FairOrder::queueCandidates()
{
    for (const Candidate &candidate : m_sequence) {
        const JobEntry &entry = *candidate.entry;
        const auto pool = m_fullPools.find(entry.job.pool);
        if (pool == m_fullPools.end()) {
            continue;
        }
        const bool continuous = candidate.definition().continuous;
        const JobClass timely = entry.beyondRate && !continuous ? JobClass::BeyondRate : JobClass::WithinRate;
        const bool late = candidate.slackMs < 0 || candidate.selection == Candidate::Selection::Unsound;
        const JobClass jobClass = late && !continuous ? JobClass::Late : timely;
        Group &group = pool->second.groups[{continuous ? -1 : candidate.priority, jobClass}];
        const auto since = m_passedOverSince.find(entry.job.id);
        const bool passedOver = since != m_passedOverSince.end()
            && 2.0 * std::chrono::duration<double, std::milli>{m_now - since->second}.count() > m_with.estimates.objectiveMs(entry);
        if (passedOver) {
            group.passedOver.push_back(&candidate);
        } else if (jobClass == JobClass::Late) {
            group.late.push_back(&candidate);
        } else {
            TeamQueue &queue = group.teams[entry.job.team];
            queue.level = queue.candidates.empty() ? levelOf(entry.job.pool, entry.job.team) : queue.level;
            queue.candidates.push_back(&candidate);
        }
    }
    for (std::pair<const std::string, FullPool> &pool : m_fullPools) {
        for (std::pair<const std::pair<std::int64_t, JobClass>, Group> &group : pool.second.groups) {
            std::deque<const Candidate *> &first = group.second.passedOver;
            std::stable_sort(first.begin(), first.end(), [](const Candidate *left, const Candidate *right) {
                return left->entry->job.submittedMs < right->entry->job.submittedMs;
            });
        }
    }
}

const Candidate *FairOrder::take(FullPool &pool)
{
    const auto takeFirst = [](std::deque<const Candidate *> &queue) {
        const Candidate *first = queue.front();
        queue.pop_front();
        return first;
    };
    while (!pool.groups.empty()) {
        Group &group = pool.groups.begin()->second;
        if (!group.passedOver.empty()) {
            return takeFirst(group.passedOver);
        }
        if (!group.late.empty()) {
            return takeFirst(group.late);
        }
        if (!group.teams.empty()) {
            // Of teams at the same level, the one whose candidate has the earlier place in the order of `SlackOrder` comes first.
            const auto lowest = std::min_element(group.teams.begin(), group.teams.end(), [](const auto &left, const auto &right) {
                return std::pair{left.second.level, left.second.candidates.front()} < std::pair{right.second.level, right.second.candidates.front()};
            });
            const Candidate *first = takeFirst(lowest->second.candidates);
            if (lowest->second.candidates.empty()) {
                group.teams.erase(lowest);
            }
            return first;
        }
        pool.groups.erase(pool.groups.begin());
    }
    return nullptr;
}

void FairOrder::settleLast()
{
    if (m_last == nullptr) {
        return;
    }
    const Job &job = m_last->entry->job;
    const auto pool = m_fullPools.find(job.pool);
    if (pool != m_fullPools.end()) {
        if (startableTasks(*m_last) < m_lastStartable) {
            m_passedOverSince.erase(job.id);
            for (const Candidate *failed : pool->second.failed) {
                m_passedOverSince.try_emplace(failed->entry->job.id, m_now);
            }
            pool->second.failed.clear();
            const double level = levelOf(job.pool, job.team);
            for (std::pair<const std::pair<std::int64_t, JobClass>, Group> &group : pool->second.groups) {
                const auto queue = group.second.teams.find(job.team);
                if (queue != group.second.teams.end()) {
                    queue->second.level = level;
                }
            }
        } else if (m_with.state.isWithinTeamLimit(job.team, m_last->definition().each)) {
            pool->second.failed.push_back(m_last);
        }
    }
    m_last = nullptr;
}

const Candidate *FairOrder::next()
{
    settleLast();
    while (m_next < m_sequence.size()) {
        const Candidate &slot = m_sequence[m_next++];
        const auto pool = m_fullPools.find(slot.entry->job.pool);
        const Candidate *candidate = pool == m_fullPools.end() ? &slot : take(pool->second);
        if (candidate != nullptr && !candidate->withoutRoom) {
            m_last = candidate;
            m_lastStartable = startableTasks(*candidate);
            return candidate;
        }
        if (candidate != nullptr) {
            pool->second.failed.push_back(candidate);
        }
    }
    return nullptr;
}

} // namespace oleanderwick::jobs

#include "worker_index.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace oleanderwick::jobs
{

namespace internal
{

/** One of so many workers of a pool may be reserved for suspects, so that the others are left to all tasks. */
constexpr std::ptrdiff_t workersPerReservation = 3;

} // namespace internal

void WorkerIndex::rebuild(StateTable &state)
{
    m_workers.clear();
    m_room.clear();
    m_unplaceable.clear();
    for (std::pair<const std::string, Worker> &item : state.workers()) {
        Worker &worker = item.second;
        if (!exclusionOf(state, worker).has_value()) {
            m_workers[worker.entry.pool].push_back(&worker);
            const Resources room = worker.freeRoom();
            Resources &largest = m_room[worker.entry.pool];
            largest = Resources{std::max(largest.cpu, room.cpu), std::max(largest.memory, room.memory), std::max(largest.gpu, room.gpu)};
        }
    }
}

std::optional<WaitReason> WorkerIndex::exclusionOf(const StateTable &state, const Worker &worker) noexcept
{
    if (worker.isSchedulable() && worker.reported && worker.clockMs > 0 && state.isStoredAsUsed(worker)) {
        return std::nullopt;
    }
    const std::array<std::pair<bool, WaitReason>, 7> conditions{{
        {!worker.registered, WaitReason::Unlisted},
        {worker.entry.draining, WaitReason::Draining},
        {worker.zoneClosed, WaitReason::ZoneClosed},
        {worker.cordoned, WaitReason::Cordoned},
        {worker.unresponsive, WaitReason::Silent},
        {!worker.reported, WaitReason::Unreported},
        {worker.clockMs <= 0, WaitReason::ClockUnknown},
    }};
    const auto found = std::find_if(conditions.begin(), conditions.end(), [](const std::pair<bool, WaitReason> &condition) {
        return condition.first;
    });
    return found == conditions.end() ? WaitReason::NotStored : found->second;
}

const std::vector<Worker *> &WorkerIndex::workersOf(const std::string &pool)
{
    return m_workers[pool];
}

bool WorkerIndex::mayReserve(const std::string &pool, core::TimePoint now) const
{
    const auto workers = m_workers.find(pool);
    if (workers == m_workers.end()) {
        return true;
    }
    const std::ptrdiff_t reserved = std::count_if(workers->second.begin(), workers->second.end(), [now](const Worker *worker) {
        return worker->reservedFor.has_value() && now < worker->reservedUntil;
    });
    return reserved * internal::workersPerReservation < static_cast<std::ptrdiff_t>(workers->second.size());
}

bool WorkerIndex::mayFit(const std::string &pool, const Resources &demand) const
{
    const auto room = m_room.find(pool);
    return room != m_room.end() && fits(demand, room->second);
}

void WorkerIndex::markUnplaceable(const std::string &pool, const Resources &demand)
{
    m_unplaceable[pool].push_back(demand);
}

bool WorkerIndex::isUnplaceable(const std::string &pool, const Resources &demand) const
{
    const auto known = m_unplaceable.find(pool);
    return known != m_unplaceable.end() && std::any_of(known->second.begin(), known->second.end(), [&demand](const Resources &rejected) {
               return demand.cpu >= rejected.cpu && demand.memory >= rejected.memory && demand.gpu >= rejected.gpu;
           });
}

} // namespace oleanderwick::jobs

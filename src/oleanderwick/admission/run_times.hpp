#pragma once

#include <cstddef>
#include <unordered_map>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::admission
{

/** @brief Learned run times of queues; declared ones are not trusted. */
class RunTimes
{
public:
    /**
     * @brief Learns from one run.
     * @param queue Queue of the request.
     * @param run Time that the upstream took.
     */
    void observe(const core::QueueId &queue, core::Duration run);

    /**
     * @brief Tells the usual run time of a queue.
     * @param queue Queue asked for.
     * @return Moving mean, zero before the first run.
     */
    [[nodiscard]] core::Duration mean(const core::QueueId &queue) const;

    /**
     * @brief Estimates how long a new request of a queue waits.
     * @param queue Queue of the request.
     * @param ahead Requests of its team that wait before it.
     * @param running Requests of its team that run.
     * @return Estimate; zero while nothing is known.
     */
    [[nodiscard]] core::Duration expectedWait(const core::QueueId &queue, std::size_t ahead, std::uint32_t running) const;

private:
    std::unordered_map<core::QueueId, core::Duration> m_means;
};

} // namespace oleanderwick::admission

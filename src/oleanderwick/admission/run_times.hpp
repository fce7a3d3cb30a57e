#pragma once

#include <cstddef>
#include <unordered_map>

#include "../core/core.hpp"
#include "fwd.hpp"

namespace oleanderwick::admission
{

/** @brief Mean run times of queues, measured on this node because declared ones could not be trusted. */
class RunTimes
{
public:
    /**
     * @brief Adds the run time of one request to the moving mean of its queue.
     * @param queue Queue of the request.
     * @param run Time from the start to the end of the attempt.
     */
    void observe(const core::QueueId &queue, core::Duration run);

    /**
     * @brief Returns the mean run time of a queue.
     * @param queue Queue to look up.
     * @return Moving mean; zero before the first run.
     */
    [[nodiscard]] core::Duration mean(const core::QueueId &queue) const;

    /**
     * @brief Estimates how long a new request of a queue waits.
     * @param queue Queue of the request.
     * @param ahead Requests of its team that wait ahead of it.
     * @param running Running requests of its team; zero counts as one.
     * @return Estimated waiting time; zero before the first run of the queue.
     */
    [[nodiscard]] core::Duration expectedWait(const core::QueueId &queue, std::size_t ahead, std::uint32_t running) const;

private:
    std::unordered_map<core::QueueId, core::Duration> m_means;
};

} // namespace oleanderwick::admission

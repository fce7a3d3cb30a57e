#pragma once

#include <string>

#include "oleanderwick/http/upstream_links.hpp"
#include "oleanderwick/jobs/ports.hpp"

namespace oleanderwick::platform
{

/** @brief Orders to the platform's runners, which are our workers. */
class WorkerClient final : public jobs::WorkerPort
{
public:
    /**
     * @brief Prepares a client.
     * @param links Connections to use.
     */
    explicit WorkerClient(http::UpstreamLinks &links);

    void start(const jobs::StartCommand &order, std::int64_t token, std::function<void(jobs::StartReply)> onReply) override;
    void stop(const jobs::StopCommand &order, std::int64_t token, std::function<void(bool)> onReply) override;
    void pace(const jobs::PaceCommand &order, std::int64_t token) override;
    void poll(const jobs::PollCommand &order, std::int64_t token, std::function<void(jobs::PollReply)> onReply) override;

private:
    http::UpstreamLinks &m_links;
};

/**
 * @brief Reads a worker's lists.
 * @param text Body of the answer.
 * @return The lists, or nothing if they cannot be read.
 */
[[nodiscard]] std::optional<jobs::WorkerReport> readReport(std::string_view text);

} // namespace oleanderwick::platform

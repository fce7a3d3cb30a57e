#pragma once

#include <string>

#include "oleanderwick/http/upstream_links.hpp"
#include "oleanderwick/jobs/ports.hpp"

namespace oleanderwick::platform
{

/** @brief Sends commands and polls to the platform's runners, which are the project's workers. */
class WorkerClient final : public jobs::WorkerPort
{
public:
    /**
     * @brief Constructs a client.
     * @param connections Connections to use; have to outlive the client.
     */
    explicit WorkerClient(http::UpstreamConnections &connections);

    void start(const jobs::StartCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::StartReply)> onReply) override;
    void stop(const jobs::StopCommand &command, const jobs::CommandPermit &permit, std::function<void(bool)> onReply) override;
    void pace(const jobs::PaceCommand &command, const jobs::CommandPermit &permit) override;
    void poll(const jobs::PollCommand &command, const jobs::CommandPermit &permit, std::function<void(jobs::PollReply)> onReply) override;

private:
    http::UpstreamConnections &m_connections;
};

/**
 * @brief Parses a worker's report, its reply to a poll.
 * @param text JSON body of the reply.
 * @return The report; `std::nullopt` if the text, the time or one of the listed runs is malformed.
 */
[[nodiscard]] std::optional<jobs::WorkerReport> parseReport(std::string_view text);

} // namespace oleanderwick::platform

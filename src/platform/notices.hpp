#pragma once

#include <string>

#include "oleanderwick/http/server.hpp"
#include "oleanderwick/http/upstream_links.hpp"
#include "oleanderwick/jobnode/job_node.hpp"

namespace oleanderwick::platform
{

/** @brief Path at which a node takes notices to the owner, at its internal address. */
inline constexpr const char *noticePath = "/notices";

/** @brief Sends notices to the owner over HTTP. */
class NoticeClient final : public jobnode::OwnerNoticePort
{
public:
    /**
     * @brief Constructs a client.
     * @param connections Connections to use; have to outlive the client.
     */
    explicit NoticeClient(http::UpstreamConnections &connections);

    void send(const std::string &address, const std::vector<jobnode::OwnerNotice> &notices, std::function<void(jobnode::NoticeOutcome)> onReply) override;

private:
    http::UpstreamConnections &m_connections;
};

/**
 * @brief Handles a message of notices from another node.
 * @param request Call whose path is `noticePath`.
 * @param node Node that takes the notices.
 * @param log Receives an event for a message that is refused.
 * @return 204, 421 if the node is not the owner or not sure to be, 400 if the message is malformed, or 405 for another method than POST.
 */
[[nodiscard]] http::Response handleNotices(const http::Request &request, jobnode::JobNode &node, jobnode::LogSink &log);

} // namespace oleanderwick::platform

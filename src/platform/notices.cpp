#include "notices.hpp"

#include "wire.hpp"

namespace oleanderwick::platform
{

namespace internal
{

/** Well above the time for which an owner with little processor time is busy; one message is in flight at a time. */
constexpr core::Duration noticeTimeout = std::chrono::milliseconds{500};
constexpr std::size_t maxReplyBytes = 64U << 10U;
constexpr int notTheOwner = 421;

} // namespace internal

NoticeClient::NoticeClient(http::UpstreamConnections &connections)
    : m_connections{connections}
{
}

void NoticeClient::send(const std::string &address, const std::vector<jobnode::OwnerNotice> &notices, std::function<void(jobnode::NoticeOutcome)> onReply)
{
    http::Exchange exchange = makeExchange(address, "POST", noticePath, {}, internal::noticeTimeout);
    exchange.request.body = jobnode::toText(notices);
    exchange.maxResponseBytes = internal::maxReplyBytes;
    m_connections.start(std::move(exchange), [reply = std::move(onReply)](const http::ExchangeResult &result) {
        const int status = result.outcome == routing::ExchangeOutcome::Complete ? result.response.status : 0;
        reply(status == 204                         ? jobnode::NoticeOutcome::Delivered
                  : status == internal::notTheOwner ? jobnode::NoticeOutcome::NotOwner
                                                    : jobnode::NoticeOutcome::Undelivered);
    });
}

http::Response handleNotices(const http::Request &request, jobnode::JobNode &node, jobnode::LogSink &log)
{
    if (request.method != "POST") {
        return http::Response{405, {}, {}};
    }
    const absl::StatusOr<std::vector<jobnode::OwnerNotice>> notices = jobnode::noticesFromText(request.body);
    if (!notices.ok()) {
        log.add("owner_notices_refused",
                telemetry::Event{"owner_notices_refused"}
                    .with("bytes", static_cast<std::int64_t>(request.body.size()))
                    .with("error", std::string{notices.status().message()}));
        return http::Response{400, {}, {}};
    }
    return http::Response{node.handleNotices(*notices) ? 204 : internal::notTheOwner, {}, {}};
}

} // namespace oleanderwick::platform

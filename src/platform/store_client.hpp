#pragma once

#include <string>

#include "oleanderwick/http/upstream_links.hpp"
#include "oleanderwick/jobs/ports.hpp"

namespace oleanderwick::platform
{

/** @brief The platform's key-value service as coordination store. */
class StoreClient final : public jobs::CoordinationStore
{
public:
    /**
     * @brief Prepares a client.
     * @param links Connections to use.
     * @param address IP number and port of the service, or of a node that relays calls to it.
     * @param pathPrefix Start of the path of all calls; empty for the service itself.
     */
    StoreClient(http::UpstreamLinks &links, std::string address, std::string pathPrefix = {});

    void read(const std::string &key, OnReply onAnswer) override;
    void list(const std::string &prefix, const std::string &after, OnReply onAnswer) override;
    void watch(const std::string &prefix, std::int64_t after, core::Duration wait, OnReply onAnswer) override;
    void commit(const jobs::StoreChange &change, OnReply onAnswer) override;
    void grant(core::Duration ttl, OnReply onAnswer) override;
    void renew(std::int64_t lease, OnReply onAnswer) override;

private:
    void call(http::Exchange exchange, OnReply onAnswer);

    http::UpstreamLinks &m_links;
    std::string m_address;
    std::string m_pathPrefix;
};

} // namespace oleanderwick::platform
